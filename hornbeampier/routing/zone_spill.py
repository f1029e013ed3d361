"""Decides which plain requests leave this VM's availability zone.

A request stays in the zone while an endpoint there has room. Beyond that, the
share of requests that leave rises with the difference in utilization between
the own and the other zones. A request that would wait in the own zone may leave
at once, unless the link to the other zones is slow.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import requests

REFRESH_MS = 250.0
# A zone has room below this utilization.
ROOM_UTILIZATION = 0.7
# Requests of other zones fill endpoints up to this utilization.
SPARE_UTILIZATION = 0.8
# Differences in utilization from which requests begin to leave, below which
# they stop, and from which all may leave.
START_DIFFERENCE = 0.1
STOP_DIFFERENCE = 0.02
FULL_DIFFERENCE = 0.6
# Time constant with which the share follows the difference. Loads of peers are
# older than half a second at times; a faster share would oscillate.
SHARE_TIME_MS = 1_000.0
# Requests do not stay in a zone whose endpoints take this many times as long as
# those of the others, over all VMs.
SLOW_RATIO = 1.5
# Requests do not leave while those of this VM that left took this many times as
# long as those that stayed, for example because of a slow link.
SLOW_LINK_RATIO = 1.25
# Number of recent requests with whose sizes that of a new one is compared.
SIZE_SAMPLE_COUNT = 64

LoadFunction = Callable[[fleet.EndpointState], float]
# Called with a service and whether its request left the zone.
CountFunction = Callable[[str, bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The load of the endpoints of some zones, over all VMs.

    Attributes:
        slowdown: How many times longer than expected responses take.
        vm_slowdown: The same for responses to this VM only.
        spare_slots: Slots that requests of other zones may fill.
    """

    in_flight: int
    slots: int
    slowdown: float
    vm_slowdown: float
    spare_slots: float

    @property
    def utilization(self) -> float:
        """Requests in flight per slot."""
        return self.in_flight / max(1, self.slots)


@dataclasses.dataclass(slots=True)
class _Service:
    """The zones' loads of a service, and which of its requests leave.

    Attributes:
        own: Load of the own zone.
        others: Load of the other zones together.
        refreshed_ms: When the loads were summed up.
        is_spilling: Whether the difference in utilization makes requests leave.
        share: Share of the requests that leave the zone unless it has room.
        quota: Requests that may still leave before the next refresh.
        sizes: Sizes of recent requests.
    """

    own: ZoneLoad
    others: ZoneLoad
    refreshed_ms: float
    is_spilling: bool = False
    share: float = 0.0
    quota: float = 0.0
    sizes: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SIZE_SAMPLE_COUNT)
    )

    @property
    def is_own_slow(self) -> bool:
        """Whether responses take longer in the own zone than in others."""
        return self.own.slowdown > SLOW_RATIO * self.others.slowdown

    @property
    def is_link_slow(self) -> bool:
        """Whether this VM's requests that left took longer than the others."""
        return self.others.vm_slowdown > SLOW_LINK_RATIO * self.own.vm_slowdown


