"""Route table, endpoint states, retry budget, peer loads and prefix caches."""

import tracemalloc

import testtools

from hornbeampier import clock as clocks
from hornbeampier import node_memory
from hornbeampier.routing import budget
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import placements
from hornbeampier.routing import prefix_cache
from hornbeampier.routing import route_table
from tests import routing_fakes as fakes


class RouteTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = route_table.RouteTable(
            [
                fakes.route("a"),
                fakes.route("deep", path_prefix="/a/b/"),
                fakes.route("other", host="other.example", path_prefix="/"),
            ]
        )

    def match(self, path, host="site.example"):
        route = self.table.match(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self):
        self.assertEqual("a", self.match("/a/x"))
        self.assertEqual("deep", self.match("/a/b/x"))
        self.assertEqual("a", self.match("/a/bx"))
        self.assertEqual("other", self.match("/x", "OTHER.example"))

    def test_unknown_hosts_and_paths_match_no_route(self):
        self.assertIsNone(self.match("/a"))
        self.assertIsNone(self.match("/b/"))
        self.assertIsNone(self.match("/a/", "unknown.example"))

    def test_traffic_is_split_by_weight(self):
        traffic_split = (
            domain.WeightedService("x", 90.0),
            domain.WeightedService("y", 10.0),
        )
        route = fakes.route(traffic_split=traffic_split)
        chosen = [
            route_table.choose_service(route, f"id-{n}") for n in range(2000)
        ]
        self.assertTrue(120 < chosen.count("y") < 280, chosen.count("y"))
        self.assertEqual(chosen[0], route_table.choose_service(route, "id-0"))


class FleetTest(testtools.TestCase):
    def test_new_incarnation_has_no_load(self):
        fixture = fakes.RoutingFixture(1)
        fixture.states[0].in_flight = 3
        fixture.catalog.apply_endpoint(fakes.endpoint("e0", slots=9))
        self.assertEqual(3, fixture.states[0].in_flight)
        fixture.catalog.apply_endpoint(fakes.endpoint("e0", started_ms=2))
        self.assertEqual(0, fixture.states[0].in_flight)

    def test_ejection_grows_up_to_a_maximum_and_ends(self):
        fixture = fakes.RoutingFixture(1)
        state = fixture.states[0]
        state.record_failure(0.0)
        self.assertFalse(state.is_eligible(fleet.FIRST_EJECTION_MS - 1))
        self.assertTrue(state.is_eligible(fleet.FIRST_EJECTION_MS))
        for _ in range(20):
            state.record_failure(0.0)
        self.assertEqual(fleet.MAX_EJECTION_MS, state.ejected_until_ms)
        state.record_success(0.0)
        self.assertTrue(state.is_eligible(0.0))

    def test_flapping_endpoint_is_ejected_longer_each_time(self):
        fixture = fakes.RoutingFixture(1)
        state = fixture.states[0]
        for _ in range(4):
            state.record_failure(fixture.clock.now())
            fixture.clock.advance(1_500.0)
            state.record_success(fixture.clock.now())
        state.record_failure(fixture.clock.now())
        self.assertGreater(state.ejected_until_ms - state.failed_ms, 2_000.0)

    def test_restarted_endpoint_keeps_its_failures(self):
        fixture = fakes.RoutingFixture(1)
        fixture.states[0].record_failure(0.0)
        fixture.catalog.apply_endpoint(fakes.endpoint("e0", started_ms=2))
        self.assertEqual(1, fixture.states[0].failures)

    def test_success_resets_old_failures(self):
        fixture = fakes.RoutingFixture(1)
        state = fixture.states[0]
        state.record_failure(0.0)
        state.record_success(fleet.FAILURE_RESET_MS)
        self.assertEqual(0, state.failures)


