"""Keeps kinds of prompts that disturb each other on different engines.

An engine reads prompts between the tokens of its running requests, so a long
prompt delays every stream beside it and every prompt behind it. The engines of
each service are split into a pool for each kind of prompt, by the work that the
traffic of late brought. Short and interactive prompts need few engines and get
them first; the other long prompts share the rest.
"""

import dataclasses
import math

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import kinds
from hornbeampier.routing import model
from hornbeampier.routing import reading
from hornbeampier.routing import requests

# A step of an engine makes one token for each running request: time of a step,
# and what each request adds to it.
STEP_MS = 5.2
STEP_MS_PER_REQUEST = 0.04
# How much more than they need pools get at the most.
MAX_IDLE_SCALE = 1.3
# Time constant of the average over past work.
MEMORY_MS = 5_000.0
# Share of its time that an engine may work for each kind.
UTILIZATION = {
    kinds.Kind.SHORT: 0.6,
    kinds.Kind.INTERACTIVE: 0.65,
    kinds.Kind.BATCH: 0.65,
}
# Share of the engines that the two kinds may take together.
MAX_SHARE = 0.75
# Share of the engines that each of them gets until the traffic is known.
INITIAL_SHARE = 0.2
# Time after the first request for which that share stays.
INITIAL_MS = 2_000.0
# Engines that a pool must lack to grow, and have beyond its need for a while
# to shrink: an engine that changes pools is of no use to prompts whose parts it
# keeps.
GROW_AT = 0.5
SHRINK_AT = 1.1
SHRINK_AFTER_MS = 4_000.0
# A kind with less need than this shares the engines of the others.
MIN_NEED = 0.1

# Work by kind of prompt, in prompt tokens.
Work = tuple[float, ...]
NO_WORK: Work = (0.0,) * len(kinds.Kind)


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The engines of a request's pool, and those it may move to."""

    own: list[fleet.EndpointState]
    others: list[fleet.EndpointState]


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Engines in the pools of short and interactive prompts."""

    short: int
    interactive: int


class WorkMeter:
    """Decaying sums of the work that arrived for one service."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._sums = list(NO_WORK)
        self._at_ms = clock.now()
        self._first_ms: float | None = None

    @property
    def age_ms(self) -> float:
        """Time since the first request; 0 before it."""
        if self._first_ms is None:
            return 0.0
        return self._clock.now() - self._first_ms

    def add(self, kind: kinds.Kind, tokens: float) -> None:
        """Counts work."""
        self._decay()
        if self._first_ms is None:
            self._first_ms = self._at_ms
        self._sums[kind] += tokens

    def sums(self) -> Work:
        """Returns the sums by kind."""
        self._decay()
        return tuple(self._sums)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._at_ms - now_ms) / MEMORY_MS)
        self._sums = [value * factor for value in self._sums]
        self._at_ms = now_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerWork:
    """Work by service that a peer told."""

    at_ms: float
    work: dict[str, Work]


class PoolSize:
    """The engines of one pool, which follow their need with hysteresis."""

    def __init__(self, clock: clocks.Clock, engines: int):
        self._clock = clock
        self._needed_ms = clock.now()
        self.engines = engines

    def resize(self, wanted: float, is_scarce: bool) -> bool:
        """Follows the need; returns whether the size changed.

        Args:
            wanted: Engines that the pool is to have.
            is_scarce: Whether other pools lack what it does not need.
        """
        now_ms = self._clock.now()
        if wanted > max(MIN_NEED, self.engines - SHRINK_AT):
            self._needed_ms = now_ms
        is_missing = self.engines == 0 and wanted > MIN_NEED
        is_small = is_missing or wanted > self.engines + GROW_AT
        idle_ms = now_ms - self._needed_ms
        is_large = idle_ms >= SHRINK_AFTER_MS or (is_scarce and idle_ms > 0)
        if not is_small and not (is_large and self.engines):
            return False
        fewest = 1 if wanted > MIN_NEED else 0
        self.engines = max(fewest, math.ceil(wanted - GROW_AT))
        self._needed_ms = now_ms
        return True


