"""Keeps long prompts away from the engines that serve short ones.

An engine reads prompts between the tokens of its running requests, so a long
prompt delays every stream beside it. Each service's engines are split into a
pool for short prompts and one for long prompts, in proportion to the work that
the traffic of late brought.
"""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import fleet
from hornbeampier.routing import requests
from hornbeampier.routing import table

# Prompts up to one prefill chunk count as short.
SHORT_PROMPT_TOKENS = 2_048
# Work of a generated token, in prompt tokens.
OUTPUT_TOKEN_WORK = 20.0
# Time constant of the average over past work.
MEMORY_MS = 10_000.0
# Room that the pool of short prompts keeps for bursts.
SHORT_HEADROOM = 1.5
# A change of less than this part of an engine moves none.
HYSTERESIS = 0.3


@dataclasses.dataclass
class Work:
    """Decaying averages of the work that arrived, in prompt tokens."""

    short: float = 0.0
    long: float = 0.0
    at_ms: float = 0.0

    def decay(self, now_ms: float) -> None:
        """Lets past work fade."""
        factor = math.exp((self.at_ms - now_ms) / MEMORY_MS)
        self.short *= factor
        self.long *= factor
        self.at_ms = now_ms


class Pools:
    """Splits the engines of each service by the length of prompts."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._work: dict[str, Work] = {}
        self._sizes: dict[str, int] = {}

    def record(self, req: requests.Request) -> None:
        """Counts the work of a request that arrived."""
        work = self._work_of(req.service)
        amount = (
            req.prompt.parts[-1].tokens if req.prompt.parts else 0.0
        ) + OUTPUT_TOKEN_WORK * req.prompt.expected_tokens
        if is_short(req):
            work.short += amount
        else:
            work.long += amount

    def split(
        self, req: requests.Request, states: list[fleet.EndpointState]
    ) -> tuple[list[fleet.EndpointState], list[fleet.EndpointState]]:
        """Returns the engines of the request's pool, and the others."""
        size = self._short_size(req.service, len(states))
        ranked = sorted(states, key=lambda s: table.uniform(f"pool/{s.id}"))
        short, long = ranked[:size], ranked[size:]
        return (short, long) if is_short(req) else (long, short)

    def may_leave(self, req: requests.Request) -> bool:
        """Whether the request may use the other pool when its own is full."""
        return is_short(req)

    def _work_of(self, service: str) -> Work:
        work = self._work.setdefault(service, Work())
        work.decay(self._clock.now())
        return work

    def _short_size(self, service: str, count: int) -> int:
        """Returns how many engines serve short prompts."""
        work = self._work_of(service)
        if not work.short or count < 2:
            return 0
        if not work.long:
            return count
        wanted = (
            count
            * SHORT_HEADROOM
            * work.short
            / (SHORT_HEADROOM * work.short + work.long)
        )
        size = self._sizes.get(service)
        if size is None or abs(wanted - size) > 0.5 + HYSTERESIS:
            size = round(wanted)
            self._sizes[service] = size
        return min(max(1, size), count - 1)


def is_short(req: requests.Request) -> bool:
    """Whether a prompt is short enough not to delay others."""
    return req.prompt.input_tokens <= SHORT_PROMPT_TOKENS
