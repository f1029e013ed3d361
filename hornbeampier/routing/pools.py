"""Keeps kinds of prompts that delay each other on different engines.

An engine interleaves prefill with the decode steps of its running requests, so
a long prompt delays all streams on the engine and all prompts queued behind it.
The engines of each service are split into one pool per kind of prompt, sized by
the recent workload. Short and interactive prompts need few engines and get them
first; batch prompts get the rest.
"""

import dataclasses
import math
import statistics

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests
from hornbeampier.routing import workload

# Pools keep their initial sizes for this time after the first request.
INITIAL_MS = 2_000.0
# Maximum factor by which idle engines enlarge the pools beyond their needs.
MAX_IDLE_SCALE = 1.3
# Target utilization of the engines in each pool. Streams of short prompts
# tolerate the least time between events.
UTILIZATION = {
    prompt_kinds.PromptKind.SHORT: 0.4,
    prompt_kinds.PromptKind.INTERACTIVE: 0.65,
    prompt_kinds.PromptKind.BATCH: 0.65,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The engines of a request's pool, and those it may spill over to."""

    own: list[fleet.EndpointState]
    others: list[fleet.EndpointState]


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerWork:
    """Workload and pool sizes by service, as received from a peer."""

    at_ms: float
    work: dict[str, workload.Work]
    sizes: dict[str, pool_sizes.Sizes]


class EnginePools:
    """Splits the engines of each service by the kind of prompt."""

    def __init__(
        self, found_kinds: prompt_kinds.PromptClassifier, clock: clocks.Clock
    ):
        self._clock = clock
        self._classifier = found_kinds
        self._work: dict[str, workload.WorkMeter] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._sizes: dict[str, pool_sizes.ServicePools] = {}
        self._log = structlog.get_logger(task="pools")

    def record(
        self, req: requests.Request, prefill_tokens: float, slots: int
    ) -> None:
        """Adds a request that was sent to an engine to the workload.

        Args:
            req: The request.
            prefill_tokens: Prompt tokens that the engine must prefill.
            slots: Number of requests that the engine runs at once.
        """
        self._classifier.record(req)
        self._meter(req.service).add(
            self._classifier.kind_of(req),
            workload.of_prompt(req.prompt, prefill_tokens, slots),
        )

    def own_workload(self) -> dict[str, workload.Work]:
        """Returns the recent workload of this VM by service."""
        return {
            service: tuple(round(value) for value in meter.sums())
            for service, meter in self._work.items()
        }

    def own_pool_sizes(self) -> dict[str, pool_sizes.Sizes]:
        """Returns the pool sizes that this VM computed, by service.

        The sizes in use are the medians over all VMs.
        """
        return {service: found.sizes for service, found in self._sizes.items()}

    def record_peer(
        self,
        vm: str,
        work: dict[str, workload.Work],
        sizes: dict[str, pool_sizes.Sizes],
    ) -> None:
        """Records the workload and the pool sizes received from a peer."""
        now_ms = self._clock.now()
        self._peers[vm] = _PeerWork(now_ms, work, sizes)
        for name, peer in list(self._peers.items()):
            if peer.at_ms < now_ms - workload.MEMORY_MS:
                del self._peers[name]

    def split(
        self, req: requests.Request, states: list[fleet.EndpointState]
    ) -> Split:
        """Returns the request's pool and the pools that it may spill over to.

        Interactive and batch prompts never spill over to the engines of short
        ones.
        """
        sizes = self._resize(req.service, len(states))
        ranked = sorted(states, key=lambda state: state.rank)
        end = len(ranked) - sizes.interactive
        short = ranked[: sizes.short]
        batch = ranked[sizes.short : end]
        interactive = ranked[end:]
        match self._classifier.kind_of(req):
            case prompt_kinds.PromptKind.SHORT:
                found = Split(short, interactive + batch)
            case prompt_kinds.PromptKind.INTERACTIVE:
                found = Split(interactive or batch, batch)
            case _:
                found = Split(batch, interactive)
        return found if found.own else Split(states, [])

    def _meter(self, service: str) -> workload.WorkMeter:
        if service not in self._work:
            self._work[service] = workload.WorkMeter(self._clock)
        return self._work[service]

    def _resize(self, service: str, count: int) -> pool_sizes.Sizes:
        """Updates and returns the pool sizes for a number of engines."""
        pools = self._sizes.get(service)
        if pools is None:
            pools = self._sizes[service] = pool_sizes.ServicePools(
                self._clock, count
            )
        if self._meter(service).age_ms >= INITIAL_MS:
            wanted = self._wanted(service, count)
            if pools.resize(wanted, count):
                self._log.info(
                    "pools_resized",
                    service=service,
                    endpoints=count,
                    short=pools.short.engines,
                    interactive=pools.interactive.engines,
                    wanted=[round(value, 2) for value in wanted],
                )
        return pool_sizes.bounded(self._agreed(service, pools.sizes), count)

    def _agreed(self, service: str, own: pool_sizes.Sizes) -> pool_sizes.Sizes:
        """Returns the median sizes over all VMs.

        Because of the hysteresis, VMs may compute different sizes for the same
        need for a long time. Without the median they would send different kinds
        of prompts to the same engines.
        """
        told = [own]
        told += [
            peer.sizes[service]
            for peer in self._fresh_peers()
            if service in peer.sizes
        ]
        return pool_sizes.Sizes(
            statistics.median_low(sizes.short for sizes in told),
            statistics.median_low(sizes.interactive for sizes in told),
        )

    def _wanted(self, service: str, count: int) -> workload.Work:
        """Returns the target size of each pool, in engines.

        While engines are idle, short and interactive prompts get somewhat more
        engines than they need: prompts in close succession delay streams even
        on an engine that is not fully utilized. Batch prompts get the rest for
        their prefix cache.
        """
        # The decaying sums start at zero: until they have converged, they cover
        # less than the time constant.
        age_ms = self._meter(service).age_ms
        span_ms = workload.MEMORY_MS * (
            1.0 - math.exp(-age_ms / workload.MEMORY_MS)
        )
        engine_work = span_ms * prefill.TOKENS_PER_MS
        needs = [
            work / engine_work / UTILIZATION[kind]
            for kind, work in zip(
                prompt_kinds.PromptKind, self._total_work(service), strict=True
            )
        ]
        scale = count / max(pool_sizes.MIN_NEED, sum(needs))
        scale = min(max(1.0, scale), MAX_IDLE_SCALE)
        return tuple(need * scale for need in needs)

    def _fresh_peers(self) -> list[_PeerWork]:
        oldest = self._clock.now() - workload.MEMORY_MS
        return [peer for peer in self._peers.values() if peer.at_ms >= oldest]

    def _total_work(self, service: str) -> workload.Work:
        """Returns the workload of all VMs."""
        told = [self._meter(service).sums()]
        for peer in self._fresh_peers():
            told.append(peer.work.get(service, workload.NO_WORK))
        return tuple(sum(values) for values in zip(*told, strict=True))
