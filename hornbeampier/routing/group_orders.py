"""What was ordered of each group of a service's endpoints, and what came."""

import dataclasses
import math

from hornbeampier.duties import terms
from hornbeampier.routing import allocation
from hornbeampier.routing import demand

# Interval at which an unchanged order is repeated.
REPEAT_MS = 10_000.0
# Interval at which it is repeated instead for UNCERTAIN_MS after a call without
# a response, which may not have been executed, or be executed late.
UNCERTAIN_REPEAT_MS = 2_000.0
UNCERTAIN_MS = 10_000.0
# How long a group is left out after a refused order; it doubles with each
# further refusal.
REFUSED_MS = 5_000.0
MAX_REFUSED_MS = 40_000.0
# Time from the boot time until a new endpoint counts as failed: its entry
# takes a while to come through the store and the peers.
BOOT_MARGIN_MS = 6_000.0
# How long no more endpoints are ordered of a group whose endpoints did not come
# up or were reclaimed; it doubles with each further time.
FAILED_MS = 30_000.0
MAX_FAILED_MS = 240_000.0
MAX_BACKOFF_STEPS = 8
# For this time after an order of fewer endpoints, leaving endpoints are taken
# to drain because of the order, not to be reclaimed.
DRAIN_MS = 60_000.0
# A group whose last failure is this old counts as one that never failed.
FAILURE_RESET_MS = 600_000.0

Counts = dict[allocation.Group, int]


@dataclasses.dataclass(slots=True)
class _GroupState:
    """The orders of one group.

    Attributes:
        present: Number of endpoints that are not leaving.
        ordered: Last number that was ordered, or None.
        accepted: Last number whose order was accepted, or None.
        progressed_ms: When the last new order was given, an endpoint last came
            or the ordered number was last present, whichever is latest.
        cap: Number of endpoints that the group has at most until
            `capped_until_ms`.
        decreased_ms: When fewer endpoints were ordered than present.
        reclaimed: Whether endpoints are being reclaimed.
    """

    present: int = 0
    ordered: int | None = None
    accepted: int | None = None
    sent_ms: float = -math.inf
    progressed_ms: float = -math.inf
    uncertain_until_ms: float = -math.inf
    refusals: int = 0
    refused_until_ms: float = -math.inf
    cap: int = 0
    capped_until_ms: float = -math.inf
    failures: int = 0
    failed_ms: float = -math.inf
    decreased_ms: float = -math.inf
    reclaimed: bool = False

    @property
    def baseline(self) -> int:
        """Number that was ordered, or else the present one."""
        return self.present if self.ordered is None else self.ordered

    @property
    def committed(self) -> int:
        """Most endpoints that the platform may provide with the orders given.

        An order without a response may not have been executed.
        """
        if self.accepted is None:
            return max(self.baseline, self.present)
        return max(self.baseline, self.accepted)

    @property
    def confirmed(self) -> int:
        """Fewest endpoints that the platform was told to provide."""
        if self.accepted is None:
            return min(self.baseline, self.present)
        return min(self.baseline, self.accepted)

    def observe(
        self, present: int, reclaimable: bool, boot_ms: float, now_ms: float
    ) -> None:
        """Updates which ordered endpoints came, are overdue or reclaimed.

        Args:
            present: Number of endpoints that are not leaving.
            reclaimable: Whether spot endpoints of the group are leaving.
            boot_ms: Boot time of an endpoint.
            now_ms: The current time on the monotonic clock.
        """
        if present > self.present or present >= self.baseline:
            self.progressed_ms = now_ms
        self.present = present
        reclaimed = reclaimable and self._lost_endpoints(now_ms)
        if reclaimed:
            if not self.reclaimed:
                self._record_failure(now_ms)
            self.cap = present
        elif self._is_overdue(boot_ms, now_ms):
            self._record_failure(now_ms)
            self.cap = present
        self.reclaimed = reclaimed

    def _lost_endpoints(self, now_ms: float) -> bool:
        """Whether endpoints leave without an order to reduce their number.

        All spot endpoints of a zone are reclaimed at once.
        """
        if self.ordered is not None and self.ordered <= self.present:
            return False
        return not self.present or now_ms - self.decreased_ms > DRAIN_MS

    def _is_overdue(self, boot_ms: float, now_ms: float) -> bool:
        waited_ms = now_ms - self.progressed_ms
        return (
            self.baseline > self.present
            and now_ms >= self.capped_until_ms
            and waited_ms > boot_ms + BOOT_MARGIN_MS
        )

    def _record_failure(self, now_ms: float) -> None:
        """Leaves the group out with exponential backoff."""
        if now_ms - self.failed_ms > FAILURE_RESET_MS:
            self.failures = 0
        self.failures += 1
        self.failed_ms = now_ms
        cap_ms = FAILED_MS * 2 ** min(self.failures - 1, MAX_BACKOFF_STEPS)
        self.capped_until_ms = now_ms + min(cap_ms, MAX_FAILED_MS)

    def record(
        self, desired: int, outcome: terms.Outcome, now_ms: float
    ) -> None:
        """Records the outcome of an order."""
        if outcome is terms.Outcome.BUSY:
            return
        if outcome is terms.Outcome.REFUSED:
            self.ordered = self.accepted
            wait_ms = REFUSED_MS * 2**self.refusals
            self.refused_until_ms = now_ms + min(wait_ms, MAX_REFUSED_MS)
            self.refusals = min(self.refusals + 1, MAX_BACKOFF_STEPS)
            return
        if desired < self.present:
            self.decreased_ms = now_ms
        if desired != self.ordered:
            self.progressed_ms = now_ms
        self.ordered = desired
        self.sent_ms = now_ms
        if outcome is terms.Outcome.ACCEPTED:
            self.accepted = desired
            self.refusals = 0
        else:
            self.uncertain_until_ms = now_ms + UNCERTAIN_MS


