"""Load shedding of prompts, and the prefill utilization behind it."""

import random

import testtools

from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import load_shedding
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from tests import routing_fakes as fakes

BATCH = fakes.route("batch", latency_target_ms=2_000.0)
TOKENS_PER_MS = 50.0
SHORT = fakes.route("short", latency_target_ms=100.0)


class LoadShedderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(1)
        classifier = prompt_kinds.PromptClassifier()
        for _ in range(3):
            classifier.record(fakes.request(fakes.prompt(1_000), SHORT))
        self.shedder = load_shedding.LoadShedder(
            classifier, self.fixture.clock, random.Random(1)
        )

    def accepts(self, wait_ms, utilization=0.0, tokens=17_000, route=BATCH):
        req = fakes.request(fakes.prompt(tokens), route)
        choice = endpoint_choice.EndpointChoice(
            self.fixture.states[0],
            wait_ms=wait_ms,
            ahead_ms=wait_ms,
            prefill_utilization=utilization,
        )
        return self.shedder.accepts(req, choice)

    def test_prompt_that_will_be_on_time_is_accepted(self):
        self.assertTrue(self.accepts(900.0))

    def test_prompt_behind_a_long_queue_is_refused(self):
        self.assertFalse(self.accepts(1_900.0))

    def retry_after_ms(self, wait_ms, utilization=0.0, now_ms=0.0):
        self.fixture.clock.advance(now_ms)
        req = fakes.request(fakes.prompt(17_000), BATCH)
        choice = endpoint_choice.EndpointChoice(
            self.fixture.states[0],
            wait_ms=wait_ms,
            ahead_ms=wait_ms,
            prefill_utilization=utilization,
        )
        return self.shedder.retry_after_ms(req, choice)

    def test_retry_after_leaves_the_caller_most_of_its_time(self):
        retry_after_ms = self.retry_after_ms(60_000.0)
        self.assertLessEqual(retry_after_ms, 10_000.0 / 3)
        self.assertGreater(retry_after_ms, 1_000.0)

    def test_caller_returns_when_the_queue_is_short_enough(self):
        # The limit is 900 ms, of a latency target of 2,000 ms.
        for _ in range(20):
            retry_after_ms = self.retry_after_ms(1_400.0)
            self.assertGreaterEqual(retry_after_ms, 500.0)
            self.assertLessEqual(retry_after_ms, 1_000.0)

    def test_caller_returns_when_prefill_has_room_again(self):
        # A utilization of 1.5 decays to 1 within 811 ms.
        retry_after_ms = self.retry_after_ms(100.0, utilization=1.5)
        self.assertGreaterEqual(retry_after_ms, 810.0)

    def test_callers_refused_together_return_spread_out(self):
        delays_ms = [self.retry_after_ms(1_700.0) for _ in range(50)]
        self.assertGreater(max(delays_ms) - min(delays_ms), 300.0)

    def test_retry_after_is_never_negative(self):
        self.assertEqual(0.0, self.retry_after_ms(5_000.0, now_ms=20_000.0))

    def test_batch_prompt_is_refused_by_an_engine_busy_with_prefill(self):
        # Its prefill would stall the streams of that engine.
        self.assertFalse(self.accepts(500.0, utilization=1.0))

    def test_short_prompt_is_accepted_by_an_engine_busy_with_prefill(self):
        accepted = self.accepts(
            500.0, utilization=1.0, tokens=1_000, route=SHORT
        )
        self.assertTrue(accepted)

    def test_tight_latency_target_does_not_refuse_prompts_with_time_left(self):
        self.assertTrue(self.accepts(1_000.0, tokens=1_000, route=SHORT))


class PrefillMeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(1)
        self.meter = prefill.PrefillMeter(self.fixture.clock)

    def simulate(self, seconds, tokens_per_s):
        for _ in range(seconds * 10):
            self.meter.record("e0", tokens_per_s / 10)
            self.fixture.clock.advance(100.0)

    def test_utilization_at_half_of_the_prefill_rate(self):
        self.simulate(20, TOKENS_PER_MS * 500.0)
        self.assertTrue(
            0.45 < self.meter.utilization("e0", TOKENS_PER_MS) < 0.55
        )

    def test_tokens_of_peers_are_counted(self):
        self.meter.record_peer("e0", 100_000)
        self.assertEqual(1.0, self.meter.utilization("e0", TOKENS_PER_MS))

    def test_utilization_decays_without_traffic(self):
        self.simulate(20, 100_000)
        self.fixture.clock.advance(10_000.0)
        self.assertLess(self.meter.utilization("e0", TOKENS_PER_MS), 0.05)

    def test_engines_without_prompts_are_forgotten(self):
        self.simulate(1, 100_000)
        self.fixture.clock.advance(60_000.0)
        self.meter.expire()
        self.assertEqual({}, self.meter._sums)

    def test_each_token_is_gossiped_once(self):
        self.meter.record("e0", 700.0)
        self.meter.record("e0", 300.0)
        self.meter.record_peer("e0", 5_000.0)
        self.assertEqual({"e0": 1_000}, self.meter.take_unreported())
        self.assertEqual({}, self.meter.take_unreported())
