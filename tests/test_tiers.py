"""Order of dispatch: tiers, guaranteed shares and fair client accounts.

No class and no account may starve another one that waits.
"""

import dataclasses
import random

import gevent
import testtools

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import queues
from hornbeampier.policy import scheduler
from hornbeampier.policy import tickets
from tests import processes

CFG = schema.parse(
    processes.configuration([("engine-1", 9101), ("engine-2", 9102)], slots=2)
)
URGENT, BULK = CFG.classes


class NoPeers:
    """The hints of the peers, for a VM that has none."""

    def in_flight(self, endpoint):
        del endpoint
        return 0

    def waiting_in_higher_tiers(self, target, tier):
        del target, tier
        return 0

    def is_waiting_with_fewer(self, target, tier, endpoints, own):
        del target, tier, endpoints, own
        return False

    def all_peers_live(self):
        return True

    def live_peer_count(self):
        return 0


def make_info(request_class, account=0, deadline_ms=1e9):
    return request_info.RequestInfo(
        "req",
        "notes",
        request_class,
        CFG.accounts[account],
        0.0,
        deadline_ms,
        "fingerprint",
    )


def make_ticket(request_class, account=0, cost_ms=100.0):
    return tickets.Ticket(make_info(request_class, account), 0.0, cost_ms)


def dispatch_next(queue, count):
    """Dispatches `count` requests in the queue's order."""
    dispatched = []
    for _ in range(count):
        candidates = queue.candidates(0.0)
        ticket = min(candidates, key=lambda candidate: candidate.rank).ticket
        queue.dispatch(ticket)
        dispatched.append(ticket)
    return dispatched


class TargetQueueTest(testtools.TestCase):
    def test_higher_tier_goes_first(self):
        queue = queues.TargetQueue()
        for request_class in (BULK, URGENT, BULK, URGENT):
            queue.push(make_ticket(request_class))
        tiers = [t.info.request_class.tier for t in dispatch_next(queue, 4)]
        self.assertEqual([1, 1, 2, 2], tiers)

    def test_lowest_class_keeps_its_share_under_sustained_overload(self):
        queue = queues.TargetQueue()
        for _ in range(400):
            queue.push(make_ticket(URGENT))
            queue.push(make_ticket(BULK))
        dispatched = dispatch_next(queue, 400)
        bulk = sum(t.info.request_class is BULK for t in dispatched)
        # Credit comes only from other classes' requests, hence one fewer.
        self.assertEqual(400 * BULK.min_share, bulk + 1)

    def test_burst_of_one_account_does_not_delay_another(self):
        queue = queues.TargetQueue()
        for _ in range(100):
            queue.push(make_ticket(URGENT, account=0))
        for _ in range(5):
            queue.push(make_ticket(URGENT, account=1))
        names = [t.info.account.name for t in dispatch_next(queue, 10)]
        self.assertEqual(5, names.count("account-2"))

    def test_idle_account_gains_no_precedence(self):
        queue = queues.TargetQueue()
        for _ in range(20):
            queue.push(make_ticket(URGENT, account=0))
        dispatch_next(queue, 10)
        for _ in range(10):
            queue.push(make_ticket(URGENT, account=1))
        names = [t.info.account.name for t in dispatch_next(queue, 10)]
        self.assertEqual(5, names.count("account-2"))

    def test_request_that_can_meet_its_target_goes_before_a_late_one(self):
        queue = queues.TargetQueue()
        late = make_ticket(URGENT)
        late.latest_start_ms = -1.0
        on_time = make_ticket(URGENT)
        queue.push(late)
        queue.push(on_time)
        self.assertEqual([on_time, late], dispatch_next(queue, 2))


class SchedulerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.endpoints = registry.Registry(self.clock)
        self.endpoints.apply(CFG)
        self.scheduler = scheduler.Scheduler(
            self.endpoints,
            choice.EndpointChooser(NoPeers(), random.Random(1)),
            NoPeers(),
            self.clock,
        )
        self.scheduler.apply(CFG)

    def test_requests_spread_over_the_endpoints(self):
        grants = [self.scheduler.acquire(make_info(BULK)) for _ in range(4)]
        names = sorted(g.endpoint.name for g in grants)
        self.assertEqual(["engine-1"] * 2 + ["engine-2"] * 2, names)

    def test_request_past_its_deadline_leaves_the_queue(self):
        for _ in range(4):
            self.scheduler.acquire(make_info(BULK))
        refusal = self.assertRaises(
            errors.RefusalError,
            self.scheduler.acquire,
            make_info(BULK, deadline_ms=0.0),
        )
        self.assertEqual("not_run", refusal.verdict)
        self.assertIsNotNone(refusal.retry_after_ms)
        self.assertEqual({"bulk": 0}, self.scheduler.waiting_by_class())

    def test_higher_tier_is_served_while_lower_tier_fills_the_engines(self):
        for _ in range(4):
            self.scheduler.acquire(make_info(BULK))
        grant = self.scheduler.acquire(make_info(URGENT, deadline_ms=0.0))
        self.assertEqual(2, grant.endpoint.in_flight - 1)

    def start_bulk(self, count):
        grants = [self.scheduler.acquire(make_info(BULK)) for _ in range(count)]
        for grant in grants:
            grant.resumable = True
        return grants

    def test_highest_tier_preempts_at_the_full_endpoint_that_it_uses(self):
        grants = self.start_bulk(4)
        urgent = self.scheduler.acquire(make_info(URGENT))
        preempted = [g for g in grants if g.preempted]
        self.assertEqual(1, len(preempted))
        self.assertIs(urgent.endpoint, preempted[0].endpoint)

    def test_request_that_cannot_be_resumed_is_not_preempted(self):
        grants = [self.scheduler.acquire(make_info(BULK)) for _ in range(4)]
        self.scheduler.acquire(make_info(URGENT))
        self.assertFalse(any(g.preempted for g in grants))

    def test_no_request_is_preempted_for_its_own_tier_or_a_lower_one(self):
        grants = [self.scheduler.acquire(make_info(URGENT)) for _ in range(4)]
        for grant in grants:
            grant.resumable = True
        self.scheduler.acquire(make_info(URGENT))
        self.assertFalse(any(g.preempted for g in grants))


class SharedPreemptionTest(testtools.TestCase):
    """Two models share engine-1; engine-2 serves only one of them."""

    def setUp(self):
        super().setUp()
        text = processes.configuration(
            [("engine-1", 9101), ("engine-2", 9102)], slots=2
        )
        text = text.replace('"notes"]', '"notes", "guidance"]', 1)
        text += '[[models]]\nname = "guidance"\n'
        self.clock = clock.ManualClock()
        self.endpoints = registry.Registry(self.clock)
        self.endpoints.apply(schema.parse(text))
        self.scheduler = scheduler.Scheduler(
            self.endpoints,
            choice.EndpointChooser(NoPeers(), random.Random(1)),
            NoPeers(),
            self.clock,
        )
        # Higher than both classes' tiers, so that neither may overcommit slots.
        self.scheduler._top_tier = 0
        self.grants = [
            self.scheduler.acquire(make_info(BULK)) for _ in range(4)
        ]

    def start_waiting(self, target, request_class):
        info = dataclasses.replace(make_info(request_class), target=target)
        task = gevent.spawn(self.scheduler.acquire, info)
        self.addCleanup(task.kill)
        gevent.sleep(0)
        return task

    def test_dedicated_endpoint_is_preferred_to_a_shared_one(self):
        for grant in self.grants:
            self.scheduler.release(grant)
        for _ in range(8):
            grant = self.scheduler.acquire(make_info(BULK))
            self.assertEqual("engine-2", grant.endpoint.name)
            self.scheduler.release(grant)

    def test_request_preempts_another_target_only_at_a_shared_endpoint(self):
        for grant in self.grants:
            grant.resumable = True
        self.start_waiting("guidance", URGENT)
        self.clock.advance(URGENT.first_token_ms / 2)
        self.scheduler.preempt()
        preempted = [g.endpoint.name for g in self.grants if g.preempted]
        self.assertEqual(["engine-1"], preempted)
