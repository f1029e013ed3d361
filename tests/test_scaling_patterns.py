"""Orders of endpoints under named patterns of load and failure."""

import math
import random

import testtools

from hornbeampier.duties import terms
from hornbeampier.routing import allocation
from hornbeampier.routing import scaling
from tests import scaling_fakes as fakes

ZONE_1 = fakes.group(1)
ZONE_2 = fakes.group(2)
SPOT_1 = fakes.group(1, spot=True)
SPOT_2 = fakes.group(2, spot=True)
# From the start of a VM until its first order, apart from decreases.
START_S = 10


def deployment(count=5, **overrides):
    return fakes.Deployment(
        fakes.autoscale(**overrides), {ZONE_1: count, ZONE_2: count}
    )


class LoadPatternTest(testtools.TestCase):
    # Guards against an increase that waits, or that has to be followed by
    # another one.
    def test_step_is_ordered_at_once_and_serves_after_the_boot_time(self):
        fleet = deployment(3)
        fleet.run(30, 4.0)
        fleet.run(8, 12.0)
        self.assertEqual(4, fleet.late_s)
        self.assertTrue(fleet.serving() >= 12 / 0.8, fleet.serving())

    # Guards against slow growth while VMs refuse what exceeds the endpoints.
    def test_load_that_is_hidden_by_refusals_is_met_after_two_boot_times(self):
        fleet = deployment(3)
        fleet.run(30, 4.0)
        fleet.run(10, lambda s: min(20.0, fleet.serving()))
        self.assertTrue(fleet.serving() >= 20, fleet.changes())

    # Guards against decreases that are too early or too rare for slow changes
    # of the load.
    def test_wave_is_followed_without_lateness(self):
        fleet = deployment(6)
        fleet.run(600, lambda s: 6 + 3 * math.sin(2 * math.pi * s / 200))
        self.assertEqual(0, fleet.late_s)
        # Constant provision for the peak takes 13 endpoints.
        self.assertLess(fleet.cost / 600, 11.0)

    def test_fast_wave_does_not_drain_and_boot_in_each_period(self):
        fleet = deployment(6)
        fleet.run(200, lambda s: 6 + 3 * math.sin(2 * math.pi * s / 30))
        before = len(fleet.changes())
        fleet.run(200, lambda s: 6 + 3 * math.sin(2 * math.pi * s / 30))
        self.assertTrue(len(fleet.changes()) - before <= 2, fleet.changes())
        self.assertEqual(0, fleet.late_s)

    # Guards against endpoints that are drained and booted again as the load
    # varies at random.
    def test_noise_changes_few_orders(self):
        rng = random.Random(1)
        fleet = deployment(6)
        fleet.run(300, lambda s: max(0.0, rng.gauss(6.0, 0.6)))
        self.assertTrue(len(fleet.changes()) <= 6, fleet.changes())

    # Guards against decreases that leave no room for short bursts.
    def test_burst_shorter_than_the_boot_time_meets_spare_endpoints(self):
        fleet = deployment(5)
        fleet.run(60, 5.0)
        self.assertTrue(fleet.serving() < 10)
        fleet.run(3, 6.0)
        fleet.run(60, 5.0)
        self.assertEqual(0, fleet.late_s)

    def test_start_of_the_fleet_is_scaled_down_step_by_step(self):
        """Decreases that overlap would drain caches and capacity at once."""
        fleet = deployment(15)
        fleet.run(120, 5.0)
        self.assertEqual(0, fleet.late_s)
        self.assertTrue(7 <= fleet.serving() <= 8, fleet.serving())
        seconds = [s for s, _, _ in fleet.changes()]
        self.assertTrue(seconds[0] >= START_S + scaling.MIN_HOLD_MS / 1_000)
        for earlier, later in zip(seconds, seconds[1:], strict=False):
            self.assertTrue(later - earlier > fakes.DRAIN_MS / 1_000, seconds)
        desired = {ZONE_1: 15, ZONE_2: 15}
        for _, group, number in fleet.changes():
            quarter = sum(desired.values()) / 4
            self.assertTrue(desired[group] - number <= quarter, number)
            desired[group] = number

    # Guards against orders outside the configured bounds.
    def test_minimum_and_maximum_per_zone_are_kept(self):
        fleet = deployment(3, min_per_zone=2, max_per_zone=6)
        fleet.run(100, 0.0)
        self.assertEqual((2, 2), (fleet.serving(ZONE_1), fleet.serving(ZONE_2)))
        fleet.run(60, 40.0)
        self.assertEqual((6, 6), (fleet.serving(ZONE_1), fleet.serving(ZONE_2)))


class PriceTest(testtools.TestCase):
    # Guards against a service that the loss of its cheapest zone would stop.
    def test_cheaper_zone_gets_the_endpoints_and_the_other_keeps_some(self):
        fleet = deployment(6, zone_prices={"zone-1": 1.0, "zone-2": 0.5})
        fleet.run(150, 6.0)
        self.assertEqual(1, fleet.serving(ZONE_1))
        self.assertEqual(0, fleet.late_s)

    def test_small_difference_of_prices_moves_nothing(self):
        """Each move costs a prefix cache."""
        fleet = deployment(4, zone_prices={"zone-1": 1.0, "zone-2": 0.98})
        fleet.run(150, 5.0)
        self.assertEqual([], fleet.changes())

    # Guards against a loss of capacity while cheaper endpoints boot.
    def test_spot_endpoints_replace_others_only_once_they_serve(self):
        fleet = deployment(5, spot_price=0.2)
        fleet.run(150, 5.0)
        self.assertEqual(0, fleet.late_s)
        self.assertEqual(0, fleet.serving(ZONE_1) + fleet.serving(ZONE_2))
        first_decrease = next(
            s for s, g, n in fleet.changes() if not g.spot and n < 5
        )
        ordered = max(s for s, g, _ in fleet.changes() if g.spot)
        self.assertTrue(first_decrease >= ordered + 4, fleet.changes())

    # Guards against spot endpoints that cost more, with those that cover their
    # loss.
    def test_spot_endpoints_that_are_hardly_cheaper_are_not_ordered(self):
        fleet = deployment(4, spot_price=0.95)
        fleet.run(150, 5.0)
        self.assertEqual([], [c for c in fleet.changes() if c[1].spot])


