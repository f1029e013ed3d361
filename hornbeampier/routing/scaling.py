"""Decides how many endpoints of a service to order.

The number follows the peak of the work over a recent period. An increase is
ordered at once. Endpoints are replaced by cheaper ones only after these serve,
and decreases wait until the load has been lower for some time and no endpoint
drains any more: a drained engine loses its prefix cache.
"""

import collections
import dataclasses
import enum
import math

from hornbeampier import clock as clocks
from hornbeampier.duties import terms
from hornbeampier.routing import allocation
from hornbeampier.routing import demand
from hornbeampier.routing import domain
from hornbeampier.routing import group_orders

# Utilization with steady load. With one server and constant service times,
# requests then wait two service times on average, which leaves most of them
# within their latency targets.
STEADY_UTILIZATION = 0.8
# Growth of the load for which there is room until ordered endpoints serve, as
# fractions of the load.
GROWTH_PER_S = 0.03
MAX_GROWTH = 0.5
# Utilization of the endpoints that are left after all spot endpoints of a zone
# are lost, until others replace them.
LOSS_UTILIZATION = 0.85
# Endpoints that are used this much may hide a larger load, as VMs then refuse
# requests. The load then counts as at least this much for each endpoint.
SATURATION = 0.95
SATURATED_WORK = 1.5
# Load that a decrease must leave room for, as a fraction of the peak: with less
# the next variation of the load would order the endpoints again.
DECREASE_MARGIN = 0.1
# Decreases wait at least this long after the load has fallen.
MIN_HOLD_MS = 8_000.0
MAX_HOLD_MS = 64_000.0
# An increase this soon after a decrease doubles the hold time; each longer time
# without one halves it again.
REVERSAL_MS = 60_000.0
HOLD_HALVING_MS = 600_000.0
# Fraction of the endpoints that one decrease drains.
DECREASE_FRACTION = 0.25
# Load settles on the remaining endpoints before the next decrease.
SETTLE_MS = 4_000.0
# A drain that takes longer no longer delays decreases.
MAX_DRAIN_MS = 120_000.0
# Between decisions further apart, peaks of the load may go unseen.
MAX_GAP_MS = 5_000.0

Counts = dict[allocation.Group, int]


