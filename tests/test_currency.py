"""Up to when a VM knows that it has missed no change of a topic."""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import messages as gossip
from hornbeampier.peers import record_checks
from hornbeampier.replication import currency
from hornbeampier.replication import follower
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from tests import test_replication as replication

TOPIC = "keyed.servers"


class SlowSource:
    """A store whose answers take a time that the test sets.

    Attributes:
        took_ms: How long the next call takes.
        batch: What it returns.
    """

    def __init__(self, clock):
        self._clock = clock
        self.took_ms = 0.0
        self.batch = None

    def read_snapshot(self, topic):
        del topic
        self._clock.advance(self.took_ms)
        return messages.Snapshot((), 0, 1)

    def read(self, topic, offset, wait_ms):
        del topic, offset
        if self.took_ms is None:
            self._clock.advance(wait_ms)
        else:
            self._clock.advance(self.took_ms)
        return self.batch


class ReadCurrencyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.source = SlowSource(self.clock)
        self.replica = replica.TopicReplica(
            TOPIC, replication.RecordingApplier()
        )
        self.follower = follower.TopicFollower(
            self.replica,
            self.source,
            self.clock,
            random.Random(1),
            lambda: 1,
            lambda: True,
        )
        self.follower._read_once()

    def read(self, took_ms, **batch):
        """Reads once; returns the age that is known as the answer comes."""
        defaults = {"records": (), "end": 0, "era": 1, "reaches_end": True}
        self.source.took_ms = took_ms
        self.source.batch = messages.Batch(**{**defaults, **batch})
        began_ms = self.clock.now()
        self.follower._read_once()
        if self.replica.currency.as_of_ms < began_ms:
            return None
        return self.replica.currency.as_of_ms - began_ms

    def test_snapshot_is_current_as_of_the_start_of_its_call(self):
        self.assertEqual(0.0, self.replica.currency.as_of_ms)

    # Guards against an answer that was long on its way and passes for new.
    def test_records_are_current_as_of_the_start_of_their_call(self):
        record = messages.Record("e1", b"v", 0, 1)
        self.assertEqual(0.0, self.read(700.0, records=(record,), end=1))

    def test_call_that_waited_in_vain_is_current_as_of_its_end(self):
        self.assertGreater(self.read(None), 300.0)

    def test_empty_answer_that_came_at_once_proves_nothing_more(self):
        self.assertEqual(0.0, self.read(5.0))

    # Guards against the first part of a long log that passes for all of it.
    def test_answer_that_does_not_reach_the_end_proves_nothing(self):
        record = messages.Record("e1", b"v", 0, 1)
        self.clock.advance(100.0)
        age_ms = self.read(5.0, records=(record,), end=1, reaches_end=False)
        self.assertIsNone(age_ms)


class PeerCurrencyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader = replica.TopicReplica(
            TOPIC, replication.RecordingApplier()
        )
        self.other = replica.TopicReplica(TOPIC, replication.RecordingApplier())
        self.reader.apply_snapshot(messages.Snapshot((), 4, 1))
        self.other.apply_snapshot(messages.Snapshot((), 4, 1))
        self.reader.currency.confirm(1_000.0)

    def checks(self, topic_replica, now_ms):
        return record_checks.RecordChecks(
            {TOPIC: topic_replica}, clocks.ManualClock(now_ms)
        )

    def tell(self, now_ms):
        told = self.checks(self.reader, now_ms).all()
        self.checks(self.other, now_ms).apply(told)

    def test_vm_with_all_changes_is_as_current_as_its_peer(self):
        self.tell(1_200.0)
        self.assertEqual(1_000.0, self.other.currency.as_of_ms)

    # Guards against a VM that takes itself for current without the records
    # that its peer has.
    def test_vm_without_a_change_is_current_only_once_it_has_it(self):
        record = messages.Record("e1", b"v", 4, 1)
        batch = messages.Batch((record,), 5, 1)
        self.reader.apply_batch(batch)
        self.tell(1_200.0)
        self.assertLess(self.other.currency.as_of_ms, 0.0)
        self.other.apply_batch(batch)
        self.assertEqual(1_000.0, self.other.currency.as_of_ms)

    def test_peer_that_has_been_away_for_long_tells_nothing(self):
        now_ms = 1_001.0 + record_checks.MAX_AGE_MS
        self.assertEqual({}, self.checks(self.reader, now_ms).all())

    def test_topic_that_this_vm_does_not_know_is_skipped(self):
        checks = {"other": gossip.RecordCheck(1, 1, False, 5)}
        self.checks(self.other, 10.0).apply(checks)

    # Guards against positions of peers that pile up without end.
    def test_number_of_awaited_positions_is_bounded(self):
        known = currency.Currency()
        for offset in range(1_000):
            known.record_peer(positions.Position(1, offset), 5.0, None)
        self.assertEqual(currency.MAX_AWAITED, len(known._awaited))

    # Guards against positions that are never reached and displace all others.
    def test_latest_position_is_awaited_beside_wrong_ones(self):
        known = currency.Currency()
        for offset in range(100):
            known.record_peer(positions.Position(9, offset), offset, None)
        known.record_peer(positions.Position(1, 5), 200.0, None)
        known.advance(positions.Position(1, 5))
        self.assertEqual(200.0, known.as_of_ms)
