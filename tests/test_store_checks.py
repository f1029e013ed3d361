"""When a VM reads the store itself, whatever it has heard."""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.replication import fresh_reads
from hornbeampier.replication import messages
from hornbeampier.replication import replica
from hornbeampier.replication import store_checks
from hornbeampier.replication import store_readers
from hornbeampier.routing import freshness
from tests import gossip_cluster
from tests import test_replication as replication

TOPICS = ("keyed.op", "keyed.servers")
DRAIN_MS = 2_000.0


class ImmediateReads:
    """Reads that end at once, as the test says.

    Attributes:
        starts_ms: When reads began.
        is_down: Whether they fail.
    """

    def __init__(self, replicas, clock):
        self._replicas = replicas
        self._clock = clock
        self.starts_ms = []
        self.is_down = False

    def request(self):
        self.starts_ms.append(self._clock.now())
        confirmation = freshness.Confirmation(0.0)
        if not self.is_down:
            for topic_replica in self._replicas:
                topic_replica.currency.confirm(self._clock.now())
        confirmation.finish(not self.is_down)
        return confirmation


class StoreChecksTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.replicas = [
            replica.TopicReplica(topic, replication.RecordingApplier())
            for topic in TOPICS
        ]
        self.reads = ImmediateReads(self.replicas, self.clock)
        self.rank = 0
        self.checks = store_checks.StoreChecks(
            self.replicas,
            self.reads,
            lambda: store_checks.allowed_age_ms(self.rank, has_hubs=False),
            lambda: 9,
            self.clock,
            random.Random(1),
        )

    def start_replicas(self):
        for topic_replica in self.replicas:
            topic_replica.apply_snapshot(messages.Snapshot((), 4, 1))
            topic_replica.currency.confirm(self.clock.now())

    def step(self):
        self.clock.sleep(store_checks.CHECK_INTERVAL_MS)
        if self.checks._is_due():
            self.checks._check()

    def run_for(self, duration_ms, on_step=lambda: None):
        end_ms = self.clock.now() + duration_ms
        while self.clock.now() < end_ms:
            on_step()
            self.step()

    # Guards against DRAIN: nobody asks the store for longer than an endpoint
    # that leaves serves on.
    def test_records_are_never_older_than_half_of_the_drain_time(self):
        self.start_replicas()
        ages_ms = []
        for self.rank in range(9):
            self.run_for(5_000.0, lambda: ages_ms.append(self.checks._age_ms()))
        # The read's connection may have ended unnoticed.
        longest_ms = max(ages_ms) + fresh_reads.READ_TIMEOUT_MS
        self.assertLess(longest_ms, DRAIN_MS / 2)

    def test_vm_that_hears_that_nothing_is_new_makes_no_calls(self):
        self.start_replicas()

        def hear():
            for r in self.replicas:
                r.currency.record_peer(
                    r.position, self.clock.now() - 300.0, r.position
                )

        self.run_for(5_000.0, hear)
        self.assertEqual([], self.reads.starts_ms)

    def test_vm_that_has_not_started_makes_no_calls(self):
        self.run_for(5_000.0)
        self.assertEqual([], self.reads.starts_ms)

    # Guards against a connection that has ended unnoticed: the first read shows
    # it, the second one is made at once.
    def test_read_that_fails_is_made_again_at_once(self):
        self.start_replicas()
        self.reads.is_down = True
        while len(self.reads.starts_ms) < 2:
            self.step()
        first_ms, second_ms = self.reads.starts_ms
        self.assertEqual(store_checks.CHECK_INTERVAL_MS, second_ms - first_ms)

    # Guards against many calls to a store that is away.
    def test_calls_to_a_store_that_is_away_become_rare(self):
        self.start_replicas()
        self.reads.is_down = True
        self.run_for(10_000.0)
        before = len(self.reads.starts_ms)
        self.run_for(10_000.0)
        self.assertLessEqual(len(self.reads.starts_ms) - before, 20)

    # Guards against DRAIN after an outage: `stableMs` is over, and this VM
    # still waits for its next try.
    def test_store_that_is_back_is_read_within_its_stable_time(self):
        self.start_replicas()
        self.reads.is_down = True
        self.run_for(20_000.0)
        self.reads.is_down = False
        back_ms = self.clock.now()
        self.run_for(3_000.0)
        tries_ms = [ms for ms in self.reads.starts_ms if ms >= back_ms]
        self.assertLessEqual(
            tries_ms[0] - back_ms,
            store_checks.MAX_BACKOFF_MS + store_checks.CHECK_INTERVAL_MS,
        )