class ZoneSpill:
    """Chooses between the endpoints of the own and of other zones."""

    def __init__(
        self,
        zone: str,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        zone_vm_count: Callable[[], int],
        clock: clocks.Clock,
        rng: random.Random,
        count: CountFunction = lambda service, leaves: None,
    ):
        """Creates the chooser between zones.

        Args:
            zone: This VM's availability zone; empty if unknown.
            fleet: The endpoints.
            peers: The loads of the other VMs.
            zone_vm_count: Returns the number of live VMs in the own zone.
            clock: The clock.
            rng: Spreads requests over endpoints of other zones.
            count: Counts the decisions.
        """
        self._zone = zone
        self._fleet = fleet
        self._peers = peers
        self._zone_vm_count = zone_vm_count
        self._clock = clock
        self._rng = rng
        self._count = count
        self._services: dict[str, _Service] = {}
        self._log = structlog.get_logger(task="zones")

    def choose(
        self,
        req: requests.Request,
        candidates: list[fleet.EndpointState],
        load: LoadFunction,
    ) -> fleet.EndpointState | None:
        """Returns the endpoint of a plain request.

        None if zones do not matter: the own zone is unknown, or has no or all
        candidates; no loads of peers are known; responses take longer in the
        own zone; or the request would wait there and the others have no spare
        slots.

        Args:
            req: The request.
            candidates: The endpoints that may get it.
            load: The load by which endpoints are compared.
        """
        own, others = self._split(candidates)
        if not own or not others or not self._is_current():
            return None
        service = self._refresh(req.service)
        size_rank = self._rank_size(service, len(req.body))
        if service.is_own_slow:
            return None
        best = min(own, key=lambda s: (load(s), self._rng.random()))
        would_wait = self._in_flight(best) >= best.endpoint.slots
        if service.is_link_slow:
            return best
        if would_wait or size_rank < service.share:
            remote = self._choose_remote(service, others)
            if remote is not None:
                service.quota -= 1.0
                return remote
        return None if would_wait else best

    def record(self, service: str, state: fleet.EndpointState) -> None:
        """Counts a request by whether it leaves the zone."""
        self._count(service, state.endpoint.availability_zone != self._zone)

    def _split(
        self, candidates: list[fleet.EndpointState]
    ) -> tuple[list[fleet.EndpointState], list[fleet.EndpointState]]:
        """Returns the endpoints of the own zone and those of the others."""
        own, others = [], []
        for state in candidates:
            is_own = state.endpoint.availability_zone == self._zone
            (own if is_own else others).append(state)
        return own, others

    def _is_current(self) -> bool:
        """Whether the loads of peers are known; they are dropped when old."""
        return self._peers.age_ms() is not None or self._zone_vm_count() == 1

    def _rank_size(self, service: _Service, size: int) -> float:
        """Returns the fraction of recent requests that are smaller."""
        sizes = service.sizes
        smaller = sum(other < size for other in sizes)
        equal = sum(other == size for other in sizes)
        rank = (smaller + self._rng.random() * equal) / max(1, len(sizes))
        sizes.append(size)
        return rank

    def _choose_remote(
        self, service: _Service, others: list[fleet.EndpointState]
    ) -> fleet.EndpointState | None:
        """Returns an endpoint with spare slots, if more requests may leave.

        It is drawn at random: VMs do not know yet what others have just sent.
        """
        if service.quota < 1.0:
            return None
        spare_slots = [self._spare_slots(state) for state in others]
        if not any(spare_slots):
            return None
        return self._rng.choices(others, spare_slots)[0]

    def _refresh(self, name: str) -> _Service:
        now_ms = self._clock.now()
        service = self._services.get(name)
        if service is not None:
            elapsed_ms = now_ms - service.refreshed_ms
            if elapsed_ms < REFRESH_MS:
                return service
        own, others = self._split(self._fleet.candidates(name))
        own_load, other_load = self._sum(own), self._sum(others)
        if service is None:
            service = _Service(own_load, other_load, now_ms)
            self._services[name] = service
            elapsed_ms = REFRESH_MS
        service.own, service.others = own_load, other_load
        service.refreshed_ms = now_ms
        # Each VM may always try one request, as the quota of many VMs is small.
        quota = other_load.spare_slots / max(1, self._zone_vm_count())
        service.quota = max(1.0, quota) if other_load.spare_slots else 0.0
        self._update_share(name, service, elapsed_ms)
        return service

    def _update_share(
        self, name: str, service: _Service, elapsed_ms: float
    ) -> None:
        difference = service.own.utilization - max(
            service.others.utilization, ROOM_UTILIZATION
        )
        limit = STOP_DIFFERENCE if service.is_spilling else START_DIFFERENCE
        is_spilling = difference >= limit
        target = difference / FULL_DIFFERENCE if is_spilling else 0.0
        weight = 1.0 - math.exp(-elapsed_ms / SHARE_TIME_MS)
        service.share += weight * (min(1.0, target) - service.share)
        if is_spilling == service.is_spilling:
            return
        service.is_spilling = is_spilling
        loads_age_ms = self._peers.age_ms()
        self._log.info(
            "zone_spill_started" if is_spilling else "zone_spill_ended",
            service=name,
            zone=self._zone,
            utilization=round(service.own.utilization, 2),
            other_utilization=round(service.others.utilization, 2),
            spare_slots=round(service.others.spare_slots),
            quota=round(service.quota, 1),
            loads_age_ms=None if loads_age_ms is None else round(loads_age_ms),
        )

    def _sum(self, states: list[fleet.EndpointState]) -> ZoneLoad:
        own = _add([state.latency.sums() for state in states])
        peers = _add(
            [self._peers.total(state.id).latency_sums for state in states]
        )
        return ZoneLoad(
            in_flight=sum(self._in_flight(state) for state in states),
            slots=sum(state.endpoint.slots for state in states),
            slowdown=latency.slowdown(own, peers),
            vm_slowdown=latency.slowdown(own, latency.NO_SUMS),
            spare_slots=sum(self._spare_slots(state) for state in states),
        )

    def _in_flight(self, state: fleet.EndpointState) -> int:
        return state.in_flight + self._peers.total(state.id).in_flight

    def _spare_slots(self, state: fleet.EndpointState) -> float:
        slots = SPARE_UTILIZATION * state.endpoint.slots
        return max(0.0, slots - self._in_flight(state))


def _add(sums: list[latency.LatencySums]) -> latency.LatencySums:
    return latency.LatencySums(
        sum(item.measured_ms for item in sums),
        sum(item.expected_ms for item in sums),
    )