class _ServicePools:
    """The pools of short and interactive prompts of one service."""

    def __init__(self, clock: clocks.Clock, count: int):
        initial = max(1, round(count * INITIAL_SHARE))
        self.short = PoolSize(clock, initial)
        self.interactive = PoolSize(clock, initial)

    @property
    def sizes(self) -> Sizes:
        """The engines of both."""
        return Sizes(self.short.engines, self.interactive.engines)

    def resize(self, wanted: Work, count: int) -> bool:
        """Follows the needs; returns whether a size changed."""
        is_scarce = sum(wanted) > count + GROW_AT
        changed = [
            self.short.resize(wanted[kinds.Kind.SHORT], is_scarce),
            self.interactive.resize(wanted[kinds.Kind.INTERACTIVE], is_scarce),
        ]
        return any(changed)


class Pools:
    """Splits the engines of each service by the kind of prompt."""

    def __init__(self, found_kinds: kinds.Kinds, clock: clocks.Clock):
        self._clock = clock
        self._kinds = found_kinds
        self._work: dict[str, WorkMeter] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._sizes: dict[str, _ServicePools] = {}
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
        token_ms = STEP_MS / max(1, slots) + STEP_MS_PER_REQUEST
        output_ms = token_ms * _expected_output(req.prompt)
        self._meter(req.service).add(
            self._kinds.kind_of(req),
            prefill_tokens + output_ms * reading.TOKENS_PER_MS,
        )

    def own_work(self) -> dict[str, Work]:
        """Returns the work of late by service."""
        return {
            service: tuple(round(value) for value in meter.sums())
            for service, meter in self._work.items()
        }

    def record_peer(self, vm: str, work: dict[str, Work]) -> None:
        """Takes over the work that a peer saw."""
        now_ms = self._clock.now()
        self._peers[vm] = _PeerWork(now_ms, work)
        for name, peer in list(self._peers.items()):
            if peer.at_ms < now_ms - MEMORY_MS:
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

    def _meter(self, service: str) -> WorkMeter:
        if service not in self._work:
            self._work[service] = WorkMeter(self._clock)
        return self._work[service]

    def _resize(self, service: str, count: int) -> Sizes:
        """Returns the sizes of the pools of `count` engines."""
        pools = self._sizes.get(service)
        if pools is None:
            pools = self._sizes[service] = _ServicePools(self._clock, count)
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
        return _bounded(pools.sizes, count)

    def _wanted(self, service: str, count: int) -> Work:
        """Returns the engines that each kind is to have.

        While engines are idle, the two urgent kinds get a little more than they
        need, as prompts that follow each other delay streams even where an
        engine has time for all. The others get the rest, to keep their parts.
        """
        # The averages start at zero and reach the rate only with time.
        age_ms = self._meter(service).age_ms
        span_ms = MEMORY_MS * (1.0 - math.exp(-age_ms / MEMORY_MS))
        engine_work = span_ms * reading.TOKENS_PER_MS
        needs = [
            work / engine_work / UTILIZATION[kind]
            for kind, work in zip(
                kinds.Kind, self._total_work(service), strict=True
            )
        ]
        scale = count / max(MIN_NEED, sum(needs))
        scale = min(max(1.0, scale), MAX_IDLE_SCALE)
        return tuple(need * scale for need in needs)

    def _total_work(self, service: str) -> Work:
        """Returns the work that all VMs saw."""
        told = [self._meter(service).sums()]
        oldest = self._clock.now() - MEMORY_MS
        for peer in self._peers.values():
            if peer.at_ms >= oldest:
                told.append(peer.work.get(service, NO_WORK))
        return tuple(sum(values) for values in zip(*told, strict=True))


def _expected_output(prompt: model.Prompt) -> float:
    """Returns the caller's estimate of the output, or half of the most."""
    if prompt.expected_tokens is not None:
        return min(prompt.expected_tokens, prompt.output_tokens)
    return prompt.output_tokens / 2


def _bounded(sizes: Sizes, count: int) -> Sizes:
    """Returns sizes that leave some engines to the other long prompts."""
    most = min(count - 1, math.ceil(count * MAX_SHARE))
    total = sizes.short + sizes.interactive
    if total <= most:
        return sizes
    short = min(sizes.short, math.ceil(most * sizes.short / total))
    return Sizes(short, most - short)