class AllowedAgeTest(testtools.TestCase):
    # Guards against calls of all VMs at once whenever nothing is new.
    def test_vms_that_rank_first_read_first(self):
        ages_ms = [store_checks.allowed_age_ms(r, False) for r in range(4)]
        self.assertEqual(sorted(set(ages_ms)), ages_ms)

    def test_vms_behind_hubs_wait_for_their_hub(self):
        for rank in range(store_readers.READER_COUNT, 200):
            self.assertGreater(store_checks.allowed_age_ms(rank, True), 1_250.0)

    def test_first_vm_of_a_large_fleet_waits_for_nobody(self):
        self.assertEqual(
            store_checks.MAX_AGE_MS, store_checks.allowed_age_ms(0, True)
        )


class ScriptedSource:
    """A store that has dropped the records after the replica's offset."""

    def __init__(self, snapshot, outcome):
        self._snapshot = snapshot
        self._outcome = outcome

    def read_to_end(self, topic, offset):
        del topic, offset
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome

    def read_snapshot(self, topic):
        del topic
        return self._snapshot

    def close(self):
        pass


class DroppedRecordsTest(testtools.TestCase):
    def read(self, snapshot, outcome):
        self.applier = replication.RecordingApplier()
        self.applier.supersedes = lambda record, current: True
        self.replica = replica.TopicReplica(TOPICS[0], self.applier)
        record = messages.Record("e1", b"v", 1, 1)
        self.replica.apply_snapshot(messages.Snapshot((record,), 2, 1))
        reads = fresh_reads.FreshReads(
            [self.replica],
            ScriptedSource(snapshot, outcome),
            lambda: 1,
            lambda route: True,
            clocks.SystemClock(),
        )
        reads.start()
        self.addCleanup(reads.stop)
        return reads.request().wait()

    # Guards against DRAIN: a VM that stands by learns of no removal after the
    # store has dropped its history, as its peers stand still.
    def test_snapshot_shows_what_was_removed_before_records_were_dropped(self):
        self.read(
            messages.Snapshot((), 9, 1),
            messages.RecordsCompactedError("gone", 8),
        )
        self.assertIn(("e1", None), self.applier.applied)
        self.assertGreater(self.replica.currency.as_of_ms, 0.0)

    def test_snapshot_shows_what_a_copy_of_the_store_has(self):
        self.read(messages.Snapshot((), 1, 2), messages.Batch((), 1, 2))
        self.assertEqual(2, self.replica.era)

    # Guards against a return to what an older copy has.
    def test_snapshot_of_an_earlier_era_is_not_applied(self):
        is_confirmed = self.read(
            messages.Snapshot((), 9, 0),
            messages.RecordsCompactedError("gone", 8),
        )
        self.assertFalse(is_confirmed)
        self.assertNotIn(("e1", None), self.applier.applied)


class ToldReadsTest(testtools.TestCase):
    def start(self, vms):
        cluster = gossip_cluster.Cluster(vms, 3, random.Random(1))
        cluster.run(10.0)
        return cluster

    def spread_ms(self, cluster, host):
        """Returns how long all VMs take to hear of a read of one VM."""
        reader = cluster.vms[host]
        read_ms = cluster.clock.now()
        reader.replica.currency.confirm(read_ms)
        while any(
            vm.replica.currency.as_of_ms < read_ms - gossip_cluster.STEP_MS
            for vm in cluster.vms.values()
        ):
            cluster.run(gossip_cluster.STEP_MS / 1_000.0)
        return cluster.clock.now() - read_ms

    # Guards against calls of all VMs, as none hears what others have read.
    def test_all_vms_hear_of_a_read_in_the_next_round(self):
        cluster = self.start(9)
        for host in list(cluster.vms):
            self.assertLessEqual(
                self.spread_ms(cluster, host), store_checks.STAGGER_MS + 50.0
            )

    # Guards against calls of all VMs of a large fleet: what the first one has
    # read reaches the others before they read the store themselves.
    def test_vms_behind_hubs_hear_of_a_read_before_they_read_themselves(self):
        cluster = self.start(60)
        for host in list(cluster.vms)[:10]:
            spread_ms = self.spread_ms(cluster, host)
            self.assertLess(
                store_checks.MAX_AGE_MS + spread_ms,
                store_checks.MAX_AGE_BEHIND_HUBS_MS,
            )

    def test_read_without_news_is_told_once(self):
        cluster = self.start(3)
        vm = next(iter(cluster.vms.values()))
        exchange = vm.gossip._exchange
        vm.replica.currency.confirm(cluster.clock.now())
        self.assertIn("topic", exchange.collect_delta().checks)
        self.assertEqual({}, exchange.collect_delta().checks)
