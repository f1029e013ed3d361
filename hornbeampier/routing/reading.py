"""How much of its time each engine reads prompts.

While an engine reads, its running streams get one token for each chunk of a
prompt, several times more slowly than otherwise. An engine that reads all the
time answers new prompts in time and lets the streams reach their deadlines.
"""

import dataclasses
import math

from hornbeampier import clock as clocks

# Time constant of the average.
MEMORY_MS = 2_000.0
# Prompt tokens that an engine reads in a millisecond.
TOKENS_PER_MS = 50.0


@dataclasses.dataclass(slots=True)
class _Sum:
    tokens: float
    at_ms: float


class ReadingMeter:
    """Averages the prompt tokens that all VMs sent to each engine."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._sums: dict[str, _Sum] = {}
        self._own: dict[str, int] = {}

    def record(self, endpoint_id: str, tokens: float) -> None:
        """Counts tokens that this VM sends to an engine."""
        self._add(endpoint_id, tokens)
        self._own[endpoint_id] = self._own.get(endpoint_id, 0) + round(tokens)

    def record_peer(self, endpoint_id: str, tokens: float) -> None:
        """Counts tokens that a peer sent to an engine."""
        self._add(endpoint_id, tokens)

    def take(self) -> dict[str, int]:
        """Returns what this VM sent since the last call, by endpoint id."""
        taken, self._own = self._own, {}
        return taken

    def share(self, endpoint_id: str) -> float:
        """Returns the part of its time that an engine reads; 1 is all of it."""
        found = self._sums.get(endpoint_id)
        if found is None:
            return 0.0
        self._decay(found)
        return found.tokens / (TOKENS_PER_MS * MEMORY_MS)

    def _add(self, endpoint_id: str, tokens: float) -> None:
        found = self._sums.get(endpoint_id)
        if found is None:
            found = self._sums[endpoint_id] = _Sum(0.0, self._clock.now())
        self._decay(found)
        found.tokens += tokens

    def _decay(self, found: _Sum) -> None:
        now_ms = self._clock.now()
        found.tokens *= math.exp((found.at_ms - now_ms) / MEMORY_MS)
        found.at_ms = now_ms
