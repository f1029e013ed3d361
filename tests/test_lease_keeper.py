"""Keepers of a lease and API clients over HTTP, with faults."""

import random

import gevent
import testtools

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import components
from hornbeampier.duties import terms
from hornbeampier.platform import names
from hornbeampier.platform import settings
from tests import duty_standin
from tests import nodes
from tests import store_standin

LEASE_MS = 900.0


class KeeperTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        self.store = store_standin.StoreStandin()
        self.addCleanup(self.store.stop)
        self.api = duty_standin.DutyStandin()
        self.addCleanup(self.api.stop)
        self.hosts = []

    def start_vm(self, host):
        duties = settings.DutySettings(
            api=settings.Address(duty_standin.HOST, self.api.port),
            names=(names.SCALING_DUTY, names.USAGE_DUTY),
            calls_per_s=1_000.0,
            requires_fence=True,
            lease_ms=LEASE_MS,
            usage_window_ms=5_000.0,
            usage_due_ms=10_000.0,
        )
        cfg = nodes.node_settings(self.store.port, host=host, duties=duties)
        self.hosts.append(host)
        duty = components.build_duty(
            names.USAGE_DUTY,
            cfg,
            lambda: [other for other in self.hosts if other != host],
            node_metrics.NodeMetrics(),
            self.clock,
            random.Random(host),
        )
        duty.keeper.start()
        self.addCleanup(duty.keeper.stop)
        return duty

    def wait_for_term(self, *duties, timeout_s=8.0):
        """Returns the first of some duties that this VM may act on."""
        store_standin.wait_until(
            lambda: any(d.keeper.term() for d in duties), timeout_s
        )
        return next(d for d in duties if d.keeper.term())

    def start_two(self):
        """Returns the duty of the holder, and that of another VM."""
        duties = [self.start_vm("127.0.0.2"), self.start_vm("127.0.0.3")]
        holder = self.wait_for_term(*duties)
        other = duties[1 - duties.index(holder)]
        self.assertIsNone(other.keeper.term())
        return holder, other

    def report(self, duty, window=1):
        return duty.api.report_usage(duty.keeper.term(), window, {"a": 1})


class KeeperTest(KeeperTestCase):
    # Guards against a holder that cannot be replaced, and against its calls
    # being accepted after those of its successor.
    def test_killed_holder_is_replaced_and_fenced(self):
        holder, other = self.start_two()
        old_term = holder.keeper.term()
        self.assertIs(terms.Outcome.ACCEPTED, self.report(holder))
        self.assertTrue(holder.keeper.append("usage/1", b"counts"))
        holder.keeper.stop()
        self.wait_for_term(other)
        self.assertEqual({"usage/1": b"counts"}, other.keeper.records())
        self.assertGreater(other.keeper.term().token, old_term.token)
        self.assertIs(terms.Outcome.ACCEPTED, self.report(other, 2))
        stale = terms.Term("old", old_term.token, self.clock.now() + LEASE_MS)
        self.assertIs(
            terms.Outcome.REFUSED, holder.api.report_usage(stale, 1, {})
        )

    # Guards against a drain that leaves the lease to expire.
    def test_drained_holder_hands_over_at_once(self):
        holder, other = self.start_two()
        holder.keeper.drain()
        self.assertIsNone(holder.keeper.term())
        began_ms = self.clock.now()
        self.wait_for_term(other)
        self.assertLess(self.clock.now() - began_ms, LEASE_MS)

    # Guards against a holder that acts without the store's confirmation.
    def test_nobody_acts_while_the_store_is_down(self):
        holder, other = self.start_two()
        self.store.down = True
        gevent.sleep(LEASE_MS / 1_000)
        self.assertIsNone(holder.keeper.term())
        self.assertFalse(holder.keeper.append("usage/1", b"counts"))
        gevent.sleep(2 * LEASE_MS / 1_000)
        self.assertIsNone(other.keeper.term())
        self.store.down = False
        self.wait_for_term(holder, other)

    # Guards against a term that ends because one response was lost.
    def test_lost_response_to_a_renewal_does_not_end_the_term(self):
        holder, _ = self.start_two()
        self.store.unanswered_appends = 1
        end_ms = self.clock.now() + 2 * LEASE_MS
        while self.clock.now() < end_ms:
            self.assertIsNotNone(holder.keeper.term())
            gevent.sleep(0.01)

    # Guards against records that are lost when the store returns from a copy.
    def test_holder_restores_its_records_in_a_later_era(self):
        holder, _ = self.start_two()
        copy = self.store.copy()
        old_token = holder.keeper.term().token
        self.assertTrue(holder.keeper.append("usage/1", b"counts"))
        self.store.restore(copy)
        store_standin.wait_until(lambda: holder.keeper.term().token >> 32 == 2)
        self.assertGreater(holder.keeper.term().token, old_token)
        self.assertIn("usage/1", holder.keeper.records())
        self.assertIsNotNone(holder.keeper.held_ms())

    # Guards against a refused token that is used again.
    def test_refused_token_is_replaced(self):
        holder, _ = self.start_two()
        refused = holder.keeper.term()
        holder.keeper.record_refused(refused.token)
        self.assertIsNone(holder.keeper.term())
        self.wait_for_term(holder)
        self.assertGreater(holder.keeper.term().token, refused.token)


class ApiTest(KeeperTestCase):
    # Guards against calls that outlast the term, and against a lease that is
    # lost with the API.
    def test_call_without_response_ends_with_the_term(self):
        holder, _ = self.start_two()
        self.api.late_s = 1.0
        term = holder.keeper.term()
        self.assertIs(terms.Outcome.UNKNOWN, self.report(holder))
        self.assertLess(self.clock.now() - term.expires_ms, 50.0)
        self.wait_for_term(holder)

    # Guards against an order that is taken for executed, or for refused, while
    # the API is only busy.
    def test_statuses_are_told_apart(self):
        holder, _ = self.start_two()
        order = terms.EndpointOrder("chat", "zone-1", 3, spot=True)
        outcomes = []
        for self.api.status in (None, 429, 503, 500):
            self.wait_for_term(holder)
            outcomes.append(
                holder.api.order_endpoints(holder.keeper.term(), order).value
            )
        self.assertEqual(["accepted", "busy", "busy", "unknown"], outcomes)
        body = self.api.accepted[0][3]
        self.assertEqual(
            {"service": "chat", "zone": "zone-1", "desired": 3, "spot": True},
            body,
        )
