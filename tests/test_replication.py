"""Replication of configurations and endpoint entries to every VM.

A VM must neither miss a record, for example in an outage of the store or when
store readers fail, nor return to an older one.
"""

import json
import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import names
from hornbeampier.replication import appliers
from hornbeampier.replication import follower
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from hornbeampier.routing import catalog
from tests import nodes
from tests import store_standin


def record(key, offset, value=b"v"):
    return messages.Record(key, value, offset)


class RecordingApplier:
    def __init__(self):
        self.applied = []
        self.lost = 0
        self.regained = 0

    def apply_record(self, record):
        self.applied.append((record.key, record.value))
        return True

    def on_source_lost(self):
        self.lost += 1

    def on_source_regained(self):
        self.regained += 1


class TopicReplicaTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.applier = RecordingApplier()
        self.replica = replica.TopicReplica("t", self.applier)

    def test_older_record_of_a_key_is_not_applied(self):
        self.replica.apply_batch(messages.Batch((record("k", 5, b"new"),), 6))
        self.replica.apply_batch(messages.Batch((record("k", 3, b"old"),), 4))
        self.assertEqual([("k", b"new")], self.applier.applied)
        self.assertEqual(6, self.replica.offset)

    def test_key_missing_from_a_snapshot_is_removed(self):
        self.replica.apply_batch(messages.Batch((record("a", 1),), 2))
        self.replica.apply_snapshot(messages.Snapshot((record("b", 2),), 3))
        self.assertIn(("a", None), self.applier.applied)

    def test_snapshot_older_than_a_record_does_not_remove_it(self):
        self.replica.apply_batch(messages.Batch((record("a", 9),), 10))
        self.replica.apply_snapshot(messages.Snapshot((), 5))
        self.assertEqual([("a", b"v")], self.applier.applied)

    def test_records_since_an_offset_bring_a_peer_up_to_date(self):
        other = replica.TopicReplica("t", RecordingApplier())
        records = (record("a", 0), record("b", 1), record("a", 2, None))
        self.replica.apply_batch(messages.Batch(records, 3))
        other.apply_batch(messages.Batch(records[:1], 1))
        other.apply_batch(self.replica.records_since(positions.Position(0, 1)))
        self.assertEqual(3, other.offset)
        self.assertEqual(
            self.replica.records_since(positions.START),
            other.records_since(positions.START),
        )


class FakeSource:
    """Returns the given results in turn, or raises those that are errors."""

    def __init__(self, *results):
        self.results = list(results)
        self.waits_ms = []

    def read_snapshot(self, topic):
        return self._next()

    def read(self, topic, offset, wait_ms):
        self.waits_ms.append(wait_ms)
        return self._next()

    def close(self):
        pass

    def _next(self):
        result = self.results.pop(0)
        if isinstance(result, BaseException):
            raise result
        return result


