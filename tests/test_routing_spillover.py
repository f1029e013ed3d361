"""Batch prompts on idle engines of other pools, beside protected streams."""

import testtools

from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import prefill_tolerance
from tests import routing_fakes as fakes

TOKENS_PER_EVENT = 4.0


class SpilloverFixture(testtools.TestCase):
    """Nine engines; streams of short prompts have a target of 200 ms."""

    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(9)
        for state in self.fixture.states:
            self.fixture.catalog.apply_endpoint(
                fakes.endpoint(state.id, slots=12)
            )
        self.chooser = fakes.ChooserFixture(self.fixture, self.traits)
        self.short = fakes.route("short", latency_target_ms=800.0)
        self.batch = fakes.route("batch", latency_target_ms=1_200.0)
        for _ in range(3):
            prompt = fakes.prompt(1_400)
            self.chooser.classifier.record(fakes.request(prompt, self.short))

    def traits(self, service):
        del service
        return domain.EngineTraits(12, 400_000, 0.0, 0.0, TOKENS_PER_EVENT)

    def learn_pause(self, pause_ms=190.0):
        model = self.chooser.models.of(fakes.SERVICE)
        for _ in range(20):
            model.record_stream(engine_model.Stream(20.0, pause_ms, 0.5))

    def send(self, route, *prompt):
        req = fakes.request(fakes.prompt(*prompt), route)
        choice = self.chooser.chooser.choose(req, ())
        self.chooser.pools.record(req, choice.prefill_tokens, 12)
        fleet.InFlightAttempt(choice.state, None, choice.prefill_tokens)
        return choice.state

    def short_engines(self):
        req = fakes.request(fakes.prompt(1_400), self.short)
        return self.chooser.pools.split(req, self.fixture.states).pool

    def burst(self, prefill_tokens, count=60):
        """Sends prompts of 9,000 tokens, of which all engines cache a part."""
        shared = ("shared", 9_000 - prefill_tokens)
        for state in self.fixture.states:
            state.prefix_cache.record(fakes.prompt(9_000, shared))
        self.send(self.short, 1_400)
        return {self.send(self.batch, 9_000, shared).id for _ in range(count)}


class SpilloverTest(SpilloverFixture):
    """A burst of batch prompts while the engines of short ones are half idle.

    A stream beside prefill has delays of 190 ms.
    """

    def test_batch_prompts_use_idle_engines_of_short_ones(self):
        self.learn_pause()
        used = self.burst(2_000)
        self.assertTrue(used & {s.id for s in self.short_engines()})

    def test_queued_prefill_never_delays_an_event_beyond_its_target(self):
        self.learn_pause()
        self.burst(2_000)
        max_ms = prefill_tolerance.MAX_STALL_FRACTION * 200.0
        model = self.chooser.models.of(fakes.SERVICE)
        for state in self.short_engines():
            self.assertLessEqual(model.prefill_ms(state.prefill_tokens), max_ms)

    def test_large_prompts_stay_away_from_short_ones(self):
        self.learn_pause()
        used = self.burst(9_000)
        self.assertFalse(used & {s.id for s in self.short_engines()})

    def test_a_quarter_of_the_slots_is_left_to_short_prompts(self):
        self.learn_pause()
        for state in self.short_engines():
            for _ in range(9):
                fleet.InFlightAttempt(state, None, 0.0)
        used = self.burst(2_000)
        self.assertFalse(used & {s.id for s in self.short_engines()})

    def test_engines_are_apart_until_the_pause_is_known(self):
        used = self.burst(2_000)
        self.assertFalse(used & {s.id for s in self.short_engines()})


class StreamSpilloverTest(SpilloverFixture):
    """A burst of short prompts while batch prompts keep all others busy.

    Guards against streams that begin on time and then pause beside prefill.
    """

    def setUp(self):
        super().setUp()
        self.short = fakes.route("short", latency_target_ms=300.0)
        self.send(self.short, 1_400)
        short_ids = {state.id for state in self.short_engines()}
        for state in self.fixture.states:
            if state.id not in short_ids:
                self.chooser.prefill_meter.record(state.id, 40_000)
        for state in self.short_engines():
            # The wait exceeds the fraction of the target for a spillover.
            state.prefill_tokens += 5_000

    def short_prompt_spills_over(self):
        short_ids = {state.id for state in self.short_engines()}
        return self.send(self.short, 1_400).id not in short_ids

    def test_stream_that_would_pause_too_long_stays(self):
        self.learn_pause(pause_ms=190.0)
        self.assertFalse(self.short_prompt_spills_over())

    def test_stream_that_tolerates_prefill_spills_over(self):
        self.learn_pause(pause_ms=100.0)
        self.assertTrue(self.short_prompt_spills_over())

    def test_prompt_that_would_be_late_anyway_spills_over(self):
        self.learn_pause(pause_ms=190.0)
        for state in self.short_engines():
            state.prefill_tokens += 20_000
        self.assertTrue(self.short_prompt_spills_over())
