"""Long prompts beside short ones: which engines serve which."""

import testtools

from hornbeampier.routing import pools
from tests import routing_fakes as fakes

SHORT = fakes.route("short")
LONG = fakes.route("long")
SECOND_MS = 1_000.0


class PoolsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World(9)
        self.pools = pools.Pools(self.world.clock)

    def play(self, seconds, short_per_s, long_per_s, long_tokens=5_000):
        """Sends short prompts of 1,400 tokens and long ones of 17,000."""
        for _ in range(seconds):
            for _ in range(short_per_s):
                req = fakes.request(fakes.prompt(1_400), SHORT)
                self.pools.record(req, 1_400)
            for _ in range(long_per_s):
                req = fakes.request(fakes.prompt(17_000), LONG)
                self.pools.record(req, long_tokens)
            self.world.clock.advance(SECOND_MS)
            self.short_engines()

    def short_engines(self):
        req = fakes.request(fakes.prompt(1_400), SHORT)
        own, _ = self.pools.split(req, self.world.states)
        return [state.id for state in own]

    def test_pools_are_disjoint_and_cover_all_engines(self):
        self.play(10, 10, 8)
        short, others = self.pools.split(
            fakes.request(fakes.prompt(1_400), SHORT), self.world.states
        )
        long, _ = self.pools.split(
            fakes.request(fakes.prompt(17_000), LONG), self.world.states
        )
        self.assertEqual([s.id for s in others], [s.id for s in long])
        self.assertEqual(9, len(short) + len(long))

    def test_burst_of_short_prompts_gets_more_engines(self):
        self.play(20, 10, 8)
        calm = len(self.short_engines())
        self.play(6, 40, 8)
        self.assertGreater(len(self.short_engines()), calm)

    def test_pool_keeps_its_engines_when_it_grows(self):
        self.play(20, 10, 8)
        calm = set(self.short_engines())
        self.play(6, 40, 8)
        self.assertTrue(calm <= set(self.short_engines()))

    def test_scarce_engines_are_shared(self):
        self.play(20, 100, 100, long_tokens=17_000)
        self.assertIn(len(self.short_engines()), range(1, 9))

    def test_a_long_prompt_of_a_short_route_stays_in_its_pool(self):
        self.play(20, 10, 8)
        outlier = fakes.request(fakes.prompt(3_500), SHORT)
        own, _ = self.pools.split(outlier, self.world.states)
        self.assertEqual(self.short_engines(), [s.id for s in own])

    def test_a_huge_prompt_never_joins_the_short_ones(self):
        self.play(20, 10, 8)
        huge = fakes.request(fakes.prompt(30_000), SHORT)
        self.assertFalse(self.pools.is_short(huge))

    def test_work_that_peers_saw_counts(self):
        self.play(20, 2, 2)
        alone = len(self.short_engines())
        own = self.pools.own_work()
        for number in range(10):
            self.pools.record_peer(f"vm-{number}", own)
        self.assertGreater(len(self.short_engines()), alone)

    def test_one_engine_serves_all(self):
        self.play(5, 10, 8)
        req = fakes.request(fakes.prompt(1_400), SHORT)
        own, others = self.pools.split(req, self.world.states[:1])
        self.assertEqual(1, len(own) + len(others))