class RetryBudgetTest(testtools.TestCase):
    def make_budget(self, vm_count):
        self.clock = clocks.ManualClock()
        return budget.RetryBudget(
            0.2, 50.0, 10_000.0, lambda: vm_count, self.clock
        )

    def acquire_all(self, retry_budget):
        retry_count = 0
        while retry_budget.try_acquire("s"):
            retry_count += 1
        return retry_count

    def test_all_vms_together_stay_within_the_budget(self):
        for vm_count in (1, 9, 90):
            total = vm_count * self.acquire_all(self.make_budget(vm_count))
            self.assertLessEqual(total, 50)

    def test_requests_allow_retries_only_within_the_window(self):
        retry_budget = self.make_budget(9)
        for _ in range(100):
            retry_budget.record_request("s")
        self.assertIn(self.acquire_all(retry_budget), range(10, 26))
        self.assertEqual(0, self.acquire_all(retry_budget))
        self.clock.advance(10_001)
        self.assertIn(self.acquire_all(retry_budget), range(1, 6))


class SegmentCountTest(testtools.TestCase):
    """Prompts of a client that lists its parts token by token."""

    ENGINES = 9
    PROMPT_SEGMENTS = 1_400
    PROMPTS = 120

    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(self.ENGINES)
        self.placements = placements.Placements(
            self.fixture.fleet, self.fixture.catalog
        )

    def prompt(self, number, tokens):
        segments = tuple(
            domain.PromptSegment(f"{number:08x}{part:08x}", tokens)
            for part in range(self.PROMPT_SEGMENTS)
        )
        return domain.Prompt("m", 1_400, 100, 50, segments)

    # Guards against a VM that runs out of memory for segments of one token, or
    # none: only the tokens were bounded.
    def test_segments_of_all_engines_fit_beside_the_program(self):
        program = node_memory.PROGRAM
        for tokens in (1, 0):
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            for number in range(self.PROMPTS):
                state = self.fixture.states[number % self.ENGINES]
                self.placements.record(state, self.prompt(number, tokens))
            held_bytes = tracemalloc.get_traced_memory()[0]
            self.assertLess(
                held_bytes, program.largest_bytes - program.idle_bytes
            )

    # Guards against a bound that forgets the newest prompt.
    def test_newest_prompt_is_known(self):
        state = self.fixture.states[0]
        for number in range(self.PROMPTS):
            self.placements.record(state, self.prompt(number, 1))
        newest = self.prompt(self.PROMPTS - 1, 1)
        self.assertEqual(
            self.PROMPT_SEGMENTS,
            state.prefix_cache.cached_prefix_tokens(newest),
        )


class PrefixCacheIndexTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.prefix_cache = prefix_cache.PrefixCacheIndex(self.clock)
        self.prompt = fakes.prompt(10_000, ("a", 5_000), ("b", 3_000))

    def test_only_an_unbroken_prefix_counts_as_cached(self):
        self.prefix_cache.record_peer(domain.PromptSegment("b", 3_000))
        self.assertEqual(0, self.prefix_cache.cached_prefix_tokens(self.prompt))
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.assertEqual(
            8_000, self.prefix_cache.cached_prefix_tokens(self.prompt)
        )

    def test_least_recently_used_segment_is_evicted(self):
        self.prefix_cache.capacity_tokens = 10_000
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.prefix_cache.record_peer(domain.PromptSegment("b", 3_000))
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.prefix_cache.record_peer(domain.PromptSegment("c", 4_000))
        self.assertEqual(
            5_000, self.prefix_cache.cached_prefix_tokens(self.prompt)
        )

    def test_use_of_a_segment_is_gossiped_at_intervals(self):
        self.assertEqual(2, len(self.prefix_cache.record(self.prompt)))
        self.assertEqual([], self.prefix_cache.record(self.prompt))
        self.clock.advance(prefix_cache.REGOSSIP_INTERVAL_MS + 1)
        self.assertEqual(2, len(self.prefix_cache.record(self.prompt)))

    def test_placements_update_the_estimates_of_peers(self):
        own_fixture, peer_fixture = (
            fakes.RoutingFixture(2),
            fakes.RoutingFixture(2),
        )
        own = placements.Placements(own_fixture.fleet, own_fixture.catalog)
        peer = placements.Placements(peer_fixture.fleet, peer_fixture.catalog)
        own.record(own_fixture.states[0], self.prompt)
        for endpoint_id, segment in own.take_pending():
            peer.record_peer(endpoint_id, segment)
        cache = peer_fixture.states[0].prefix_cache
        self.assertEqual(8_000, cache.cached_prefix_tokens(self.prompt))
        self.assertEqual([], own.take_pending())
