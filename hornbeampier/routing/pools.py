"""Keeps kinds of prompts that delay each other on different engines.

An engine interleaves prefill with the decode steps of its running requests, so
a long prompt delays all streams on the engine and all prompts queued behind it.
The engines of each service are split into one pool per kind of prompt, sized by
the recent workload. Short and interactive prompts need few engines and get them
first; batch prompts get the rest.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import prefill_tolerance
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests
from hornbeampier.routing import workload

# Pools keep their initial sizes for this time after the first request.
INITIAL_SIZES_MS = 2_000.0
# Maximum factor by which idle engines enlarge the pools beyond their needs.
MAX_IDLE_SCALE = 1.3
# Target utilization of the engines in each pool. Streams of short prompts
# tolerate the least time between events.
TARGET_UTILIZATION = {
    prompt_kinds.PromptKind.SHORT: 0.45,
    prompt_kinds.PromptKind.INTERACTIVE: 0.75,
    prompt_kinds.PromptKind.BATCH: 0.75,
}
# An engine at which work takes this many times longer than at the typical one
# serves batch prompts: short and interactive ones would miss their targets.
SLOW_FACTOR = 1.5

# Returns how many times longer work takes at the engines of a service, by
# endpoint id; engines left out have 1.
SpeedFactors = Callable[[str], Mapping[str, float]]


def _equal_speeds(service: str) -> Mapping[str, float]:
    """Initial `speed_factors`: all engines are equally fast."""
    del service
    return {}


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSplit:
    """The engines of a request's pool, and those it may spill over to."""

    pool: list[fleet.EndpointState]
    overflow: list[fleet.EndpointState]


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """Workload and pool sizes by service, as received from a peer.

    Attributes:
        vm_count: Number of VMs for which the peer speaks.
    """

    received_ms: float
    workloads: dict[str, workload.Workload]
    sizes: dict[str, pool_sizes.Sizes]
    vm_count: int


