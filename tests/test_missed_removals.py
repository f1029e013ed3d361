"""Removals of keys that a VM can learn only from peers."""

import testtools

from hornbeampier.replication import messages
from hornbeampier.replication import replica
from tests import test_replication as replication

TOPIC = "keyed.servers"


class MissedRemovalTest(testtools.TestCase):
    def start_replica(self, keys, end):
        """Returns a replica that has read a snapshot, and its applier."""
        applier = replication.RecordingApplier()
        topic_replica = replica.TopicReplica(TOPIC, applier)
        records = tuple(
            messages.Record(key, b"v", offset, 1) for offset, key in keys
        )
        topic_replica.apply_snapshot(messages.Snapshot(records, end, 1))
        return topic_replica, applier

    # Guards against DRAIN: an endpoint that was removed before a peer started
    # stays in use on a VM that fetches what it missed from that peer.
    def test_removal_before_the_start_of_a_peer_is_not_missed(self):
        behind, applier = self.start_replica([(1, "e1"), (2, "e2")], 5)
        peer, _ = self.start_replica([(7, "e2")], 8)
        behind.apply_batch(peer.records_since(behind.position))
        self.assertEqual(8, behind.offset)
        self.assertIn(("e1", None), applier.applied)
