"""Estimates which fraction of its time each engine spends on prefill.

During chunked prefill, an engine generates only one token per prompt chunk for
each running stream, which is several times slower than decode alone. An engine
that prefills all the time starts new streams on time, but the running ones miss
their deadlines.
"""

import dataclasses
import math

from hornbeampier import clock as clocks

# Decay time constant of the sums.
DECAY_TIME_MS = 2_000.0
# A smaller sum is as good as none.
MIN_TOKENS = 1.0


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    tokens: float
    updated_ms: float


class PrefillMeter:
    """Decaying sums of the prompt tokens that all VMs sent to each engine."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._sums: dict[str, _DecayingSum] = {}
        self._unreported: dict[str, int] = {}

    def record(self, endpoint_id: str, tokens: float) -> None:
        """Adds tokens that this VM sends to an engine."""
        self._add(endpoint_id, tokens)
        self._unreported[endpoint_id] = self._unreported.get(
            endpoint_id, 0
        ) + round(tokens)

    def record_peer(self, endpoint_id: str, tokens: float) -> None:
        """Adds tokens that a peer sent to an engine."""
        self._add(endpoint_id, tokens)

    def take_unreported(self) -> dict[str, int]:
        """Returns the tokens that this VM sent since the last call.

        They are keyed by endpoint id.
        """
        tokens, self._unreported = self._unreported, {}
        return tokens

    def utilization(self, endpoint_id: str, tokens_per_ms: float) -> float:
        """Returns the fraction of time that an engine spends on prefill.

        It exceeds 1 if prompts arrive faster than the engine can prefill them.

        Args:
            endpoint_id: The engine.
            tokens_per_ms: Its prefill rate.
        """
        total = self._sums.get(endpoint_id)
        if total is None:
            return 0.0
        self._decay(total)
        return total.tokens / (tokens_per_ms * DECAY_TIME_MS)

    def expire(self) -> None:
        """Forgets engines that got no prompts for a long time."""
        for endpoint_id, total in list(self._sums.items()):
            self._decay(total)
            if total.tokens < MIN_TOKENS:
                del self._sums[endpoint_id]

    def _add(self, endpoint_id: str, tokens: float) -> None:
        total = self._sums.get(endpoint_id)
        if total is None:
            total = self._sums[endpoint_id] = _DecayingSum(
                0.0, self._clock.now()
            )
        self._decay(total)
        total.tokens += tokens

    def _decay(self, total: _DecayingSum) -> None:
        now_ms = self._clock.now()
        total.tokens *= math.exp((total.updated_ms - now_ms) / DECAY_TIME_MS)
        total.updated_ms = now_ms
