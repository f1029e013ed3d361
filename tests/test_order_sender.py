"""When orders of endpoints are sent, and what follows from their outcomes."""

import testtools

from hornbeampier.duties import terms
from tests import scaling_fakes as fakes

ZONES = {fakes.group(1): 3, fakes.group(2): 3}
OVERLOAD = 9.0


class OrderSenderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fakes.Deployment(fakes.autoscale(), ZONES)

    # Guards against orders from a view that does not include all peers yet.
    def test_no_order_soon_after_the_start(self):
        self.fleet.run(9, OVERLOAD)
        self.assertEqual([], self.fleet.orders)
        self.fleet.run(1, OVERLOAD)
        self.assertTrue(self.fleet.orders)

    def test_no_order_without_the_duty_nor_soon_after_its_begin(self):
        """Calls of the holder before may still be executed."""
        self.fleet.lease.held = False
        self.fleet.run(30, OVERLOAD)
        self.fleet.lease.held = True
        self.fleet.run(6, OVERLOAD)
        self.assertEqual([], self.fleet.orders)
        self.fleet.run(1, OVERLOAD)
        self.assertTrue(self.fleet.orders)

    # Guards against a wait after each lapse, in which an overload would go on.
    def test_short_lapse_of_the_lease_is_no_new_duty(self):
        self.fleet.run(30, 4.0)
        self.fleet.lease.held = False
        self.fleet.run(2, 4.0)
        self.fleet.lease.held = True
        self.fleet.run(1, OVERLOAD)
        self.assertTrue(self.fleet.orders)

    # Guards against orders for a load that has changed since.
    def test_no_order_from_a_view_that_is_old_or_incomplete(self):
        self.fleet.run(20, 4.0)
        for change in (
            {"age_ms": 2_500.0},
            {"age_ms": None},
            {"follows": False},
        ):
            previous = {key: getattr(self.fleet, key) for key in change}
            vars(self.fleet).update(change)
            self.fleet.run(3, OVERLOAD)
            self.assertEqual([], self.fleet.orders, change)
            vars(self.fleet).update(previous)

    # Guards against a drain of endpoints that serve requests of a VM that is
    # not heard.
    def test_no_decrease_while_a_lost_peer_may_have_requests(self):
        self.fleet.run(12, 4.0)
        self.fleet.peers = ["vm-2"]
        self.fleet.run(28, 1.0)
        self.assertEqual([], self.fleet.orders)
        self.fleet.run(10, 1.0)
        self.assertTrue(self.fleet.orders)

    # Guards against a refused token that is used for further calls.
    def test_refusal_is_recorded_and_the_next_call_bears_a_higher_token(self):
        self.fleet.run(20, 4.0)
        self.fleet.outcomes = [terms.Outcome.REFUSED]
        self.fleet.run(1, OVERLOAD)
        self.assertEqual([1], self.fleet.lease.refused)
        self.assertEqual(1, len(self.fleet.orders))
        self.fleet.run(1, OVERLOAD)
        self.assertEqual(2, self.fleet.lease.token)
        self.assertNotEqual(self.fleet.orders[0][1], self.fleet.orders[1][1])

    # Guards against an order that is dropped, or a zone that is left out, as
    # the API was busy.
    def test_busy_api_is_called_again_in_the_next_second(self):
        self.fleet.run(20, 4.0)
        self.fleet.outcomes = [terms.Outcome.BUSY]
        self.fleet.run(1, OVERLOAD)
        self.assertEqual(1, len(self.fleet.orders))
        self.fleet.run(1, OVERLOAD)
        self.assertEqual(3, len(self.fleet.orders))

    # Guards against orders that the platform has lost.
    def test_unchanged_order_is_repeated(self):
        self.fleet.run(20, OVERLOAD)
        changed = len(self.fleet.changes())
        self.fleet.run(20, OVERLOAD)
        self.assertEqual(changed, len(self.fleet.changes()))
        self.assertTrue(len(self.fleet.orders) >= changed + 4)

    # Guards against calls of a VM whose successor may act already.
    def test_draining_vm_sends_nothing(self):
        self.fleet.run(20, 4.0)
        self.fleet.sender.drain()
        self.fleet.run(5, OVERLOAD)
        self.assertEqual([], self.fleet.orders)

    # Guards against metrics that lack the numbers, or show some before a
    # decision.
    def test_wanted_and_present_endpoints_are_in_the_metrics(self):
        self.assertNotIn(b"endpoints_wanted", self.fleet.metrics.render(1))
        self.fleet.run(20, 4.0)
        text = self.fleet.metrics.render(1).decode()
        line = 'hornbeampier_endpoints_present{kind="lasting"'
        self.assertIn(line, text)


class CallRateTest(testtools.TestCase):
    # Guards against a burst of orders that the API rejects.
    def test_no_more_calls_in_a_second_than_the_api_accepts(self):
        fleet = fakes.Deployment(fakes.autoscale(), ZONES, calls_per_s=1.0)
        fleet.run(20, 4.0)
        fleet.run(1, OVERLOAD)
        self.assertEqual(1, len(fleet.orders))