class Reason(enum.StrEnum):
    """Why an order is given."""

    INCREASE = "increase"
    REPLACEMENT = "replacement"
    DECREASE = "decrease"
    UNAVAILABLE = "unavailable"
    REPEAT = "repeat"


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order and why it is given.

    Attributes:
        previous: Number ordered before, or present if none was ordered.
    """

    order: terms.EndpointOrder
    reason: Reason
    previous: int

    @property
    def group(self) -> allocation.Group:
        """The group of endpoints that is ordered."""
        return allocation.Group(self.order.availability_zone, self.order.spot)


def target_utilization(boot_ms: float) -> float:
    """Returns the utilization that leaves room until new endpoints serve."""
    growth = GROWTH_PER_S * boot_ms / clocks.MS_PER_SECOND
    return STEADY_UTILIZATION / (1.0 + min(growth, MAX_GROWTH))


def need_of(work: float, boot_ms: float) -> allocation.Need:
    """Returns the need for an amount of work, given in endpoints."""
    return allocation.Need(
        total=math.ceil(work / target_utilization(boot_ms)),
        surviving=math.ceil(work / LOSS_UTILIZATION),
    )


def _estimate_work(view: demand.ServiceDemand) -> float:
    """Returns the work, raised if saturated endpoints may hide part of it."""
    present = sum(view.present().values())
    if view.work < SATURATION * present:
        return view.work
    return max(view.work, SATURATED_WORK * present)


class _PeakHold:
    """The peak of the work over a period that reversals lengthen."""

    def __init__(self):
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._began_ms = math.inf
        self._factor = 1.0
        self._decreased_ms = -math.inf
        self._reversed_ms = -math.inf

    def add(self, now_ms: float, work: float) -> None:
        """Adds a sample."""
        if not self._samples or now_ms - self._samples[-1][0] > MAX_GAP_MS:
            self._began_ms = now_ms
        self._samples.append((now_ms, work))
        while now_ms - self._samples[0][0] > MAX_HOLD_MS:
            self._samples.popleft()
        if self._factor > 1.0 and now_ms - self._reversed_ms > HOLD_HALVING_MS:
            self._factor /= 2.0
            self._reversed_ms = now_ms

    def hold_ms(self, boot_ms: float) -> float:
        """Returns the period; it covers the boot time of a replacement."""
        shortest_ms = max(MIN_HOLD_MS, 2 * boot_ms)
        return min(shortest_ms * self._factor, MAX_HOLD_MS)

    def peak(self, now_ms: float, boot_ms: float) -> float:
        """Returns the peak over the period."""
        oldest_ms = now_ms - self.hold_ms(boot_ms)
        return max(work for ms, work in self._samples if ms >= oldest_ms)

    def is_covered(self, now_ms: float, boot_ms: float) -> bool:
        """Whether the whole period was observed."""
        return now_ms - self._began_ms >= self.hold_ms(boot_ms)

    def record_decrease(self, now_ms: float) -> None:
        """Records that fewer endpoints were ordered."""
        self._decreased_ms = now_ms

    def record_increase(self, now_ms: float) -> None:
        """Records an increase; one soon after a decrease reverses it."""
        if now_ms - self._decreased_ms <= REVERSAL_MS:
            self._factor = min(2.0 * self._factor, MAX_HOLD_MS / MIN_HOLD_MS)
            self._reversed_ms = now_ms
            self._decreased_ms = -math.inf


class ServiceScaler:
    """Decides the orders of one service.

    Attributes:
        need: The need at the last decision.
        peak: The held peak of the work at the last decision.
    """

    def __init__(self, service: str, clock: clocks.Clock):
        self._service = service
        self._clock = clock
        self._peaks = _PeakHold()
        self._orders = group_orders.GroupOrders()
        self._draining_ms = -math.inf
        self._drain_began_ms: float | None = None
        self.need = allocation.Need(0, 0)
        self.peak = 0.0

    def decide(
        self, view: demand.ServiceDemand, may_decrease: bool = True
    ) -> list[PlannedOrder]:
        """Returns the orders to send now, the most urgent first.

        Args:
            view: The work and the endpoints of the service.
            may_decrease: Whether the view covers the work of all VMs.
        """
        now_ms = self._clock.now()
        boot_ms = view.autoscale.boot_ms
        self._peaks.add(now_ms, _estimate_work(view))
        self._orders.observe(view, now_ms)
        self._observe_drains(view, now_ms)
        self.peak = self._peaks.peak(now_ms, boot_ms)
        self.need = need_of(self.peak, boot_ms)
        allocator = allocation.Allocator(
            view.autoscale, self._orders.groups(view)
        )
        caps = self._orders.caps(now_ms)
        current = self._orders.current(caps)
        wanted = allocator.cheapest(self.need, current, caps)
        reason = Reason.INCREASE
        if wanted == current and may_decrease and self._is_settled(view, caps):
            wanted, reason = self._reduce_cost(allocator, view, current, caps)
        wanted = {
            group: self._keep_bounds(group, wanted, view.autoscale)
            for group in wanted
        }
        return self._plan(wanted, current, reason, now_ms)

    def record(self, planned: PlannedOrder, outcome: terms.Outcome) -> None:
        """Records the outcome of an order that was sent."""
        now_ms = self._clock.now()
        self._orders.record(
            planned.group, planned.order.desired, outcome, now_ms
        )
        if outcome in (terms.Outcome.REFUSED, terms.Outcome.BUSY):
            return
        if planned.reason is Reason.DECREASE:
            self._peaks.record_decrease(now_ms)
        elif planned.reason is Reason.INCREASE:
            self._peaks.record_increase(now_ms)

    def wanted(self) -> Counts:
        """Returns the ordered number by group, or else the present one."""
        return self._orders.current({})

    def _observe_drains(
        self, view: demand.ServiceDemand, now_ms: float
    ) -> None:
        """Notes whether endpoints drain or have yet to begin to."""
        if not view.leaving_groups() and not self._orders.exceeds_order():
            self._drain_began_ms = None
            return
        if self._drain_began_ms is None:
            self._drain_began_ms = now_ms
        if now_ms - self._drain_began_ms < MAX_DRAIN_MS:
            self._draining_ms = now_ms

    def _is_settled(self, view: demand.ServiceDemand, caps: Counts) -> bool:
        """Whether all ordered endpoints serve and none drains."""
        now_ms = self._clock.now()
        return (
            self._peaks.is_covered(now_ms, view.autoscale.boot_ms)
            and now_ms - self._draining_ms >= SETTLE_MS
            and self._orders.is_present(caps)
        )

    def _reduce_cost(
        self,
        allocator: allocation.Allocator,
        view: demand.ServiceDemand,
        current: Counts,
        caps: Counts,
    ) -> tuple[Counts, Reason]:
        """Returns the next step towards the cheapest numbers for the need.

        That is either to add cheaper endpoints, which replace others later, or
        to remove some.
        """
        need = need_of(
            self.peak * (1.0 + DECREASE_MARGIN), view.autoscale.boot_ms
        )
        fewer = allocator.cheapest(need, {}, current)
        best = allocator.cheapest(need, {}, caps)
        saved = allocator.cost(fewer) - allocator.cost(best)
        if need.is_met(best) and saved >= allocator.lowest_lasting_price():
            added = allocator.add_within_zones(current, best)
            if added != current:
                return added, Reason.REPLACEMENT
        return self._decrease(allocator, need, current, fewer), Reason.DECREASE

    def _decrease(
        self,
        allocator: allocation.Allocator,
        need: allocation.Need,
        current: Counts,
        fewer: Counts,
    ) -> Counts:
        """Returns numbers with fewer endpoints in one group, if any."""
        largest = max(1, int(sum(current.values()) * DECREASE_FRACTION))
        groups = sorted(
            current,
            key=lambda g: (current[g] - fewer[g]) * allocator.price(g),
            reverse=True,
        )
        for group in groups:
            excess = min(largest, current[group] - fewer[group])
            for count in range(excess, 0, -1):
                wanted = {**current, group: current[group] - count}
                if need.is_met(wanted):
                    return wanted
        return current

    def _keep_bounds(
        self,
        group: allocation.Group,
        wanted: Counts,
        autoscale: domain.Autoscale,
    ) -> int:
        """Returns the number to order of a group within the zone's bounds.

        What the zone's other group gives up may be ordered once its decrease is
        accepted. A group without available endpoints keeps its order where the
        zone would otherwise be below its minimum.
        """
        previous = self._orders.baseline(group)
        others = [
            other
            for other in wanted
            if other != group
            and other.availability_zone == group.availability_zone
        ]
        if wanted[group] > previous:
            committed = sum(self._orders.committed(g) for g in others)
            room = autoscale.max_per_zone - committed
            return max(previous, min(wanted[group], room))
        kept = sum(min(wanted[g], self._orders.confirmed(g)) for g in others)
        missing = autoscale.min_per_zone - kept
        return min(previous, max(wanted[group], missing))

    def _plan(
        self, wanted: Counts, current: Counts, reason: Reason, now_ms: float
    ) -> list[PlannedOrder]:
        """Returns the orders that differ from those given, and repeats."""
        planned = []
        for group, count in wanted.items():
            previous = self._orders.baseline(group)
            if not self._orders.may_order(group, now_ms):
                continue
            if count != previous:
                why = reason if count != current[group] else Reason.UNAVAILABLE
                planned.append(self._order(group, count, why, previous))
            elif self._orders.is_repeat_due(group, now_ms):
                planned.append(
                    self._order(group, count, Reason.REPEAT, previous)
                )
        planned.sort(key=lambda p: p.order.desired - p.previous, reverse=True)
        return planned

    def _order(
        self,
        group: allocation.Group,
        count: int,
        reason: Reason,
        previous: int,
    ) -> PlannedOrder:
        order = terms.EndpointOrder(
            self._service, group.availability_zone, count, group.spot
        )
        return PlannedOrder(order, reason, previous)
