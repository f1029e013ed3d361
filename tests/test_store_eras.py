"""VMs before a store that returns from a copy some seconds old.

What it has acknowledged since is lost, and offsets are given out again under a
later era.
"""

import random

from hornbeampier.platform import names
from hornbeampier.replication import follower
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from tests import era_fakes
from tests import nodes
from tests import store_standin

REVOKED_KEY = "key-0"


class FakeSource:
    def __init__(self, *results):
        self.results = list(results)

    def read_snapshot(self, topic):
        return self._next(messages.Snapshot)

    def read(self, topic, offset, wait_ms):
        return self._next(messages.Batch)

    def close(self):
        pass

    def _next(self, kind):
        result = self.results.pop(0)
        if isinstance(result, BaseException):
            raise result
        if not isinstance(result, kind):
            raise AssertionError(f"{kind.__name__} asked for, not {result}")
        return result


class FollowerTest(era_fakes.VmTestCase):
    def follow(self, *results):
        topic_replica = self.vm.replicas[names.OPERATOR_TOPIC]
        task = follower.TopicFollower(
            topic_replica,
            FakeSource(*results, KeyboardInterrupt()),
            self.clock,
            random.Random(1),
            lambda: 1,
            lambda: True,
        )
        self.assertRaises(KeyboardInterrupt, task.run)
        self.source_lost = task.source_lost
        return topic_replica

    def config(self, version, offset, era):
        return messages.Record(
            era_fakes.CONFIG, era_fakes.config_value(version), offset, era
        )

    def test_records_read_in_a_later_era_are_read_again_as_a_snapshot(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 1),), 1, 1),
            messages.Batch((self.config(9, 1, 2),), 2, 2),
            messages.Snapshot((self.config(8, 0, 2),), 1, 2),
        )
        self.assertEqual(positions.Position(2, 1), topic_replica.position)
        self.assertEqual(8, self.vm.catalog.version)

    def test_offset_that_the_store_does_not_have_leads_to_a_snapshot(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 7, 1),), 8, 1),
            messages.RecordsCompactedError("gone"),
            messages.Snapshot((self.config(2, 3, 2),), 4, 2),
        )
        self.assertEqual(positions.Position(2, 4), topic_replica.position)

    def test_two_eras_in_a_few_seconds_are_followed(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 1),), 1, 1),
            messages.Batch((), 1, 2),
            messages.Snapshot((self.config(2, 0, 3),), 1, 3),
            messages.Batch((self.config(3, 1, 3),), 2, 3),
        )
        self.assertEqual(positions.Position(3, 2), topic_replica.position)

    def test_store_of_an_earlier_era_is_not_read(self):
        peer = era_fakes.Vm(self.clock)
        peer.replicas[names.OPERATOR_TOPIC].apply_snapshot(
            messages.Snapshot((self.config(5, 4, 3),), 5, 3)
        )
        self.vm.fetch_from(peer)
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 2),), 1, 2)
        )
        self.assertEqual(positions.Position(3, 5), topic_replica.position)
        self.assertTrue(self.source_lost)

    def test_standby_vm_learns_of_the_era_from_a_peer(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        reader = era_fakes.Vm(self.clock)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.store.restore(copy)
        self.put_config(3)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.assertEqual(3, self.vm.catalog.version)


class NodeEraTest(nodes.NodeTestCase):
    """Complete nodes before a store that returns from a copy."""

    def revoked_cfg(self, version):
        accounts = [{"name": "account-1", "apiKeys": [nodes.KEY]}]
        return nodes.configuration(version, tenants=accounts)

    def start_in_lost_window(self, **settings):
        """Returns a node; the store has lost that a key was revoked."""
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        router = self.start_ready_node(**settings)
        copy = self.store.copy()
        self.store.put_configuration(self.revoked_cfg(2))
        store_standin.wait_until(lambda: router.catalog.version == 2)
        self.store.restore(copy)
        replicas = router._replicas.values()
        store_standin.wait_until(lambda: all(r.era == 2 for r in replicas))
        return router

    # Guards against a revoked key that is valid again, and against changes
    # that are missed, after the store has returned from an older copy.
    def test_revoked_key_stays_revoked_and_changes_are_followed(self):
        router = self.start_in_lost_window()
        self.assertEqual(401, self.call(router, key=REVOKED_KEY).status)
        self.assertEqual(200, self.call(router).status)
        self.store.put_configuration(self.revoked_cfg(3))
        store_standin.wait_until(lambda: router.catalog.version == 3)
        added = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.respond()
        )
        store_standin.wait_until(lambda: added.id in router.catalog.endpoints)

    def test_vm_that_starts_meanwhile_gets_the_configuration_in_force(self):
        control, peer_port = nodes.free_port(), nodes.free_port()
        seeds = (nodes.settings.Address("127.0.0.2", control),)

        def peer_settings(host):
            return {
                "host": host,
                "control": nodes.settings.Address(host, control),
                "seeds": seeds,
                "peer_port": peer_port,
            }

        self.start_in_lost_window(**peer_settings("127.0.0.2"))
        started = self.start_node(**peer_settings("127.0.0.3"))
        store_standin.wait_until(lambda: started.catalog.version == 2)
        self.assertEqual(401, self.call(started, key=REVOKED_KEY).status)

    def test_malformed_era_counts_as_an_outage(self):
        router = self.start_ready_node()
        self.store.era = "first"
        self.store.put_configuration(nodes.configuration(2))
        store_standin.wait_until(
            lambda: any(f.source_lost for f in router._followers)
        )
        self.store.era = 1
        store_standin.wait_until(lambda: router.catalog.version == 2)

    def test_store_without_eras_is_followed(self):
        self.store.era = None
        router = self.start_ready_node()
        self.store.put_configuration(nodes.configuration(2))
        store_standin.wait_until(lambda: router.catalog.version == 2)