class EnginePools:
    """Splits the engines of each service by the kind of prompt.

    Attributes:
        speed_factors: Returns how slow the engines of a service are.
    """

    def __init__(
        self,
        classifier: prompt_kinds.PromptClassifier,
        models: engine_model.EngineModels,
        engine_traits: Callable[[str], domain.EngineTraits | None],
        clock: clocks.Clock,
    ):
        self.speed_factors: SpeedFactors = _equal_speeds
        self._clock = clock
        self._classifier = classifier
        self._models = models
        self._engine_traits = engine_traits
        self._workload_meters: dict[str, workload.WorkloadMeter] = {}
        self._peers: dict[str, _PeerReport] = {}
        self._tolerances: dict[str, prefill_tolerance.PrefillTolerance] = {}
        self._sizers: dict[str, pool_sizes.ServicePoolSizers] = {}
        self._log = structlog.get_logger(task="pools")

    def record(
        self, req: requests.Request, prefill_tokens: float, slots: int
    ) -> None:
        """Adds a request for which an engine was chosen to the workload.

        It counts even if it is then refused because of overload.

        Args:
            req: The request.
            prefill_tokens: Prompt tokens that the engine must prefill.
            slots: Number of requests that the engine runs at once.
        """
        self._classifier.record(req)
        tolerance = self._tolerance(req.service)
        if self._classifier.classify(req) is not prompt_kinds.PromptKind.SHORT:
            tolerance.record_long(prefill_tokens)
        if self._pool_kind(req) is not prompt_kinds.PromptKind.BATCH:
            tolerance.record_protected(req.route)
        self._meter(req.service).add(
            self._pool_kind(req),
            workload.of_prompt(
                req.prompt,
                prefill_tokens,
                slots,
                self._models.of(req.service),
                self._tokens_per_event(req.service),
            ),
        )

    def own_workload(self) -> dict[str, workload.Workload]:
        """Returns the recent workload of this VM by service."""
        return {
            service: tuple(round(value) for value in meter.sums())
            for service, meter in self._workload_meters.items()
        }

    def own_pool_sizes(self) -> dict[str, pool_sizes.Sizes]:
        """Returns the pool sizes that this VM computed, by service.

        The sizes in use are the medians over all VMs.
        """
        return {service: sizer.sizes for service, sizer in self._sizers.items()}

    def record_peer(
        self,
        vm: str,
        workloads: dict[str, workload.Workload],
        sizes: dict[str, pool_sizes.Sizes],
        vm_count: int = 1,
    ) -> None:
        """Records the workload and the pool sizes received from a peer.

        Args:
            vm: The peer.
            workloads: Recent workload by service.
            sizes: Pool sizes by service.
            vm_count: Number of VMs for which the peer speaks.
        """
        now_ms = self._clock.now()
        self._peers[vm] = _PeerReport(now_ms, workloads, sizes, vm_count)
        for name, peer in list(self._peers.items()):
            if peer.received_ms < now_ms - workload.DECAY_TIME_MS:
                del self._peers[name]

    def keep_only(self, vms: Collection[str]) -> None:
        """Drops the reports of all peers but some."""
        for vm in [vm for vm in self._peers if vm not in vms]:
            del self._peers[vm]

    def peer_workload(self, vm: str) -> dict[str, workload.Workload]:
        """Returns the workload that a peer reported, by service."""
        peer = self._peers.get(vm)
        return peer.workloads if peer is not None else {}

    def total_workload(
        self, vms: Collection[str] | None = None
    ) -> dict[str, workload.Workload]:
        """Returns the workload of this VM and of its peers by service.

        Args:
            vms: The peers that count; all if None.
        """
        services = set(self._workload_meters)
        for peer in self._peers.values():
            services.update(peer.workloads)
        return {
            service: tuple(
                round(value) for value in self._total_workload(service, vms)
            )
            for service in services
        }

    def agreed_pool_sizes(self) -> dict[str, pool_sizes.Sizes]:
        """Returns the medians over all VMs of the pool sizes by service."""
        return {
            service: self._median_sizes(service, sizer.sizes)
            for service, sizer in self._sizers.items()
        }

    def split(
        self, req: requests.Request, states: list[fleet.EndpointState]
    ) -> PoolSplit:
        """Returns the request's pool and the pools that it may spill over to.

        Interactive prompts never spill over to the engines of short ones, batch
        prompts only once it is known how prefill delays streams.
        """
        sizes = self._update_sizes(req.service, len(states))
        ranked = self._rank(req.service, states, sizes.short)
        end = len(ranked) - sizes.interactive
        short = ranked[: sizes.short]
        batch = ranked[sizes.short : end]
        interactive = ranked[end:]
        kind = self._classifier.classify(req)
        pool_kind = self._pool_kind(req)
        if pool_kind is not kind:
            return PoolSplit(batch or states, short + interactive)
        match kind:
            case prompt_kinds.PromptKind.SHORT:
                split = PoolSplit(short, interactive + batch)
            case prompt_kinds.PromptKind.INTERACTIVE:
                split = PoolSplit(interactive or batch, batch)
            case _:
                split = PoolSplit(batch, interactive)
                if self._models.of(req.service).prefill_pause_ms is not None:
                    split = PoolSplit(batch, interactive + short)
        return split if split.pool else PoolSplit(states, [])

    def _rank(
        self, service: str, states: list[fleet.EndpointState], short_count: int
    ) -> list[fleet.EndpointState]:
        """Returns the engines in the order in which the pools take them.

        The pools of short and of interactive prompts take them from both ends.
        Slow engines come between, after those of the short prompts.
        """
        ranked = sorted(states, key=lambda state: state.pool_rank)
        factors = self.speed_factors(service)
        slow = [s for s in ranked if factors.get(s.id, 1.0) >= SLOW_FACTOR]
        if not slow:
            return ranked
        slow_ids = {state.id for state in slow}
        fast = [state for state in ranked if state.id not in slow_ids]
        return fast[:short_count] + slow + fast[short_count:]

    def _pool_kind(self, req: requests.Request) -> prompt_kinds.PromptKind:
        """Returns the kind whose pool a request uses.

        A short prompt uses the pool of batch prompts if its stream tolerates
        their prefill.
        """
        kind = self._classifier.classify(req)
        if kind is prompt_kinds.PromptKind.SHORT and self._tolerance(
            req.service
        ).tolerates(req.route):
            return prompt_kinds.PromptKind.BATCH
        return kind

    def tolerates_prefill(self, req: requests.Request) -> bool:
        """Whether the request's stream is on time beside prefill."""
        return self._tolerance(req.service).tolerates_pauses(req.route)

    def _tolerance(self, service: str) -> prefill_tolerance.PrefillTolerance:
        if service not in self._tolerances:
            self._tolerances[service] = prefill_tolerance.PrefillTolerance(
                self._models.of(service), self._clock
            )
        return self._tolerances[service]

    def max_spill_prefill_ms(self, service: str) -> float:
        """Returns how long a batch prompt may prefill on other pools' engines.

        The prefill that is queued there already counts.
        """
        return self._tolerance(service).max_prefill_ms(
            self._tokens_per_event(service)
        )

    def _tokens_per_event(self, service: str) -> float:
        traits = self._engine_traits(service)
        return traits.tokens_per_event if traits is not None else 1.0

    def _meter(self, service: str) -> workload.WorkloadMeter:
        if service not in self._workload_meters:
            self._workload_meters[service] = workload.WorkloadMeter(self._clock)
        return self._workload_meters[service]

    def _update_sizes(
        self, service: str, engine_count: int
    ) -> pool_sizes.Sizes:
        """Updates and returns the pool sizes for a number of engines."""
        sizers = self._sizers.get(service)
        if sizers is None:
            sizers = self._sizers[service] = pool_sizes.ServicePoolSizers(
                self._clock, engine_count
            )
        if self._meter(service).age_ms >= INITIAL_SIZES_MS:
            target_sizes = self._target_sizes(service, engine_count)
            if sizers.resize(target_sizes, engine_count):
                self._log.info(
                    "pools_resized",
                    service=service,
                    endpoints=engine_count,
                    short=sizers.short.size,
                    interactive=sizers.interactive.size,
                    wanted=[round(value, 2) for value in target_sizes],
                )
        return pool_sizes.clamp(
            self._median_sizes(service, sizers.sizes), engine_count
        )

    def _median_sizes(
        self, service: str, own_sizes: pool_sizes.Sizes
    ) -> pool_sizes.Sizes:
        """Returns the median sizes over all VMs.

        Because of the hysteresis, VMs may compute different sizes for the same
        need for a long time. Without the median they would send different kinds
        of prompts to the same engines.
        """
        sizes = [(own_sizes, 1)]
        sizes += [
            (peer.sizes[service], peer.vm_count)
            for peer in self._live_peers()
            if service in peer.sizes
        ]
        return pool_sizes.Sizes(
            _weighted_median((s.short, count) for s, count in sizes),
            _weighted_median((s.interactive, count) for s, count in sizes),
        )

    def _target_sizes(
        self, service: str, engine_count: int
    ) -> workload.Workload:
        """Returns the target size of each pool, in engines.

        While engines are idle, short and interactive prompts get somewhat more
        engines than they need: prompts in close succession delay streams even
        on an engine that is not fully utilized. Batch prompts get all other
        engines, to make use of their prefix caches.
        """
        tokens_per_ms = self._models.of(service).tokens_per_ms
        engine_capacity = workload.DECAY_TIME_MS * tokens_per_ms
        needs = [
            tokens / engine_capacity / TARGET_UTILIZATION[kind]
            for kind, tokens in zip(
                prompt_kinds.PromptKind,
                self._total_workload(service),
                strict=True,
            )
        ]
        scale = engine_count / max(pool_sizes.MIN_NEED, sum(needs))
        scale = min(max(1.0, scale), MAX_IDLE_SCALE)
        return tuple(need * scale for need in needs)

    def _live_peers(
        self, vms: Collection[str] | None = None
    ) -> list[_PeerReport]:
        """Returns the reports of live peers, of some or of all."""
        oldest_ms = self._clock.now() - workload.DECAY_TIME_MS
        return [
            peer
            for vm, peer in self._peers.items()
            if peer.received_ms >= oldest_ms and (vms is None or vm in vms)
        ]

    def _total_workload(
        self, service: str, vms: Collection[str] | None = None
    ) -> workload.Workload:
        """Returns the workload of this VM and of some peers or of all."""
        workloads = [self._meter(service).sums()]
        for peer in self._live_peers(vms):
            workloads.append(peer.workloads.get(service, workload.NO_WORKLOAD))
        return tuple(sum(values) for values in zip(*workloads, strict=True))


def _weighted_median(values: Iterable[tuple[int, int]]) -> int:
    """Returns the lower median of pairs of a value and its count."""
    ordered = sorted(values)
    half = sum(count for _, count in ordered) / 2
    seen = 0
    for value, count in ordered:
        seen += count
        if seen >= half:
            return value
    raise ValueError("no values")
