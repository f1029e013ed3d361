"""A deployment in which ordered endpoints boot, drain and are reclaimed."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import order_sender
from hornbeampier.duties import terms
from hornbeampier.routing import allocation
from hornbeampier.routing import demand
from hornbeampier.routing import domain

SERVICE = "models"
LEASE_MS = 3_000.0
DRAIN_MS = 5_000.0
RECLAIM_MS = 3_000.0
TICK_MS = 0.0001
NEVER = math.inf


def autoscale(**overrides):
    fields = {
        "min_per_zone": 1,
        "max_per_zone": 30,
        "boot_ms": 4_000.0,
        "spot_price": None,
        "zone_prices": {"zone-1": 1.0, "zone-2": 1.0},
    }
    return domain.Autoscale(**{**fields, **overrides})


def group(zone, spot=False):
    return allocation.Group(f"zone-{zone}", spot)


@dataclasses.dataclass
class Instance:
    """An endpoint; it drains or is reclaimed if `ends_ms` is set."""

    group: allocation.Group
    ready_ms: float
    ends_ms: float = NEVER


class _Clock(clocks.ManualClock):
    """Moves a little with each reading, as time does within a decision."""

    def now(self):
        self.advance(TICK_MS)
        return super().now()


class Lease:
    """A lease whose holder and token the test sets."""

    def __init__(self):
        self.token = 1
        self.held = True
        self.refused = []

    def term(self):
        if not self.held:
            return None
        return terms.Term("vm-1", self.token, NEVER)

    def record_refused(self, token):
        self.refused.append(token)
        self.token += 1


class Deployment:
    """The endpoints of one service, their orders and their load.

    Attributes:
        unavailable: Groups whose orders for more are refused.
        failing: Groups whose new endpoints never come up.
        outcomes: Outcomes of the next calls, which are not executed.
        orders: (ms, group, desired) of each call.
        work: Work of the service, in endpoints at full use.
        age_ms: Age of the oldest load of a peer, or None.
        follows: Whether the VM hears of new endpoints.
        cost: Price of all endpoints in each second so far.
        late_s: Seconds in which the work exceeded the serving endpoints.
    """

    def __init__(self, scale, present, calls_per_s=10.0):
        self.clock = _Clock()
        self.autoscale = scale
        self.instances = [
            Instance(g, 0.0) for g, n in present.items() for _ in range(n)
        ]
        self.desired = dict(present)
        self.unavailable = set()
        self.failing = set()
        self.outcomes = []
        self.orders = []
        self.work = 0.0
        self.age_ms = 100.0
        self.peers = ["vm-2", "vm-3"]
        self.follows = True
        self.cost = 0.0
        self.late_s = 0
        self.lease = Lease()
        self.metrics = node_metrics.NodeMetrics()
        self.sender = order_sender.OrderSender(
            self.lease,
            self,
            self,
            lambda: self.peers,
            lambda: self.follows,
            LEASE_MS,
            calls_per_s,
            self.metrics,
            self.clock,
        )

    def run(self, seconds, work):
        """Runs with a work, given as a number or by the second."""
        for second in range(seconds):
            self.work = work(second) if callable(work) else work
            self.clock.advance(1_000.0)
            self._settle()
            self.late_s += self.work > self.serving()
            self.cost += sum(
                self._price(i.group) for i in self.instances if self._on(i)
            )
            self.sender.step()

    def serving(self, of=None):
        """Returns the number of endpoints that take requests."""
        return sum(
            i.ready_ms <= self.clock.now()
            and i.ends_ms == NEVER
            and of in (None, i.group)
            for i in self.instances
        )

    def changes(self):
        """Returns (second, group, desired) of all orders but repeats."""
        seen, changes = {}, []
        for ms, order_group, desired in self.orders:
            if seen.get(order_group) != desired:
                changes.append((ms / 1_000.0, order_group, desired))
            seen[order_group] = desired
        return changes

    def reclaim(self, zone):
        """Reclaims all spot endpoints of a zone, which offers no more."""
        spot = group(zone, spot=True)
        self.unavailable.add(spot)
        self.desired[spot] = 0
        for instance in self.instances:
            if instance.group == spot:
                instance.ends_ms = self.clock.now() + RECLAIM_MS

    def order_endpoints(self, term, order):
        ordered = allocation.Group(order.availability_zone, order.spot)
        self.orders.append((self.clock.now(), ordered, order.desired))
        if self.outcomes:
            return self.outcomes.pop(0)
        grows = order.desired > self.desired.get(ordered, 0)
        if grows and ordered in self.unavailable:
            return terms.Outcome.REFUSED
        self.desired[ordered] = order.desired
        return terms.Outcome.ACCEPTED

    def loads_age_ms(self):
        return self.age_ms

    def measure(self):
        now_ms = self.clock.now()
        endpoints = tuple(
            demand.EndpointLoad(i.group, i.ends_ms != NEVER, 8, in_flight=0)
            for i in self.instances
            if i.ready_ms <= now_ms
        )
        return [
            demand.ServiceDemand(SERVICE, self.autoscale, self.work, endpoints)
        ]

    def _settle(self):
        """Boots, drains and removes endpoints."""
        now_ms = self.clock.now()
        self.instances = [i for i in self.instances if i.ends_ms > now_ms]
        for ordered, desired in self.desired.items():
            own = [
                i
                for i in self.instances
                if i.group == ordered and i.ends_ms == NEVER
            ]
            for instance in own[desired:]:
                instance.ends_ms = now_ms + DRAIN_MS
            ready_ms = now_ms + self.autoscale.boot_ms - 1_000.0
            if ordered in self.failing:
                ready_ms = NEVER
            for _ in range(desired - len(own)):
                self.instances.append(Instance(ordered, ready_ms))

    def _on(self, instance):
        """Whether an endpoint is paid for; one that never comes up is not."""
        return instance.ready_ms != NEVER

    def _price(self, of):
        price = self.autoscale.zone_prices[of.availability_zone]
        return price * (self.autoscale.spot_price if of.spot else 1.0)