class FailureTest(testtools.TestCase):
    # Guards against more spot endpoints in a zone than the service can lose at
    # once.
    def test_reclaim_of_a_zone_at_the_peak_leaves_enough(self):
        fleet = deployment(5, spot_price=0.2)
        fleet.run(100, 5.0)
        fleet.run(30, 9.0)
        late_s = fleet.late_s
        fleet.reclaim(1)
        fleet.run(40, 9.0)
        self.assertEqual(late_s, fleet.late_s)
        need = scaling.need_of(9.0, 4_000.0)
        self.assertTrue(fleet.serving() >= need.total, fleet.desired)

    # Guards against replacements that are ordered only once the endpoints are
    # gone.
    def test_replacements_are_ordered_with_the_reclaim_notice(self):
        fleet = deployment(5, spot_price=0.2)
        fleet.run(100, 5.0)
        seen = len(fleet.changes())
        fleet.reclaim(1)
        fleet.run(1, 5.0)
        changes = fleet.changes()[seen:]
        self.assertTrue(any(n > 0 for _, g, n in changes if g != SPOT_1))

    def test_own_drain_of_spot_endpoints_is_no_reclaim(self):
        """An increase that overlaps it would be cut, and the group left out."""
        fleet = fakes.Deployment(
            fakes.autoscale(spot_price=0.2), {SPOT_1: 10, SPOT_2: 10}
        )
        fleet.run(19, 4.0)
        self.assertTrue(fleet.serving() < 20, fleet.changes())
        fleet.run(12, 11.0)
        self.assertTrue(fleet.desired[SPOT_1] >= 13, fleet.changes())
        self.assertTrue(fleet.desired[SPOT_2] >= 13, fleet.changes())

    # Guards against a need that stays unmet as a zone accepts orders without
    # effect.
    def test_endpoints_that_never_come_up_are_ordered_elsewhere(self):
        fleet = deployment(3)
        fleet.run(30, 4.0)
        fleet.failing = {ZONE_1}
        fleet.run(40, 8.0)
        self.assertTrue(fleet.serving(ZONE_2) >= 8, fleet.changes())
        self.assertTrue(fleet.desired[ZONE_1] <= 3, fleet.changes())

    # Guards against calls that are spent on orders that a zone refuses anyway.
    def test_zone_without_capacity_is_left_out(self):
        fleet = deployment(3)
        fleet.run(30, 4.0)
        fleet.unavailable = {ZONE_1}
        fleet.run(10, 9.0)
        refused = [ms for ms, g, n in fleet.orders if g == ZONE_1 and n > 3]
        self.assertTrue(len(refused) <= 2, refused)
        self.assertTrue(fleet.serving(ZONE_2) >= 8, fleet.changes())

    def test_zone_stays_within_its_bounds_while_a_kind_is_left_out(self):
        """Orders of both kinds together count, also those not cut yet."""
        for unavailable in ({SPOT_1, ZONE_1}, {SPOT_1}):
            fleet = deployment(
                5, spot_price=0.2, min_per_zone=2, max_per_zone=10
            )
            fleet.run(100, 5.0)
            fleet.unavailable = unavailable
            fleet.reclaim(1)
            fleet.outcomes = [terms.Outcome.BUSY] * 3
            fleet.run(60, 8.0)
            totals = dict.fromkeys((ZONE_1, ZONE_2, SPOT_1, SPOT_2), 0)
            for _, group, number in fleet.orders:
                totals[group] = number
            for lasting, spot in ((ZONE_1, SPOT_1), (ZONE_2, SPOT_2)):
                total = totals[lasting] + totals[spot]
                self.assertTrue(2 <= total <= 10, (unavailable, totals))

    def test_unconfirmed_decrease_leaves_no_room_in_its_zone(self):
        """The platform would be told more than the maximum of the zone."""
        fleet = deployment(10, spot_price=0.2, max_per_zone=10)
        fleet.run(17, 5.0)
        fleet.outcomes = [terms.Outcome.UNKNOWN] * 8
        fleet.run(5, 5.0)
        fleet.run(5, 11.5)
        (decrease, *_) = fleet.changes()
        self.assertTrue(fleet.outcomes and decrease[2] < 10)
        zone = decrease[1].availability_zone
        self.assertNotIn(
            allocation.Group(zone, True), [g for _, g, _ in fleet.orders]
        )

    # Guards against an endpoint that never finishes its drain and blocks all
    # decreases.
    def test_drain_without_end_of_another_cause_ends_the_wait(self):
        fleet = deployment(8)
        fleet.instances[0].ends_ms = 10_000_000.0
        fleet.run(100, 5.0)
        self.assertEqual([], fleet.changes())
        fleet.run(60, 5.0)
        self.assertTrue(fleet.changes())

    def test_call_without_response_is_repeated_soon(self):
        """It may not have been executed, or after newer calls."""
        fleet = deployment(3)
        fleet.run(30, 4.0)
        fleet.outcomes = [terms.Outcome.UNKNOWN] * 2
        fleet.run(6, 8.0)
        self.assertTrue(sum(fleet.desired.values()) >= 12, fleet.orders)
