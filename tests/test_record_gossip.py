"""Which positions VMs tell each other while endpoints write heartbeats.

Each position that a VM hears makes it fetch records from a peer.
"""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.replication import appliers
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from hornbeampier.routing import catalog
from tests import gossip_cluster
from tests import nodes
from tests.era_fakes import entry

STEPS_PER_S = round(1_000 / gossip_cluster.STEP_MS)


class ReportedPositionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = gossip_cluster.Cluster(9, 3, random.Random(1))
        self.cluster.run(2)
        self.reader, self.other = list(self.cluster.vms.values())[:2]

    def heard(self):
        """The position of the reader that the other VM knows."""
        return self.other.catch_up._peers["topic"].get(self.reader.host)

    # Guards against the load of a large fleet, whose VMs fetched records four
    # times a second, as endpoints wrote that they are alive.
    def test_heartbeats_of_endpoints_are_reported_once_a_second(self):
        heard = set()
        for _ in range(10 * STEPS_PER_S):
            self.reader.replica.beat()
            self.cluster.run(gossip_cluster.STEP_MS / 1_000)
            heard.add(self.heard())
        self.assertLessEqual(len(heard), 12)
        self.assertGreaterEqual(len(heard), 8)

    def test_changes_are_reported_at_once(self):
        for _ in range(20):
            self.reader.replica.beat()
            self.cluster.run(0.1)
            self.reader.replica.change()
            self.cluster.run(0.1)
            self.assertEqual(self.reader.replica.position, self.heard())


class ChangedPositionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        applier = appliers.EndpointApplier(
            catalog.Catalog(), nodes.HEARTBEAT_MS, clocks.ManualClock()
        )
        self.replica = replica.TopicReplica("topic", applier)
        self.offset = 0

    def put(self, value, era=0):
        record = messages.Record("i-1", value, self.offset, era)
        self.offset += 1
        self.replica.apply_batch(messages.Batch((record,), self.offset, era))

    def assert_changed(self, is_changed):
        has_changed = self.replica.changed == self.replica.position
        self.assertEqual(is_changed, has_changed)

    def test_only_heartbeats_change_nothing(self):
        self.put(entry(sequence=1))
        self.assert_changed(True)
        self.put(entry(sequence=2))
        self.assert_changed(False)
        for value in (
            entry(sequence=3, state="draining"),
            None,
            entry(sequence=4),
            b"unreadable",
        ):
            self.put(value)
            self.assert_changed(True)

    def test_another_era_is_a_change(self):
        self.put(entry(sequence=1))
        self.put(entry(sequence=2), era=1)
        self.assert_changed(True)

    def test_snapshot_is_a_change(self):
        self.replica.apply_snapshot(messages.Snapshot((), 7))
        self.assertEqual(positions.Position(0, 7), self.replica.changed)


class GoneVmTest(testtools.TestCase):
    # Guards against state that grows with each VM that is replaced.
    def test_sequence_numbers_of_vms_that_are_gone_are_forgotten(self):
        cluster = gossip_cluster.Cluster(3, 3, random.Random(1))
        cluster.run(2)
        gone, *_ = cluster.vms
        cluster.kill([gone])
        cluster.run(20)
        gossips = [vm.gossip for vm in cluster.vms.values()]
        self.assertTrue(all(gone in g._last_received for g in gossips))
        cluster.run(130)
        self.assertFalse(any(gone in g._last_received for g in gossips))
