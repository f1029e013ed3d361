"""Which requests are blocked after crashes: patterns, without a network."""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import crash_blocks
from hornbeampier.routing import crash_suspects
from hornbeampier.routing import crashes
from tests import crashing_engines

CRASH_GAP_MS = 1_000.0


class HistoryTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.history = crashes.CrashHistory(self.clock)
        self.crash_count = 0

    def crash(self, *names, gap_ms=CRASH_GAP_MS, fingerprint=None):
        """An engine crashes while a prompt with these segments begins."""
        self.clock.advance(gap_ms)
        self.crash_count += 1
        fingerprint = fingerprint or f"{self.crash_count:032x}"
        for suspect in {fingerprint, *crashing_engines.suspects_of(*names)}:
            incarnation = f"i-{self.crash_count}/1"
            self.history.record(crashes.Crash(suspect, incarnation))

    def serve(self, *names):
        self.history.record_success(crashing_engines.suspects_of(*names))

    def is_blocked(self, *names, fingerprint="ff" * 16):
        return self.history.is_blocked(
            {fingerprint, *crashing_engines.suspects_of(*names)}
        )


class CrashingSegmentTest(HistoryTestCase):
    """One segment crashes engines, whatever else the prompts hold."""

    def test_segment_in_requests_that_are_all_different_is_blocked(self):
        for number in range(crash_blocks.CRASH_LIMIT):
            self.assertFalse(self.is_blocked("bad"))
            self.crash(f"other-{number}", "bad")
        self.assertTrue(self.is_blocked("bad"))
        self.assertTrue(self.is_blocked("new", "bad"))
        self.assertFalse(self.is_blocked("other-0"))

    def test_shared_segment_that_is_served_meanwhile_stays_open(self):
        for _ in range(10):
            self.crash("first", "bad")
            self.serve("first", "good")
        self.assertTrue(self.is_blocked("first", "bad"))
        self.assertFalse(self.is_blocked("first", "good"))

    def test_segments_always_seen_together_are_blocked_together(self):
        """Until they are seen apart, either of them may be the cause."""
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("first", "bad")
        self.assertTrue(self.is_blocked("first", "bad"))
        self.assertFalse(self.is_blocked("first"))
        self.serve("first")
        self.assertTrue(self.is_blocked("bad"))
        self.assertFalse(self.is_blocked("first"))

    def test_further_crash_tells_segments_apart(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("first", "bad")
        self.crash("second", "bad")
        self.assertTrue(self.is_blocked("bad"))
        self.assertFalse(self.is_blocked("first"))

    def test_other_prompts_that_begin_at_each_crash_are_not_blocked(self):
        self.serve("popular")
        for number in range(crash_blocks.CRASH_LIMIT):
            self.crash(f"new-{number}", "bad", "popular")
        self.assertTrue(self.is_blocked("bad"))
        self.assertFalse(self.is_blocked("popular"))

    def test_two_crashing_segments_are_both_blocked(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("first", "bad")
            self.crash("first", "worse")
            self.serve("first")
        self.assertTrue(self.is_blocked("bad"))
        self.assertTrue(self.is_blocked("worse"))
        self.assertFalse(self.is_blocked("first"))

    def test_request_that_is_retried_does_not_hide_its_segment(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("first", "bad", fingerprint="aa" * 16)
        self.serve("first")
        self.crash("second", "bad")
        self.assertTrue(self.is_blocked("third", "bad"))


class CrashingRequestTest(HistoryTestCase):
    """A whole request crashes engines; its segments are sound."""

    def test_prompts_with_its_segments_are_served(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("first", "second", fingerprint="aa" * 16)
        self.assertTrue(
            self.is_blocked("first", "second", fingerprint="aa" * 16)
        )
        self.assertFalse(self.is_blocked("first", "second"))
        self.serve("first", "second")
        self.assertTrue(
            self.is_blocked("first", "second", fingerprint="aa" * 16)
        )


class OtherCrashesTest(HistoryTestCase):
    """Engines crash for reasons of their own."""

    def test_many_engines_that_crash_together_block_no_segment(self):
        for _ in range(20):
            self.crash("popular", gap_ms=1.0)
        self.assertFalse(self.is_blocked("popular"))

    def test_served_segment_is_blocked_after_more_crashes(self):
        self.serve("popular")
        for _ in range(crash_blocks.SERVED_CRASH_LIMIT - 1):
            self.crash("popular")
        self.assertFalse(self.is_blocked("popular"))
        self.crash("popular")
        self.assertTrue(self.is_blocked("popular"))

    # Guards against equal requests that all callers send, such as the soak's,
    # being blocked for long because engines crashed beside them.
    def test_frequent_request_is_blocked_later_than_the_crashing_segment(self):
        frequent = "aa" * 16
        self.history.record_success({frequent})
        for _ in range(crash_blocks.SERVED_CRASH_LIMIT + 1):
            self.crash("bad")
            incarnation = f"i-{self.crash_count}/1"
            self.history.record(crashes.Crash(frequent, incarnation))
        self.assertTrue(self.is_blocked("bad"))
        self.assertFalse(self.history.is_blocked({frequent}))

    def test_frequent_request_on_engines_that_crash_together_is_served(self):
        frequent = "aa" * 16
        self.history.record_success({frequent})
        for _ in range(20):
            self.crash("popular", gap_ms=1.0, fingerprint=frequent)
        self.assertFalse(self.history.is_blocked({frequent}))

    def test_suspect_that_was_served_before_is_tried_earlier(self):
        self.serve("popular")
        for _ in range(crash_blocks.SERVED_CRASH_LIMIT):
            self.crash("popular")
        [block] = self.history.blocks()
        wait_ms = self.history.trial_in_ms(block)
        self.assertEqual(crash_blocks.SERVED_TRIAL_MS, wait_ms)

    def test_random_crashes_block_no_segment(self):
        """Requests of a minute, while engines crash every two seconds."""
        rng = random.Random(1)
        blocked = 0
        for _ in range(30):
            begun = [f"seg-{rng.randrange(40)}" for _ in range(4)]
            self.crash("first", *begun, gap_ms=2_000.0)
            for _ in range(20):
                names = ("first", f"seg-{rng.randrange(40)}")
                blocked += self.is_blocked(*names)
                self.serve(*names)
        self.assertEqual(0, blocked)


class TrialTest(HistoryTestCase):
    def block(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("bad")
        [block] = self.history.blocks()
        return block

    def test_one_request_is_tried_after_a_while(self):
        block = self.block()
        self.assertFalse(self.history.take_trial(block))
        self.clock.advance(crash_blocks.FIRST_TRIAL_MS)
        self.assertTrue(self.history.take_trial(block))
        self.assertFalse(self.history.take_trial(block))

    def test_served_trial_ends_the_block(self):
        self.block()
        self.serve("bad")
        self.assertFalse(self.is_blocked("bad"))

    def test_each_failed_trial_makes_trials_rarer(self):
        waits_ms = []
        self.block()
        for _ in range(6):
            [block] = self.history.blocks()
            waits_ms.append(self.history.trial_in_ms(block))
            self.crash("bad", gap_ms=waits_ms[-1])
        self.assertEqual(
            [
                crash_blocks.FIRST_TRIAL_MS * crash_blocks.TRIAL_GROWTH**n
                for n in range(2)
            ],
            waits_ms[:2],
        )
        self.assertEqual(crash_blocks.MAX_TRIAL_MS, waits_ms[-1])

    def test_many_crashes_at_once_do_not_make_trials_rarer(self):
        self.block()
        for _ in range(4):
            self.crash("bad")
        [block] = self.history.blocks()
        wait_ms = self.history.trial_in_ms(block)
        self.assertEqual(crash_blocks.FIRST_TRIAL_MS, wait_ms)

    def test_one_vm_tries_and_others_if_it_does_not(self):
        history = crashes.CrashHistory(self.clock, lambda key, n: n > 1)
        block = self.block()
        self.clock.advance(crash_blocks.FIRST_TRIAL_MS)
        self.assertFalse(history.take_trial(block))
        self.clock.advance(crashes.TRIAL_TIMEOUT_MS)
        self.assertTrue(history.take_trial(block))


class BoundsTest(HistoryTestCase):
    def test_number_of_suspects_is_bounded_and_blocks_are_kept(self):
        for _ in range(crash_blocks.CRASH_LIMIT):
            self.crash("bad")
        self.assertTrue(self.is_blocked("bad"))
        for number in range(2 * crashes.MAX_SUSPECTS):
            self.crash(f"segment-{number}", gap_ms=1.0)
        self.assertEqual(crashes.MAX_SUSPECTS, len(self.history._evidence))
        self.assertTrue(self.is_blocked("bad"))

    def test_number_of_blocks_is_bounded(self):
        for number in range(2 * crash_blocks.MAX_BLOCKS):
            for _ in range(crash_blocks.CRASH_LIMIT):
                self.crash(f"segment-{number}")
        self.assertEqual(crash_blocks.MAX_BLOCKS, len(self.history.blocks()))

    def test_number_of_crashes_of_a_suspect_is_bounded(self):
        for _ in range(2 * crashes.MAX_CRASHES):
            self.crash("bad")
        [block] = self.history.blocks()
        self.assertEqual(crashes.MAX_CRASHES, block.count)

    def test_number_of_cleared_crashes_is_bounded(self):
        for number in range(2 * crashes.MAX_CLEARED):
            self.crash(f"segment-{number}", gap_ms=0.1)
            self.serve(f"segment-{number}")
        self.assertLessEqual(len(self.history._cleared_ms), crashes.MAX_CLEARED)

    def test_number_of_served_segments_is_bounded(self):
        for number in range(2 * crash_suspects.MAX_SERVED):
            self.serve(f"segment-{number}")
        self.assertEqual(
            crash_suspects.MAX_SERVED, len(self.history._served._segments)
        )
