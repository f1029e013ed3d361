"""Rules of a lease that random histories reach too seldom."""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.duties import lease
from hornbeampier.duties import lease_records
from hornbeampier.duties import lease_steps

LEASE_MS = 3_000.0


class LeaseTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(1_000_000.0)

    def make(self, requires_fence=True):
        return lease.Lease(
            "metering",
            "vm-1",
            LEASE_MS,
            requires_fence,
            self.clock,
            random.Random(1),
        )

    def contents(self, released=True, end=5, era=1, record_era=1):
        record = lease_records.HolderRecord("vm-2", 2, record_era, released)
        return lease_records.Contents(record, {}, end, era)

    def acquire_ms(self, decision, contents):
        """Returns the time until an append, while reads show `contents`."""
        began_ms = self.clock.now()
        while True:
            self.clock.advance(10.0)
            step = decision.next_step(True)
            if isinstance(step, lease_steps.Append):
                decision.on_appended(
                    step,
                    lease_records.Appended(
                        contents.end, contents.end + 1, contents.era
                    ),
                )
                return self.clock.now() - began_ms
            if step is not None:
                decision.on_read(contents)


class EraTest(LeaseTestCase):
    # Guards against windows of usage that count as reported in an earlier era,
    # or as not reported, because the era was seen at another time.
    def test_era_is_known_since_it_was_first_seen(self):
        decision = self.make()
        began_ms = self.clock.now()
        self.assertIsNone(decision.era())
        waited_ms = self.acquire_ms(decision, self.contents(era=2))
        first, held = decision.era(), self.clock.now()
        self.assertEqual(2, first.number)
        self.assertLess(first.seen_ms, held - LEASE_MS / 2)
        self.assertGreater(first.seen_ms, began_ms)
        self.assertGreaterEqual(waited_ms, LEASE_MS)
        step = decision.begin_record("key", b"value")
        decision.on_appended(step, lease_records.Appended(6, 7, 2))
        self.assertEqual(first, decision.era())

    # Guards against records of an earlier era that count as those of the later
    # one before they have been written there.
    def test_era_rises_with_the_append_that_restores_the_records(self):
        decision = self.make()
        self.acquire_ms(decision, self.contents(era=1))
        decision.on_read(self.contents(era=2, end=3))
        self.assertEqual(1, decision.era().number)
        step = decision.next_step(True)
        seen_ms = self.clock.now()
        self.clock.advance(10.0)
        decision.on_appended(step, lease_records.Appended(3, 4, 2))
        self.assertEqual(2, decision.era().number)
        self.assertEqual(seen_ms, decision.era().seen_ms)


class AcquisitionTest(LeaseTestCase):
    # Guards against a VM that acts again within the lease time because it was
    # restarted while another VM took over and released the lease.
    def test_new_process_waits_for_the_lease_time(self):
        waited_ms = self.acquire_ms(self.make(), self.contents())
        self.assertGreaterEqual(waited_ms, LEASE_MS)

    # Guards against a VM that takes the lease back at once and acts again
    # within the lease time of another holder.
    def test_vm_that_lost_the_lease_leaves_it_to_others(self):
        decision = self.make()
        self.acquire_ms(decision, self.contents())
        decision.on_conflict()
        decision.on_read(self.contents(end=7))
        self.assertIsNone(decision.term())
        waited_ms = self.acquire_ms(decision, self.contents(end=7))
        self.assertGreaterEqual(waited_ms, 2 * LEASE_MS)

    # Guards against a takeover while the holder of a lost record still acts.
    def test_release_of_an_earlier_era_does_not_count(self):
        decision = self.make()
        self.clock.advance(2 * LEASE_MS)
        waited_ms = self.acquire_ms(
            decision, self.contents(era=2, record_era=1)
        )
        self.assertGreaterEqual(waited_ms, LEASE_MS)


class TokenTest(LeaseTestCase):
    # Guards against late calls of the previous holder, or of this one with an
    # older token, being executed after a call with a higher token.
    def test_without_fence_the_first_call_waits_and_the_token_stays(self):
        decision = self.make(requires_fence=False)
        self.acquire_ms(decision, self.contents())
        self.assertIsNone(decision.term())
        end_ms = self.clock.now() + LEASE_MS
        token = decision.token
        end = 6
        while self.clock.now() <= end_ms:
            step = decision.next_step(True)
            if step is not None:
                decision.on_appended(
                    step, lease_records.Appended(end, end + 1, 1)
                )
                end += 1
            self.clock.advance(100.0)
        self.assertEqual(token, decision.term().token)

    # Guards against late calls of the holder that are executed after its newer
    # ones.
    def test_with_fence_each_renewal_raises_the_token(self):
        decision = self.make()
        self.acquire_ms(decision, self.contents())
        token = decision.term().token
        self.clock.advance(LEASE_MS / 3)
        step = decision.next_step(True)
        decision.on_appended(step, lease_records.Appended(6, 7, 1))
        self.assertGreater(decision.term().token, token)

    # Guards against a token of an append that an older copy has lost.
    def test_response_of_another_era_gives_no_term(self):
        decision = self.make()
        self.clock.advance(2 * LEASE_MS)
        decision.next_step(True)
        decision.on_read(self.contents())
        step = decision.next_step(True)
        appended = lease_records.Appended(5, 6, 2)
        self.assertFalse(decision.on_appended(step, appended))
        self.assertIsNone(decision.term())
