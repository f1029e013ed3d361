"""A token bucket: a rate limit that allows bursts."""

import math

from hornbeampier import clock as clocks


class TokenBucket:
    """Tokens that are added at a rate, up to a capacity; it starts full."""

    def __init__(self, rate_per_s: float, capacity: float, clock: clocks.Clock):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._refilled_ms = clock.now()

    def resize(self, rate_per_s: float, capacity: float) -> None:
        """Changes rate and capacity; tokens above the capacity are lost."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def try_take(self) -> bool:
        """Takes a token if there is one; returns whether it did."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def ms_until_token(self) -> float:
        """Returns the time until a token can be taken; infinite at rate 0."""
        self._refill()
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        if not self._rate_per_s:
            return math.inf
        return missing / self._rate_per_s * clocks.MS_PER_SECOND

    def _refill(self) -> None:
        now_ms = self._clock.now()
        added = (now_ms - self._refilled_ms) / clocks.MS_PER_SECOND
        added *= self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + added)
        self._refilled_ms = now_ms
