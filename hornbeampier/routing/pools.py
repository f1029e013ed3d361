"""Keeps kinds of prompts that disturb each other on different engines.

An engine reads prompts between the tokens of its running requests, so a long
prompt delays every stream beside it and every prompt behind it. The engines of
each service are split into a pool for each kind of prompt, by the work that the
traffic of late brought. Short and interactive prompts need few engines and get
them first; the other long prompts share the rest.
"""

import dataclasses
import math
import statistics

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import kinds
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import reading
from hornbeampier.routing import requests
from hornbeampier.routing import workload

# Time after the first request for which pools keep their initial sizes.
INITIAL_MS = 2_000.0
# How much more than they need pools get at the most.
MAX_IDLE_SCALE = 1.3
# Share of its time that an engine may work for each kind. Streams of short
# prompts allow the shortest pauses.
UTILIZATION = {
    kinds.Kind.SHORT: 0.4,
    kinds.Kind.INTERACTIVE: 0.65,
    kinds.Kind.BATCH: 0.65,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The engines of a request's pool, and those it may move to."""

    own: list[fleet.EndpointState]
    others: list[fleet.EndpointState]


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerWork:
    """Work and sizes of pools by service that a peer told."""

    at_ms: float
    work: dict[str, workload.Work]
    sizes: dict[str, pool_sizes.Sizes]


class Pools:
    """Splits the engines of each service by the kind of prompt."""

    def __init__(self, found_kinds: kinds.Kinds, clock: clocks.Clock):
        self._clock = clock
        self._kinds = found_kinds
        self._work: dict[str, workload.WorkMeter] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._sizes: dict[str, pool_sizes.ServicePools] = {}
        self._log = structlog.get_logger(task="pools")

    def record(
        self, req: requests.Request, prefill_tokens: float, slots: int
    ) -> None:
        """Counts the work of a request that was sent to an engine.

        Args:
            req: The request.
            prefill_tokens: Prompt tokens that the engine has to read.
            slots: Requests that it runs at once.
        """
        self._kinds.record(req)
        self._meter(req.service).add(
            self._kinds.kind_of(req),
            workload.of_prompt(req.prompt, prefill_tokens, slots),
        )

    def own_work(self) -> dict[str, workload.Work]:
        """Returns the work of late by service."""
        return {
            service: tuple(round(value) for value in meter.sums())
            for service, meter in self._work.items()
        }

    def own_sizes(self) -> dict[str, pool_sizes.Sizes]:
        """Returns the sizes that this VM would choose, by service."""
        return {service: found.sizes for service, found in self._sizes.items()}

    def record_peer(
        self,
        vm: str,
        work: dict[str, workload.Work],
        sizes: dict[str, pool_sizes.Sizes],
    ) -> None:
        """Takes over the work that a peer saw and the sizes it would choose."""
        now_ms = self._clock.now()
        self._peers[vm] = _PeerWork(now_ms, work, sizes)
        for name, peer in list(self._peers.items()):
            if peer.at_ms < now_ms - workload.MEMORY_MS:
                del self._peers[name]

    def split(
        self, req: requests.Request, states: list[fleet.EndpointState]
    ) -> Split:
        """Returns the engines of the request's pool and of the next ones.

        Long prompts never move to the engines of short ones.
        """
        sizes = self._resize(req.service, len(states))
        ranked = sorted(states, key=lambda state: state.rank)
        end = len(ranked) - sizes.interactive
        short = ranked[: sizes.short]
        batch = ranked[sizes.short : end]
        interactive = ranked[end:]
        match self._kinds.kind_of(req):
            case kinds.Kind.SHORT:
                found = Split(short, interactive + batch)
            case kinds.Kind.INTERACTIVE:
                found = Split(interactive or batch, batch)
            case _:
                found = Split(batch, interactive)
        return found if found.own else Split(states, [])

    def _meter(self, service: str) -> workload.WorkMeter:
        if service not in self._work:
            self._work[service] = workload.WorkMeter(self._clock)
        return self._work[service]

    def _resize(self, service: str, count: int) -> pool_sizes.Sizes:
        """Returns the sizes of the pools of `count` engines."""
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
        """Returns the medians over all VMs.

        Otherwise VMs whose sizes differ for as long as the need lies between
        both would send different kinds to the same engines.
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
        """Returns the engines that each kind is to have.

        While engines are idle, the two urgent kinds get a little more than they
        need, as prompts that follow each other delay streams even where an
        engine has time for all. The others get the rest, to keep their parts.
        """
        # The averages start at zero and reach the rate only with time.
        age_ms = self._meter(service).age_ms
        span_ms = workload.MEMORY_MS * (
            1.0 - math.exp(-age_ms / workload.MEMORY_MS)
        )
        engine_work = span_ms * reading.TOKENS_PER_MS
        needs = [
            work / engine_work / UTILIZATION[kind]
            for kind, work in zip(
                kinds.Kind, self._total_work(service), strict=True
            )
        ]
        scale = count / max(pool_sizes.MIN_NEED, sum(needs))
        scale = min(max(1.0, scale), MAX_IDLE_SCALE)
        return tuple(need * scale for need in needs)

    def _fresh_peers(self) -> list[_PeerWork]:
        oldest = self._clock.now() - workload.MEMORY_MS
        return [peer for peer in self._peers.values() if peer.at_ms >= oldest]

    def _total_work(self, service: str) -> workload.Work:
        """Returns the work that all VMs saw."""
        told = [self._meter(service).sums()]
        for peer in self._fresh_peers():
            told.append(peer.work.get(service, workload.NO_WORK))
        return tuple(sum(values) for values in zip(*told, strict=True))
