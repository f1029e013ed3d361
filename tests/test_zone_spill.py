"""Requests that stay in their availability zone, and those that leave it."""

import dataclasses
import random

import testtools

from hornbeampier.routing import choosers
from hornbeampier.routing import zone_spill
from tests import routing_fakes as fakes
from tests import zone_simulation

ENDPOINTS = 4
PERIOD_MS = 3_000.0
SEEDS = (1, 2, 3)


def simulate(**options):
    return zone_simulation.ZoneSimulation(ENDPOINTS, **options)


class ZoneSpillTest(testtools.TestCase):
    def waits_ms(self, periods, **options):
        """Sums of mean waits with the decision and without, for some seeds."""
        sums_ms = []
        for with_zones in (True, False):
            sums_ms.append(0.0)
            for seed in SEEDS:
                sim = simulate(with_zones=with_zones, seed=seed, **options)
                for needs in periods:
                    sim.run(PERIOD_MS, **needs)
                sums_ms[-1] += sim.mean_wait_ms
        return sums_ms

    # Guards against traffic between zones without need.
    def test_requests_stay_in_a_zone_with_room(self):
        sim = simulate()
        sim.run(PERIOD_MS, a=2.0, b=1.0)
        self.assertLess(max(map(sim.left_fraction, "ab")), 0.03)

    # Guards against requests that wait in a full zone beside an idle one.
    def test_requests_leave_a_zone_that_is_short(self):
        sim = simulate()
        sim.run(PERIOD_MS, a=5.0, b=2.0)
        self.assertTrue(0.2 < sim.left_fraction("a") < 0.65)
        self.assertLess(sim.left_fraction("b"), 0.3)

    # Guards against longer waits than if zones were ignored.
    def test_callers_do_not_wait_longer_for_the_sake_of_the_zone(self):
        for periods in (
            [{"a": 5.0, "b": 2.0}] * 2,
            [{"a": 4.4, "b": 4.4}],
            [{"a": 5.0, "b": 1.0}, {"a": 1.0, "b": 5.0}],
        ):
            with_zones_ms, without_ms = self.waits_ms(periods)
            self.assertLessEqual(with_zones_ms, without_ms, periods)

    # Guards against requests that take longer on the link than they would wait.
    def test_slow_link_is_used_less(self):
        needs = {"a": 4.5, "b": 1.0}
        with_zones_ms, without_ms = self.waits_ms([needs] * 2, link_ms=100.0)
        self.assertLess(with_zones_ms, without_ms)

    # Guards against large bodies on the link while small ones stay.
    def test_small_requests_leave_first(self):
        sim = simulate(sizes=(100, 10_000))
        sim.run(2 * PERIOD_MS, a=3.4, b=1.0)
        self.assertGreater(sim.sizes.count(100), 2 * sim.sizes.count(10_000))

    # Guards against refusals in a zone that has no endpoints left.
    def test_lost_zone_is_replaced_by_the_others(self):
        sim = simulate()
        for vm in sim.vms:
            for number in range(ENDPOINTS):
                vm.catalog.remove_endpoint(f"a{number}")
        sim.run(PERIOD_MS, a=1.0, b=1.0)
        self.assertEqual(1.0, sim.left_fraction("a"))

    # Guards against all VMs filling the same spare slots between two gossip
    # rounds.
    def test_many_vms_that_see_one_gap_do_not_herd(self):
        most = []
        for with_zones in (True, False):
            sim = zone_simulation.ZoneSimulation(
                10, vms=84, with_zones=with_zones
            )
            sim.run(2_000.0, a=6.0, b=5.0)
            sim.run(3_000.0, a=9.0, b=5.0)
            most.append(sim.max_left_per_round)
        self.assertLess(most[0], most[1])


class ZoneChoiceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(0)
        for number, zone in enumerate(("b", "a", "b")):
            self.fixture.catalog.apply_endpoint(
                fakes.endpoint(f"e{number}", availability_zone=zone)
            )

    def choose_plain(self, zone, zone_vms=1):
        rng = random.Random(1)
        zones = zone_spill.ZoneSpill(
            zone,
            self.fixture.fleet,
            self.fixture.peers,
            lambda: zone_vms,
            self.fixture.clock,
            rng,
        )
        chooser = choosers.LeastLoadedChooser(
            self.fixture.fleet, self.fixture.peers, rng, zones
        )
        return {chooser.choose(fakes.request(), ()).state.id for _ in range(30)}

    # Guards against deployments without zones, or VMs without peers, that
    # choose differently from before.
    def test_unknown_zone_and_silent_peers_change_nothing(self):
        self.assertEqual({"e1"}, self.choose_plain("a"))
        self.assertEqual({"e0", "e1", "e2"}, self.choose_plain(""))
        self.assertEqual({"e0", "e1", "e2"}, self.choose_plain("a", zone_vms=2))

    # Guards against a preference for the own zone that outweighs load.
    def test_own_zone_decides_only_between_engines_of_equal_cost(self):
        for number in range(3, 20):
            self.fixture.catalog.apply_endpoint(fakes.endpoint(f"e{number}"))
        req = fakes.request(fakes.prompt(50))
        pools = fakes.ChooserFixture(self.fixture).pools
        own = pools.split(req, self.fixture.states).pool[-1].endpoint
        self.fixture.catalog.apply_endpoint(
            dataclasses.replace(own, availability_zone="c")
        )

        def choose():
            chooser = fakes.ChooserFixture(self.fixture, zone="c").chooser
            return chooser.choose(req, ()).state.id

        self.assertEqual(own.id, choose())
        self.fixture.fleet.get(own.id).in_flight = 1
        self.assertNotEqual(own.id, choose())
