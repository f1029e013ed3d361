"""Which prompts are refused when engines have too much to read."""

import testtools

from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import load_shedding
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from tests import routing_fakes as fakes

PATIENT = fakes.route("patient", latency_target_ms=2_000.0)
QUICK = fakes.route("quick", latency_target_ms=100.0)


class WaitLimitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(1)
        found = prompt_kinds.PromptClassifier()
        for _ in range(3):
            found.record(fakes.request(fakes.prompt(1_000), QUICK))
        self.limit = load_shedding.LoadShedder(found, self.world.clock)

    def accepts(self, wait_ms, share=0.0, tokens=17_000, route=PATIENT):
        req = fakes.request(fakes.prompt(tokens), route)
        chosen = endpoint_choice.EndpointChoice(
            self.world.states[0], wait_ms=wait_ms, reading_share=share
        )
        return self.limit.accepts(req, chosen)

    def test_prompt_that_will_be_on_time_is_taken(self):
        self.assertTrue(self.accepts(900.0))

    def test_prompt_behind_a_long_queue_is_refused(self):
        self.assertFalse(self.accepts(1_900.0))

    def test_caller_is_told_to_come_back_while_it_has_most_of_its_time(self):
        req = fakes.request(fakes.prompt(17_000), PATIENT)
        retry_after_ms = self.limit.retry_after_ms(req)
        self.assertLessEqual(retry_after_ms, 10_000.0 / 3)
        self.assertGreater(retry_after_ms, 1_000.0)

    def test_long_prompt_is_refused_where_streams_would_stall(self):
        self.assertFalse(self.accepts(500.0, share=1.0))

    def test_short_prompt_is_taken_there(self):
        taken = self.accepts(500.0, share=1.0, tokens=1_000, route=QUICK)
        self.assertTrue(taken)

    def test_tight_target_allows_a_part_of_the_deadline(self):
        self.assertTrue(self.accepts(1_000.0, tokens=1_000, route=QUICK))


class ReadingMeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(1)
        self.meter = prefill.PrefillMeter(self.world.clock)

    def play(self, seconds, tokens_per_s):
        for _ in range(seconds * 10):
            self.meter.record("e0", tokens_per_s / 10)
            self.world.clock.advance(100.0)

    def test_engine_that_reads_half_of_its_time(self):
        self.play(20, prefill.TOKENS_PER_MS * 500.0)
        self.assertTrue(0.45 < self.meter.share("e0") < 0.55)

    def test_peers_count(self):
        self.meter.record_peer("e0", 100_000)
        self.assertEqual(1.0, self.meter.share("e0"))

    def test_pause_ends_it(self):
        self.play(20, 100_000)
        self.world.clock.advance(10_000.0)
        self.assertLess(self.meter.share("e0"), 0.05)

    def test_peers_are_told_each_token_once(self):
        self.meter.record("e0", 700.0)
        self.meter.record("e0", 300.0)
        self.meter.record_peer("e0", 5_000.0)
        self.assertEqual({"e0": 1_000}, self.meter.take())
        self.assertEqual({}, self.meter.take())