class GroupOrders:
    """The orders of all groups of a service."""

    def __init__(self):
        self._states: dict[allocation.Group, _GroupState] = {}

    def observe(self, view: demand.ServiceDemand, now_ms: float) -> None:
        """Updates which endpoints came and which are reclaimed."""
        present = view.present()
        leaving = view.leaving_groups()
        for group in self.groups(view):
            state = self._states.setdefault(group, _GroupState())
            state.observe(
                present.get(group, 0),
                group.spot and group in leaving,
                view.autoscale.boot_ms,
                now_ms,
            )

    def groups(self, view: demand.ServiceDemand) -> list[allocation.Group]:
        """Returns the groups that have endpoints or may have some."""
        groups = {*self._states, *(e.group for e in view.endpoints)}
        zones = {g.availability_zone for g in groups}
        zones.update(view.autoscale.zone_prices)
        groups.update(allocation.Group(zone, False) for zone in zones)
        if view.autoscale.spot_price is not None:
            groups.update(allocation.Group(zone, True) for zone in zones)
        return sorted(groups)

    def caps(self, now_ms: float) -> Counts:
        """Returns the maximum of each group that gets no more endpoints now."""
        caps = {}
        for group, state in self._states.items():
            if now_ms < state.capped_until_ms:
                caps[group] = state.cap
            elif now_ms < state.refused_until_ms:
                caps[group] = state.baseline
        return caps

    def current(self, caps: Counts) -> Counts:
        """Returns the ordered number by group, or else the present one."""
        return {
            group: min(state.baseline, caps.get(group, state.baseline))
            for group, state in self._states.items()
        }

    def baseline(self, group: allocation.Group) -> int:
        """Returns the number that was ordered, or else the present one."""
        return self._states[group].baseline

    def committed(self, group: allocation.Group) -> int:
        """Returns the most endpoints that the platform may provide."""
        return self._states[group].committed

    def confirmed(self, group: allocation.Group) -> int:
        """Returns the fewest endpoints that the platform was told."""
        return self._states[group].confirmed

    def is_present(self, caps: Counts) -> bool:
        """Whether all endpoints that can still come are present."""
        return all(
            self._states[group].present >= count
            for group, count in self.current(caps).items()
        )

    def exceeds_order(self) -> bool:
        """Whether a group has more endpoints than were ordered."""
        return any(s.present > s.baseline for s in self._states.values())

    def may_order(self, group: allocation.Group, now_ms: float) -> bool:
        """Whether the group was not refused lately."""
        return now_ms >= self._states[group].refused_until_ms

    def is_repeat_due(self, group: allocation.Group, now_ms: float) -> bool:
        """Whether an unchanged order is to be sent again."""
        state = self._states[group]
        interval_ms = REPEAT_MS
        if now_ms < state.uncertain_until_ms:
            interval_ms = UNCERTAIN_REPEAT_MS
        return (
            state.ordered is not None and now_ms - state.sent_ms >= interval_ms
        )

    def record(
        self,
        group: allocation.Group,
        desired: int,
        outcome: terms.Outcome,
        now_ms: float,
    ) -> None:
        """Records the outcome of an order."""
        self._states[group].record(desired, outcome, now_ms)
