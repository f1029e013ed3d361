"""Keeps long prompts away from the engines that serve short ones.

An engine reads prompts between the tokens of its running requests, so a long
prompt delays every stream beside it. Each service's engines are split into a
pool for short prompts and one for long prompts, in proportion to the work that
the traffic of late brought.
"""

import dataclasses
import math

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import requests
from hornbeampier.routing import table

# Routes with prompts up to this mean size count as short.
SHORT_MEAN_TOKENS = 4_096
# A longer prompt counts as long whatever its route.
MAX_SHORT_TOKENS = 8_192
# Weight of the newest prompt in a route's mean.
MEAN_WEIGHT = 0.1
# Work of a generated token, in prompt tokens.
OUTPUT_TOKEN_WORK = 3.0
# Time constant of the average over past work.
MEMORY_MS = 6_000.0
# Share of its time that an engine of the pool for short prompts may read.
SHORT_UTILIZATION = 0.35
# The same for the pool of long prompts.
LONG_UTILIZATION = 0.35
# Share of the engines for short prompts until both kinds were seen.
INITIAL_SHORT_SHARE = 0.2
# Time after the first request for which that share stays.
INITIAL_MS = 2_000.0
# Prompt tokens that an engine reads in a millisecond.
PREFILL_TOKENS_PER_MS = 50.0
# Engines that the pool for short prompts must lack to grow, and have beyond its
# need to shrink: an engine that changes pools is of no use to the prompts whose
# parts it keeps.
GROW_AT = 0.15
SHRINK_AT = 1.1


@dataclasses.dataclass
class Work:
    """Decaying sums of the work that arrived, in prompt tokens.

    Attributes:
        at_ms: When the sums were last decayed.
        first_ms: When the first request arrived.
    """

    short: float = 0.0
    long: float = 0.0
    at_ms: float = 0.0
    first_ms: float | None = None

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the first request."""
        return 0.0 if self.first_ms is None else now_ms - self.first_ms

    def decay(self, now_ms: float) -> None:
        """Decays past work."""
        factor = math.exp((self.at_ms - now_ms) / MEMORY_MS)
        self.short *= factor
        self.long *= factor
        self.at_ms = now_ms


class Pools:
    """Splits the engines of each service by the length of prompts."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._work: dict[str, Work] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._mean_tokens: dict[str, float] = {}
        self._sizes: dict[str, int] = {}
        self._log = structlog.get_logger(task="pools")

    def record(self, req: requests.Request, prefill_tokens: float) -> None:
        """Counts the work of a request that was sent to an engine."""
        self._record_size(req)
        work = self._work_of(req.service)
        generated = OUTPUT_TOKEN_WORK * req.prompt.output_tokens
        amount = prefill_tokens + generated
        if work.first_ms is None:
            work.first_ms = work.at_ms
        if self.is_short(req):
            work.short += amount
        else:
            work.long += amount

    def own_work(self) -> dict[str, tuple[float, float]]:
        """Returns short and long work of late by service."""
        return {
            service: (round(work.short), round(work.long))
            for service, work in self._work.items()
        }

    def record_peer(
        self, vm: str, work: dict[str, tuple[float, float]]
    ) -> None:
        """Takes over the work that a peer saw."""
        now_ms = self._clock.now()
        self._peers[vm] = _PeerWork(now_ms, work)
        for name, peer in list(self._peers.items()):
            if peer.at_ms < now_ms - MEMORY_MS:
                del self._peers[name]

    def split(
        self, req: requests.Request, states: list[fleet.EndpointState]
    ) -> tuple[list[fleet.EndpointState], list[fleet.EndpointState]]:
        """Returns the engines of the request's pool, and the others."""
        size = self._short_size(req.service, len(states))
        ranked = sorted(states, key=lambda s: table.uniform(f"pool/{s.id}"))
        short, long = ranked[:size], ranked[size:]
        return (short, long) if self.is_short(req) else (long, short)

    def may_leave(self, req: requests.Request) -> bool:
        """Whether the request may use the other pool when its own is full."""
        return self.is_short(req)

    def is_short(self, req: requests.Request) -> bool:
        """Whether a prompt is of a kind that does not delay others."""
        size = req.prompt.input_tokens
        mean = self._mean_tokens.get(req.route.name, size)
        return mean <= SHORT_MEAN_TOKENS and size <= MAX_SHORT_TOKENS

    def _record_size(self, req: requests.Request) -> None:
        size = req.prompt.input_tokens
        mean = self._mean_tokens.get(req.route.name, size)
        self._mean_tokens[req.route.name] = mean + MEAN_WEIGHT * (size - mean)

    def _work_of(self, service: str) -> Work:
        work = self._work.setdefault(service, Work())
        work.decay(self._clock.now())
        return work

    def _short_size(self, service: str, count: int) -> int:
        """Returns how many of `count` engines serve short prompts."""
        if count < 2:
            return 0
        size = self._sizes.setdefault(
            service, max(1, round(count * INITIAL_SHORT_SHARE))
        )
        wanted = self._wanted_size(service, count)
        if wanted is None or size - SHRINK_AT < wanted <= size + GROW_AT:
            return min(max(1, size), count - 1)
        size = math.ceil(wanted - GROW_AT)
        self._sizes[service] = size
        self._log.info(
            "pool_resized",
            service=service,
            short_endpoints=size,
            endpoints=count,
            wanted=round(wanted, 2),
        )
        return min(max(1, size), count - 1)

    def _wanted_size(self, service: str, count: int) -> float | None:
        """Returns the engines that short prompts need, once it is known."""
        short, long = self._total_work(service)
        age_ms = self._work_of(service).age_ms(self._clock.now())
        if not short or not long or age_ms < INITIAL_MS:
            return None
        # The averages start at zero and reach the rate only with time.
        span_ms = MEMORY_MS * (1.0 - math.exp(-age_ms / MEMORY_MS))
        engine_work = span_ms * PREFILL_TOKENS_PER_MS
        wanted = short / engine_work / SHORT_UTILIZATION
        wanted_long = long / engine_work / LONG_UTILIZATION
        # Scarce engines are shared in proportion.
        return wanted * min(1.0, count / (wanted + wanted_long))

    def _total_work(self, service: str) -> tuple[float, float]:
        """Returns short and long work that all VMs saw."""
        own = self._work_of(service)
        short, long = own.short, own.long
        oldest = self._clock.now() - MEMORY_MS
        for peer in self._peers.values():
            if peer.at_ms >= oldest:
                more_short, more_long = peer.work.get(service, (0.0, 0.0))
                short += more_short
                long += more_long
        return short, long


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerWork:
    """Short and long work by service that a peer told."""

    at_ms: float
    work: dict[str, tuple[float, float]]
