"""Short, interactive and other long prompts: which engines serve which."""

import testtools

from hornbeampier.routing import pool_sizes
from hornbeampier.routing import pools
from hornbeampier.routing import prompt_kinds
from tests import routing_fakes as fakes

SHORT = fakes.route("short")
QUICK = fakes.route("quick", latency_target_ms=600.0)
LONG = fakes.route("long", latency_target_ms=2_000.0)
SECOND_MS = 1_000.0
SLOTS = 64


class PoolsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(9)
        self.kinds = prompt_kinds.PromptClassifier()
        self.pools = pools.EnginePools(self.kinds, self.world.clock)

    def play(
        self, seconds, short_per_s, long_per_s, long_tokens=5_000, quick=0
    ):
        """Sends prompts of 1,400, 9,000 and 17,000 tokens."""
        for _ in range(seconds):
            self.send(short_per_s, SHORT, 1_400, 1_400)
            self.send(quick, QUICK, 9_000, 5_000)
            self.send(long_per_s, LONG, 17_000, long_tokens)
            self.world.clock.advance(SECOND_MS)
            self.short_engines()

    def send(self, count, route, tokens, prefill_tokens):
        for _ in range(count):
            req = fakes.request(fakes.prompt(tokens), route)
            self.pools.record(req, prefill_tokens, SLOTS)

    def engines(self, route, tokens):
        req = fakes.request(fakes.prompt(tokens), route)
        found = self.pools.split(req, self.world.states)
        return [state.id for state in found.own]

    def short_engines(self):
        return self.engines(SHORT, 1_400)

    def quick_engines(self):
        return self.engines(QUICK, 9_000)

    def long_engines(self):
        return self.engines(LONG, 17_000)

    def test_pools_are_disjoint_and_cover_all_engines(self):
        self.play(10, 10, 8, quick=4)
        found = [
            *self.short_engines(),
            *self.quick_engines(),
            *self.long_engines(),
        ]
        self.assertEqual(9, len(found))
        self.assertEqual(9, len(set(found)))

    def test_burst_of_short_prompts_gets_more_engines_within_two_seconds(self):
        self.play(20, 10, 8)
        calm = len(self.short_engines())
        self.play(2, 60, 8)
        self.assertGreater(len(self.short_engines()), calm)

    def test_pool_keeps_its_engines_when_it_grows(self):
        self.play(20, 10, 8)
        calm = set(self.short_engines())
        self.play(6, 60, 8)
        self.assertTrue(calm <= set(self.short_engines()))

    def test_pool_that_grew_shrinks_late_and_then_does(self):
        self.play(20, 10, 8)
        calm = len(self.short_engines())
        self.play(6, 60, 8)
        grown = len(self.short_engines())
        self.play(2, 10, 8)
        self.assertEqual(grown, len(self.short_engines()))
        self.play(20, 10, 8)
        self.assertLessEqual(len(self.short_engines()), calm + 1)

    def test_overload_of_long_prompts_leaves_short_ones_what_they_need(self):
        # 27 short prompts of 1,700 tokens of work need 2.3 engines.
        self.play(20, 27, 8)
        calm = self.short_engines()
        self.play(20, 27, 60, long_tokens=17_000)
        self.assertIn(len(self.short_engines()), (2, 3))
        self.assertTrue(set(self.short_engines()) <= set(calm))

    def test_idle_engines_are_shared_out(self):
        self.play(20, 27, 8)
        self.assertGreater(len(self.short_engines()), 2)

    def test_shared_out_engines_are_given_back_at_once_in_a_burst(self):
        self.play(20, 60, 4)
        calm = len(self.long_engines())
        self.play(2, 60, 60, long_tokens=17_000)
        self.assertGreater(len(self.long_engines()), calm)

    def test_long_prompts_keep_engines_when_short_ones_overload_all(self):
        self.play(20, 400, 8, quick=40)
        self.assertGreaterEqual(len(self.long_engines()), 2)

    def test_interactive_prompts_share_no_engine_with_other_long_ones(self):
        self.play(10, 10, 8, quick=4)
        self.assertNotEqual([], self.quick_engines())
        self.assertFalse(set(self.quick_engines()) & set(self.long_engines()))

    def test_kind_that_nobody_sends_keeps_no_engine(self):
        self.play(20, 0, 8)
        self.assertEqual(9, len(self.long_engines()))

    def test_a_long_prompt_of_a_short_route_stays_in_its_pool(self):
        self.play(20, 10, 8)
        self.assertEqual(self.short_engines(), self.engines(SHORT, 3_500))

    def test_small_first_prompt_does_not_make_a_route_short(self):
        first = fakes.request(fakes.prompt(3_000), LONG)
        self.kinds.record(first)
        second = fakes.request(fakes.prompt(8_000), LONG)
        self.assertEqual(
            prompt_kinds.PromptKind.BATCH, self.kinds.kind_of(second)
        )

    def test_route_is_short_after_a_few_short_prompts(self):
        for _ in range(3):
            self.kinds.record(fakes.request(fakes.prompt(1_400), SHORT))
        third = fakes.request(fakes.prompt(1_400), SHORT)
        self.assertEqual(
            prompt_kinds.PromptKind.SHORT, self.kinds.kind_of(third)
        )

    def test_a_huge_prompt_never_joins_the_short_ones(self):
        self.play(20, 10, 8)
        huge = fakes.request(fakes.prompt(30_000), SHORT)
        self.assertNotEqual(
            prompt_kinds.PromptKind.SHORT, self.kinds.kind_of(huge)
        )

    def test_long_prompts_never_move_to_the_engines_of_short_ones(self):
        self.play(10, 10, 8, quick=4)
        req = fakes.request(fakes.prompt(9_000), QUICK)
        found = self.pools.split(req, self.world.states)
        others = {state.id for state in found.others}
        self.assertEqual(set(self.long_engines()), others)
        req = fakes.request(fakes.prompt(17_000), LONG)
        found = self.pools.split(req, self.world.states)
        others = {state.id for state in found.others}
        self.assertEqual(set(self.quick_engines()), others)

    def test_work_that_peers_saw_counts(self):
        self.play(20, 2, 2)
        alone = len(self.short_engines())
        own = self.pools.own_workload()
        for number in range(60):
            self.pools.record_peer(f"vm-{number}", own, {})
        self.assertGreater(len(self.short_engines()), alone)

    def test_vms_that_would_choose_other_sizes_agree(self):
        self.play(20, 10, 8)
        for number in range(7):
            told = {fakes.SERVICE: pool_sizes.Sizes(3 + number % 2, 2)}
            self.pools.record_peer(f"vm-{number}", {}, told)
        self.assertEqual(3, len(self.short_engines()))
        self.assertEqual(2, len(self.quick_engines()))

    def test_one_engine_serves_all(self):
        self.play(5, 10, 8)
        req = fakes.request(fakes.prompt(1_400), SHORT)
        found = self.pools.split(req, self.world.states[:1])
        self.assertEqual(1, len(found.own))
