"""Engine pools for short, interactive and batch prompts."""

import testtools

from hornbeampier.routing import engine_model
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import pools
from hornbeampier.routing import prompt_kinds
from tests import routing_fakes as fakes

SHORT = fakes.route("short")
INTERACTIVE = fakes.route("interactive", latency_target_ms=600.0)
BATCH = fakes.route("batch", latency_target_ms=2_000.0)
SECOND_MS = 1_000.0
SLOTS = 64


class PoolsFixture(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(9)
        self.classifier = prompt_kinds.PromptClassifier()
        self.models = engine_model.EngineModels()
        self.pools = pools.EnginePools(
            self.classifier,
            self.models,
            lambda service: None,
            self.fixture.clock,
        )

    def simulate(
        self,
        seconds,
        short_per_s,
        batch_per_s,
        batch_prefill_tokens=5_000,
        interactive_per_s=0,
    ):
        """Sends prompts of 1,400, 9,000 and 17,000 tokens each second."""
        for _ in range(seconds):
            self.send(short_per_s, SHORT, 1_400, 1_400)
            self.send(interactive_per_s, INTERACTIVE, 9_000, 5_000)
            self.send(batch_per_s, BATCH, 17_000, batch_prefill_tokens)
            self.fixture.clock.advance(SECOND_MS)
            # Splitting the engines updates the pool sizes.
            self.short_engines()

    def send(self, count, route, tokens, prefill_tokens):
        for _ in range(count):
            req = fakes.request(fakes.prompt(tokens), route)
            self.pools.record(req, prefill_tokens, SLOTS)

    def engines(self, route, tokens):
        req = fakes.request(fakes.prompt(tokens), route)
        split = self.pools.split(req, self.fixture.states)
        return [state.id for state in split.pool]

    def short_engines(self):
        return self.engines(SHORT, 1_400)

    def interactive_engines(self):
        return self.engines(INTERACTIVE, 9_000)

    def batch_engines(self):
        return self.engines(BATCH, 17_000)


class PoolsTest(PoolsFixture):
    def test_pools_are_disjoint_and_cover_all_engines(self):
        self.simulate(10, 10, 8, interactive_per_s=4)
        engines = [
            *self.short_engines(),
            *self.interactive_engines(),
            *self.batch_engines(),
        ]
        self.assertEqual(9, len(engines))
        self.assertEqual(9, len(set(engines)))

    def test_short_pool_grows_within_two_seconds_of_a_burst(self):
        self.simulate(20, 10, 8)
        before = len(self.short_engines())
        self.simulate(2, 60, 8)
        self.assertGreater(len(self.short_engines()), before)

    def test_pool_keeps_its_engines_when_it_grows(self):
        self.simulate(20, 10, 8)
        before = set(self.short_engines())
        self.simulate(6, 60, 8)
        self.assertTrue(before <= set(self.short_engines()))

    def test_pool_shrinks_only_some_time_after_a_burst(self):
        self.simulate(20, 10, 8)
        before = len(self.short_engines())
        self.simulate(6, 60, 8)
        grown = len(self.short_engines())
        self.simulate(2, 10, 8)
        self.assertEqual(grown, len(self.short_engines()))
        self.simulate(20, 10, 8)
        self.assertLessEqual(len(self.short_engines()), before + 1)

    def test_batch_overload_does_not_take_engines_from_short_prompts(self):
        # 30 short prompts per second with a workload of 1,700 tokens each need
        # 2.3 engines.
        self.simulate(20, 30, 8)
        before = self.short_engines()
        self.simulate(20, 30, 60, batch_prefill_tokens=17_000)
        self.assertIn(len(self.short_engines()), (2, 3))
        self.assertTrue(set(self.short_engines()) <= set(before))

    def test_idle_engines_enlarge_the_short_pool(self):
        self.simulate(20, 30, 8)
        self.assertGreater(len(self.short_engines()), 2)

    def test_surplus_engines_go_back_to_batch_prompts_at_once_in_a_burst(self):
        self.simulate(20, 67, 4)
        before = len(self.batch_engines())
        self.simulate(2, 67, 60, batch_prefill_tokens=17_000)
        self.assertGreater(len(self.batch_engines()), before)

    def test_batch_prompts_keep_engines_when_other_kinds_overload_all(self):
        self.simulate(20, 400, 8, interactive_per_s=40)
        self.assertGreaterEqual(len(self.batch_engines()), 2)

    def test_interactive_and_batch_prompts_share_no_engine(self):
        self.simulate(10, 10, 8, interactive_per_s=4)
        self.assertNotEqual([], self.interactive_engines())
        self.assertFalse(
            set(self.interactive_engines()) & set(self.batch_engines())
        )

    def test_kind_without_traffic_gets_no_engine(self):
        self.simulate(20, 0, 8)
        self.assertEqual(9, len(self.batch_engines()))

    def test_longer_prompt_of_a_short_route_stays_in_the_short_pool(self):
        self.simulate(20, 10, 8)
        self.assertEqual(self.short_engines(), self.engines(SHORT, 3_500))

    def test_small_first_prompt_does_not_make_a_route_short(self):
        first = fakes.request(fakes.prompt(3_000), BATCH)
        self.classifier.record(first)
        second = fakes.request(fakes.prompt(8_000), BATCH)
        self.assertEqual(
            prompt_kinds.PromptKind.BATCH, self.classifier.classify(second)
        )

    def test_route_is_short_after_a_few_short_prompts(self):
        for _ in range(3):
            self.classifier.record(fakes.request(fakes.prompt(1_400), SHORT))
        fourth = fakes.request(fakes.prompt(1_400), SHORT)
        self.assertEqual(
            prompt_kinds.PromptKind.SHORT, self.classifier.classify(fourth)
        )

    def test_huge_prompt_of_a_short_route_is_not_short(self):
        self.simulate(20, 10, 8)
        huge = fakes.request(fakes.prompt(30_000), SHORT)
        self.assertNotEqual(
            prompt_kinds.PromptKind.SHORT, self.classifier.classify(huge)
        )

    def test_long_prompts_never_spill_over_to_the_short_pool(self):
        self.simulate(10, 10, 8, interactive_per_s=4)
        req = fakes.request(fakes.prompt(9_000), INTERACTIVE)
        split = self.pools.split(req, self.fixture.states)
        overflow_ids = {state.id for state in split.overflow}
        self.assertEqual(set(self.batch_engines()), overflow_ids)
        req = fakes.request(fakes.prompt(17_000), BATCH)
        split = self.pools.split(req, self.fixture.states)
        overflow_ids = {state.id for state in split.overflow}
        self.assertEqual(set(self.interactive_engines()), overflow_ids)

    def test_workload_of_peers_is_counted(self):
        self.simulate(20, 2, 2)
        own_size = len(self.short_engines())
        own = self.pools.own_workload()
        for number in range(60):
            self.pools.record_peer(f"vm-{number}", own, {})
        self.assertGreater(len(self.short_engines()), own_size)

    def test_vms_with_different_sizes_agree_on_the_median(self):
        self.simulate(20, 10, 8)
        for number in range(7):
            sizes = {fakes.SERVICE: pool_sizes.Sizes(3 + number % 2, 2)}
            self.pools.record_peer(f"vm-{number}", {}, sizes)
        self.assertEqual(3, len(self.short_engines()))
        self.assertEqual(2, len(self.interactive_engines()))

    def test_single_engine_serves_all_kinds(self):
        self.simulate(5, 10, 8)
        req = fakes.request(fakes.prompt(1_400), SHORT)
        split = self.pools.split(req, self.fixture.states[:1])
        self.assertEqual(1, len(split.pool))


class SlowEnginesTest(PoolsFixture):
    """Guards against short prompts on engines too slow for their targets."""

    def setUp(self):
        super().setUp()
        self.slow_ids = set()
        self.pools.speed_factors = lambda service: dict.fromkeys(
            self.slow_ids, 2.2
        )

    def test_slow_engines_serve_batch_prompts(self):
        self.simulate(10, 10, 8, interactive_per_s=4)
        self.slow_ids = {
            self.short_engines()[0],
            self.interactive_engines()[0],
        }
        self.assertLessEqual(self.slow_ids, set(self.batch_engines()))

    def test_pools_keep_their_sizes_if_most_engines_are_slow(self):
        self.simulate(10, 10, 8, interactive_per_s=4)
        sizes = len(self.short_engines()), len(self.interactive_engines())
        self.slow_ids = {state.id for state in self.fixture.states[:8]}
        self.assertEqual(
            sizes, (len(self.short_engines()), len(self.interactive_engines()))
        )