class TopicFollowerTest(testtools.TestCase):
    def make(self, *results, readers=9, should_read=lambda: True):
        self.applier = RecordingApplier()
        self.source = FakeSource(*results, KeyboardInterrupt())
        self.replica = replica.TopicReplica("t", self.applier)
        return follower.TopicFollower(
            self.replica,
            self.source,
            clocks.ManualClock(),
            random.Random(1),
            lambda: readers,
            should_read,
        )

    def follow(self, *results, readers=9):
        topic_follower = self.make(*results, readers=readers)
        self.assertRaises(KeyboardInterrupt, topic_follower.run)
        return self.replica

    def test_standby_vm_makes_no_calls_to_the_store(self):
        snapshot = messages.Snapshot((record("a", 0),), 1)
        topic_follower = self.make(snapshot, should_read=lambda: False)
        for _ in range(50):
            topic_follower._read_once()
        self.assertEqual([], self.source.waits_ms)
        self.assertFalse(topic_follower.reads_store)

    def test_vm_resumes_reading_at_the_offset_from_peers(self):
        should_read = iter([False, True])
        snapshot = messages.Snapshot((record("a", 0),), 1)
        newer_batch = messages.Batch((record("c", 9),), 10)
        topic_follower = self.make(
            snapshot, newer_batch, should_read=lambda: next(should_read)
        )
        topic_follower._read_once()
        topic_follower._read_once()
        self.replica.apply_batch(messages.Batch((record("b", 8),), 9))
        topic_follower._read_once()
        self.assertEqual(10, self.replica.offset)
        self.assertTrue(topic_follower.reads_store)

    def test_vm_without_records_reads_although_others_do(self):
        snapshot = messages.Snapshot((record("a", 0),), 1)
        topic_follower = self.make(snapshot, should_read=lambda: False)
        topic_follower._read_once()
        self.assertEqual(1, self.replica.offset)

    def test_outage_calls_each_hook_once(self):
        topic_replica = self.follow(
            messages.Snapshot((record("a", 0),), 1),
            errors.PlatformError("down"),
            errors.PlatformError("down"),
            messages.Batch((record("b", 1),), 2),
        )
        self.assertEqual(1, self.applier.lost)
        self.assertEqual(1, self.applier.regained)
        self.assertEqual(2, topic_replica.offset)

    def test_call_rate_does_not_depend_on_the_number_of_readers(self):
        # All readers together make few calls, but frequent ones: if the store
        # fails to wake a waiting call, another one follows soon.
        empty = messages.Batch((), 1)
        snapshot = messages.Snapshot((), 1)
        for readers in (1, 9, 20):
            self.follow(snapshot, *[empty] * 200, readers=readers)
            waits_ms = self.source.waits_ms
            calls_per_s = 1_000 * readers * len(waits_ms) / sum(waits_ms)
            self.assertTrue(0.8 < calls_per_s < 2.0, calls_per_s)
            self.assertLessEqual(max(waits_ms), 20_000.0)

    def test_records_that_come_one_by_one_need_few_calls(self):
        """Endpoints register one after the other while a deployment starts."""
        batches = [
            messages.Batch((record(f"k{number}", number),), number + 1)
            for number in range(1, 21)
        ]
        topic_follower = self.make(messages.Snapshot((), 1), *batches)
        self.assertRaises(KeyboardInterrupt, topic_follower.run)
        took_ms = topic_follower._clock.now()
        self.assertEqual(20 * follower.READ_INTERVAL_MS, took_ms)

    def test_compacted_records_are_replaced_by_a_snapshot(self):
        topic_replica = self.follow(
            messages.Snapshot((record("a", 0),), 1),
            messages.RecordsCompactedError("gone"),
            messages.Snapshot((record("b", 5),), 6),
        )
        self.assertEqual(6, topic_replica.offset)
        self.assertIn(("a", None), self.applier.applied)


class ConfigurationApplierTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalog = catalog.Catalog()
        self.applier = appliers.ConfigurationApplier(self.catalog, "config")

    def put(self, value):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.applier.apply_record(messages.Record("config", value, 0))

    def test_older_or_unreadable_configuration_changes_nothing(self):
        self.put(nodes.configuration(5))
        self.put(nodes.configuration(4))
        self.put(b"{")
        self.put(None)
        self.put({"version": 6})
        self.assertEqual(5, self.catalog.version)
        self.put(nodes.configuration(7))
        self.assertEqual(7, self.catalog.version)


class NodeReplicationTest(nodes.NodeTestCase):
    """Complete nodes with a stand-in for the store."""

    def test_new_configuration_is_in_force_at_once(self):
        node = self.start_ready_node()
        self.assertEqual(404, self.call(node, path="/new/x").status)
        added = nodes.route("new", "/new/", "safe", nodes.PLAIN_SERVICE)
        self.store.put_configuration(nodes.configuration(2, routes=[added]))
        store_standin.wait_until(lambda: node.catalog.version == 2)
        # There is a route, but no endpoint yet.
        self.assertEqual(503, self.call(node, path="/new/x").status)

    def test_node_without_configuration_responds_with_503(self):
        node = self.start_node()
        self.assertFalse(node.is_ready())
        self.assertEqual(503, self.call(node).status)

    def test_compaction_does_not_stop_updates(self):
        node = self.start_ready_node()
        self.store.put_configuration(nodes.configuration(2))
        self.store.compact(names.OPERATOR_TOPIC)
        self.store.put_configuration(nodes.configuration(3))
        store_standin.wait_until(lambda: node.catalog.version == 3)

    def test_node_that_starts_while_the_store_is_down_catches_up_from_a_peer(
        self,
    ):
        peer_port = nodes.free_port()
        control_port = nodes.free_port()
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        first = self.start_ready_node(
            **self.peer_settings("127.0.0.2", control_port, peer_port)
        )
        self.store.down = True
        second = self.start_node(
            **self.peer_settings("127.0.0.3", control_port, peer_port)
        )
        store_standin.wait_until(second.is_ready)
        self.assertEqual(first.catalog.version, second.catalog.version)
        self.assertEqual(200, self.call(second).status)

    def peer_settings(self, host, control_port, peer_port):
        return {
            "host": host,
            "control": nodes.settings.Address(host, control_port),
            "seeds": (nodes.settings.Address("127.0.0.2", control_port),),
            "peer_port": peer_port,
        }
