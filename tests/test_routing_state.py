"""What a VM remembers of endpoints, budgets and prompts."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import budget
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
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
        found = self.table.match(host, path)
        return found.name if found else None

    def test_longest_prefix_wins(self):
        self.assertEqual("a", self.match("/a/x"))
        self.assertEqual("deep", self.match("/a/b/x"))
        self.assertEqual("a", self.match("/a/bx"))
        self.assertEqual("other", self.match("/x", "OTHER.example"))

    def test_nothing_matches(self):
        self.assertIsNone(self.match("/a"))
        self.assertIsNone(self.match("/b/"))
        self.assertIsNone(self.match("/a/", "unknown.example"))

    def test_shares_of_services(self):
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
    def test_new_incarnation_starts_afresh(self):
        world = fakes.RoutingFixture(1)
        world.states[0].in_flight = 3
        world.catalog.apply_endpoint(fakes.endpoint("e0", slots=9))
        self.assertEqual(3, world.states[0].in_flight)
        world.catalog.apply_endpoint(fakes.endpoint("e0", started_ms=2))
        self.assertEqual(0, world.states[0].in_flight)

    def test_ejection_grows_and_ends(self):
        world = fakes.RoutingFixture(1)
        state = world.states[0]
        state.record_failure(0.0)
        self.assertFalse(state.is_open(fleet.FIRST_EJECTION_MS - 1))
        self.assertTrue(state.is_open(fleet.FIRST_EJECTION_MS))
        for _ in range(20):
            state.record_failure(0.0)
        self.assertEqual(fleet.MAX_EJECTION_MS, state.ejected_until_ms)
        state.record_success(0.0)
        self.assertTrue(state.is_open(0.0))

    def test_endpoint_that_goes_down_by_turns_is_ejected_for_longer(self):
        world = fakes.RoutingFixture(1)
        state = world.states[0]
        for _ in range(4):
            state.record_failure(world.clock.now())
            world.clock.advance(1_500.0)
            state.record_success(world.clock.now())
        state.record_failure(world.clock.now())
        self.assertGreater(state.ejected_until_ms - state.failed_ms, 2_000.0)

    def test_endpoint_that_starts_again_keeps_its_failures(self):
        world = fakes.RoutingFixture(1)
        world.states[0].record_failure(0.0)
        world.catalog.apply_endpoint(fakes.endpoint("e0", started_ms=2))
        self.assertEqual(1, world.states[0].failures)

    def test_old_failures_are_forgiven(self):
        world = fakes.RoutingFixture(1)
        state = world.states[0]
        state.record_failure(0.0)
        state.record_success(fleet.FORGIVE_MS)
        self.assertEqual(0, state.failures)


class RetryBudgetTest(testtools.TestCase):
    def make(self, vms):
        self.clock = clocks.ManualClock()
        return budget.RetryBudget(0.2, 50.0, 10_000.0, lambda: vms, self.clock)

    def count(self, found):
        taken = 0
        while found.take("s"):
            taken += 1
        return taken

    def test_all_vms_together_stay_within_the_budget(self):
        for vms in (1, 9, 90):
            total = vms * self.count(self.make(vms))
            self.assertLessEqual(total, 50)

    def test_requests_earn_repeats_until_the_window_has_passed(self):
        found = self.make(9)
        for _ in range(100):
            found.record_request("s")
        self.assertIn(self.count(found), range(10, 26))
        self.assertEqual(0, self.count(found))
        self.clock.advance(10_001)
        self.assertIn(self.count(found), range(1, 6))


class PeerLoadsTest(testtools.TestCase):
    def test_unreachable_peer_keeps_its_share_of_the_budget(self):
        clock = clocks.ManualClock()
        peers = peer_loads.PeerLoads(clock)
        for number in range(8):
            peers.record(f"vm-{number}", {"e0": peer_loads.Load(2, 100.0)})
        self.assertEqual(16, peers.total("e0").in_flight)
        clock.advance(peer_loads.PEER_TIMEOUT_MS + 1)
        self.assertEqual(0, peers.total("e0").in_flight)
        self.assertEqual((0, 8), (peers.live_count(), peers.known_count()))
        clock.advance(peer_loads.KNOWN_MS)
        self.assertEqual(0, peers.known_count())


class CachedPartsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.prefix_cache = prefix_cache.PrefixCacheIndex(self.clock)
        self.prompt = fakes.prompt(10_000, ("a", 5_000), ("b", 3_000))

    def test_only_leading_parts_are_of_use(self):
        self.prefix_cache.record_peer(domain.PromptSegment("b", 3_000))
        self.assertEqual(0, self.prefix_cache.leading_tokens(self.prompt))
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.assertEqual(8_000, self.prefix_cache.leading_tokens(self.prompt))

    def test_least_recently_used_parts_yield(self):
        self.prefix_cache.capacity_tokens = 10_000
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.prefix_cache.record_peer(domain.PromptSegment("b", 3_000))
        self.prefix_cache.record_peer(domain.PromptSegment("a", 5_000))
        self.prefix_cache.record_peer(domain.PromptSegment("c", 4_000))
        self.assertEqual(5_000, self.prefix_cache.leading_tokens(self.prompt))

    def test_peers_are_told_once_in_a_while(self):
        self.assertEqual(2, len(self.prefix_cache.record(self.prompt)))
        self.assertEqual([], self.prefix_cache.record(self.prompt))
        self.clock.advance(prefix_cache.TELL_AGAIN_MS + 1)
        self.assertEqual(2, len(self.prefix_cache.record(self.prompt)))

    def test_placements_reach_the_peers_view(self):
        here, there = fakes.RoutingFixture(2), fakes.RoutingFixture(2)
        own = placements.Placements(here.fleet, here.catalog)
        peer = placements.Placements(there.fleet, there.catalog)
        own.record(here.states[0], self.prompt)
        for endpoint_id, part in own.take():
            peer.record_peer(endpoint_id, part)
        cached = there.states[0].prefix_cache
        self.assertEqual(8_000, cached.leading_tokens(self.prompt))
        self.assertEqual([], own.take())
