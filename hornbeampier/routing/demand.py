"""How much work each service has, as seen from the loads of all VMs."""

import dataclasses
import statistics

from hornbeampier.routing import allocation
from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill

# Latency target of a service that no route goes to.
DEFAULT_TARGET_MS = 1_000.0
# Prompts that wait no longer than this fraction of the latency target are no
# backlog: each prompt waits at least for its own prefill.
ORDINARY_WAIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load of one endpoint over all VMs.

    Attributes:
        leaving: Whether it takes no new requests, or is reclaimed soon.
        queued_tokens: Prompt tokens that wait for prefill.
        prefill_share: Fraction of time that it needs for prefill; more than 1
            if prompts arrive faster than it can process them.
    """

    group: allocation.Group
    leaving: bool
    slots: int
    in_flight: int
    queued_tokens: float = 0.0
    prefill_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The work of a service and its endpoints.

    Attributes:
        work: Work in endpoints at full use.
    """

    service: str
    autoscale: domain.Autoscale
    work: float
    endpoints: tuple[EndpointLoad, ...]

    def leaving_groups(self) -> set[allocation.Group]:
        """Returns the groups with endpoints that are leaving."""
        return {e.group for e in self.endpoints if e.leaving}

    def present(self) -> dict[allocation.Group, int]:
        """Returns the number of endpoints that are not leaving by group."""
        counts: dict[allocation.Group, int] = {}
        for endpoint in self.endpoints:
            if not endpoint.leaving:
                counts[endpoint.group] = counts.get(endpoint.group, 0) + 1
        return counts


def slot_work(endpoints: tuple[EndpointLoad, ...]) -> float:
    """Returns the slots in use, in endpoints."""
    return sum(e.in_flight / max(1, e.slots) for e in endpoints)


def prefill_work(
    endpoints: tuple[EndpointLoad, ...],
    tokens_per_ms: float,
    latency_target_ms: float,
) -> float:
    """Returns how many endpoints the prefill of the prompts takes.

    A backlog counts with what it takes to process it within the latency target.
    """
    share = sum(e.prefill_share for e in endpoints)
    queued_ms = sum(e.queued_tokens for e in endpoints) / tokens_per_ms
    backlog = queued_ms / latency_target_ms - share * ORDINARY_WAIT_FRACTION
    return share + max(0.0, backlog)


class DemandMeter:
    """Measures the work of services on all VMs."""

    def __init__(
        self,
        catalog: catalog.Catalog,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        prefill_meter: prefill.PrefillMeter,
        models: engine_model.EngineModels,
    ):
        self._catalog = catalog
        self._fleet = fleet
        self._peers = peers
        self._prefill_meter = prefill_meter
        self._models = models

    def loads_age_ms(self) -> float | None:
        """Returns the age of the oldest load; None without live peers."""
        return self._peers.age_ms()

    def measure(self) -> list[ServiceDemand]:
        """Returns the demands of all services whose endpoints are ordered."""
        cfg = self._catalog.cfg
        services = cfg.services.values() if cfg else ()
        return [
            self._measure(service, service.autoscale)
            for service in services
            if service.autoscale is not None
        ]

    def _measure(
        self, service: domain.Service, autoscale: domain.Autoscale
    ) -> ServiceDemand:
        serving = {state.id for state in self._fleet.serving(service.name)}
        tokens_per_ms = None
        if service.engine_traits is not None:
            tokens_per_ms = self._models.of(service.name).tokens_per_ms
        endpoints = tuple(
            self._load(state, state.id not in serving, tokens_per_ms)
            for state in self._fleet.all()
            if state.endpoint.service == service.name
        )
        work = slot_work(endpoints)
        if tokens_per_ms is not None:
            target_ms = self._latency_target_ms(service.name)
            work = max(work, prefill_work(endpoints, tokens_per_ms, target_ms))
        return ServiceDemand(service.name, autoscale, work, endpoints)

    def _load(
        self,
        state: fleet.EndpointState,
        leaving: bool,
        tokens_per_ms: float | None,
    ) -> EndpointLoad:
        endpoint = state.endpoint
        prefill_share = 0.0
        if tokens_per_ms is not None:
            prefill_share = self._prefill_meter.utilization(
                state.id, tokens_per_ms
            )
        peer_load = self._peers.total(state.id)
        return EndpointLoad(
            group=allocation.Group(endpoint.availability_zone, endpoint.spot),
            leaving=leaving or endpoint.leaves_in_ms is not None,
            slots=endpoint.slots,
            in_flight=state.in_flight + peer_load.in_flight,
            queued_tokens=state.prefill_tokens + peer_load.prefill_tokens,
            prefill_share=prefill_share,
        )

    def _latency_target_ms(self, service: str) -> float:
        """Returns the median target: the queue is not known by route."""
        targets = [
            route.latency_target_ms
            for route in self._catalog.cfg.routes
            if service in route.services
        ]
        if not targets:
            return DEFAULT_TARGET_MS
        return max(1.0, statistics.median_low(targets))
