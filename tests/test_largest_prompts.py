"""What the largest prompts of a route get beside the others in overload."""

import testtools

from hornbeampier.routing import fleet
from hornbeampier.routing import load_shedding
from tests import engine_simulation
from tests import routing_fakes as fakes

ROUTE = fakes.route(
    "draft",
    latency_target_ms=2_000.0,
    timeout_ms=12_000.0,
    inter_event_target_ms=800.0,
)
# The largest tenth of a route's prompts is served at least this many times as
# often as all of them.
MIN_FAIRNESS = 0.5
SEEDS = range(5)


class OverloadFairnessTest(testtools.TestCase):
    """Prompts of very different sizes arrive faster than they are prefilled.

    Sizes are lognormal: the largest tenth brings two fifths of the tokens that
    are not shared.
    """

    def check(self, slowdowns, per_s):
        for seed in SEEDS:
            prompts = engine_simulation.Simulation(
                slowdowns, engine_simulation.Traffic(per_s), ROUTE, seed
            ).run()
            largest = engine_simulation.largest_tenth(prompts)
            self.assertGreaterEqual(
                engine_simulation.served_fraction(largest),
                MIN_FAIRNESS * engine_simulation.served_fraction(prompts),
                f"seed {seed}",
            )

    # Guards against callers of large prompts being refused again and again
    # while others are served, because load shedding counted their own prefill.
    def test_largest_prompts_are_served_while_most_engines_are_slow(self):
        self.check([1.0] * 2 + [3.0] * 4, per_s=60.0)

    # The same, where no engine is fast enough for a large prompt.
    def test_largest_prompts_are_served_while_all_engines_are_slow(self):
        self.check([3.0] * 6, per_s=30.0)

    # The same, where only the traffic is out of the ordinary.
    def test_largest_prompts_are_served_in_a_burst(self):
        self.check([1.0] * 6, per_s=140.0)


class OneEngineTest(testtools.TestCase):
    """Prompts of two sizes at one engine, of 50 prompt tokens per ms."""

    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(1)
        self.vm = fakes.ChooserFixture(self.fixture)

    def queue(self, tokens):
        fleet.InFlightAttempt(self.fixture.states[0], None, tokens)

    def refusal(self, tokens, now_ms=0.0):
        """The refusal of a prompt, or None if it is accepted."""
        self.fixture.clock.advance(now_ms)
        req = fakes.request(
            fakes.prompt(tokens), ROUTE, deadline_ms=ROUTE.timeout_ms
        )
        choice = self.vm.chooser.choose(req, ())
        try:
            self.vm.load_shedder.check(req, choice)
        except load_shedding.OverloadError as exc:
            return exc
        return None

    # Guards against a prompt that no engine accepts, however idle it is.
    def test_idle_engine_accepts_a_prompt_however_large(self):
        self.assertIsNone(self.refusal(120_000))

    # Guards against a shorter queue for larger prompts.
    def test_large_and_small_prompts_are_accepted_behind_the_same_queue(self):
        self.queue(45_000)
        self.assertIsNone(self.refusal(9_000))
        self.assertIsNone(self.refusal(60_000))

    # Guards against a Retry-After that waits for the prompt's own prefill,
    # which does not pass.
    def test_callers_of_large_prompts_return_as_early_as_others(self):
        self.queue(90_000)
        limit_ms = load_shedding.BATCH_REMAINING_FRACTION * ROUTE.timeout_ms
        for tokens in (9_000, 60_000):
            exc = self.refusal(tokens)
            excess_ms = 90_000 / 50 + 40 - limit_ms
            self.assertLessEqual(exc.retry_after_ms, 2.0 * excess_ms + 1.0)

    # Guards against a queue that grows without bounds in overload.
    def test_large_and_small_prompts_are_refused_behind_the_same_queue(self):
        self.queue(90_000)
        self.assertIsNotNone(self.refusal(9_000))
        self.assertIsNotNone(self.refusal(60_000))

    # Guards against prefill in vain.
    def test_prompt_that_cannot_begin_before_its_deadline_is_refused(self):
        self.assertIsNotNone(self.refusal(120_000, now_ms=10_000.0))


class SharedSegmentTest(testtools.TestCase):
    """The engine that caches a prompt's shared segment has a long queue."""

    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(2)
        self.vm = fakes.ChooserFixture(self.fixture)
        self.shared = ("shared", 100_000)
        holder, self.other = self.fixture.states
        holder.prefix_cache.record(fakes.prompt(101_000, self.shared))
        fleet.InFlightAttempt(holder, None, 90_000)

    def is_accepted(self):
        req = fakes.request(
            fakes.prompt(104_000, self.shared),
            ROUTE,
            deadline_ms=ROUTE.timeout_ms,
        )
        choice = self.vm.chooser.choose(req, ())
        return self.vm.load_shedder.accepts(req, choice)

    # Guards against prompts that leave the engine that caches their segment for
    # one that is nearly as busy, so that all engines prefill all segments.
    def test_prefill_that_another_engine_has_done_counts_as_waiting(self):
        fleet.InFlightAttempt(self.other, None, 50_000)
        self.assertFalse(self.is_accepted())

    # Guards against a prompt that only one engine accepts, however busy it is.
    def test_idle_engine_prefills_the_segment_again(self):
        self.assertTrue(self.is_accepted())
