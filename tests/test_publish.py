"""Outcomes of a publish after races, lost responses and late appends."""

import testtools

from hornbeampier import errors
from hornbeampier.operators import configuration_log
from tests import configurations


class PublishTest(testtools.TestCase):
    def test_concurrent_publish_is_refused_with_the_version_in_force(self):
        cluster = configurations.ConfigurationCluster()
        log = cluster.log()
        log.before_append = lambda: cluster.append(
            configurations.record(-1, configurations.text(1), "other")
        )
        result = cluster.publisher(log).publish(configurations.TEXT)
        self.assertEqual(("refused", 0), (result.outcome, result.version))
        self.assertEqual("stale_base", result.detail)

    def test_lost_append_response_causes_no_second_append(self):
        cluster = configurations.ConfigurationCluster()
        log = cluster.log()
        log.lose_answers = 1
        result = cluster.publisher(log).publish(configurations.TEXT)
        self.assertEqual(("accepted", 0), (result.outcome, result.version))
        stream = cluster.platform.read(configuration_log.STREAM, 0, 10, 0)
        self.assertEqual(1, len(stream.records))

    def test_duplicated_append_does_not_hide_the_acceptance(self):
        cluster = configurations.ConfigurationCluster()
        log = cluster.log()
        append = cluster.platform.append

        def append_twice(stream, data):
            append(stream, data)
            return append(stream, data)

        cluster.platform.append = append_twice
        result = cluster.publisher(log).publish(configurations.TEXT)
        self.assertEqual(("accepted", 0), (result.outcome, result.version))

    def test_late_append_is_found_by_its_publish_id(self):
        cluster = configurations.ConfigurationCluster()
        log = cluster.log()
        late_appends = []

        def append_later(stream, data):
            late_appends.append(data)
            raise errors.AppendOutcomeUnknownError("no answer")

        log.append = append_later
        result = cluster.publisher(log).publish(configurations.TEXT)
        self.assertEqual("unknown", result.outcome)
        find_outcome = cluster.publisher().find_outcome
        self.assertEqual("unknown", find_outcome(result.publish_id).outcome)
        cluster.append(late_appends[0].decode())
        self.assertEqual("accepted", find_outcome(result.publish_id).outcome)
        repeated_publish = cluster.publisher().publish(
            configurations.TEXT, result.base
        )
        self.assertEqual(
            ("refused", 0), (repeated_publish.outcome, repeated_publish.version)
        )

    def test_publish_to_unreachable_log_ends_in_time(self):
        cluster = configurations.ConfigurationCluster()
        log = cluster.log()
        log.down = True
        started_ms = cluster.clock.now()
        result = cluster.publisher(log).publish(configurations.TEXT)
        self.assertEqual("not_published", result.outcome)
        self.assertLess(cluster.clock.now() - started_ms, 20_000)

    def test_stale_base_is_refused_before_the_append(self):
        cluster = configurations.ConfigurationCluster()
        cluster.publisher().publish(configurations.TEXT)
        result = cluster.publisher().publish(configurations.text(1), base=-1)
        self.assertEqual(("refused", 0), (result.outcome, result.version))
        stream = cluster.platform.read(configuration_log.STREAM, 0, 10, 0)
        self.assertEqual(1, len(stream.records))
