"""The retry budget, of which each VM uses a part."""

import collections
from collections.abc import Callable

from hornbeampier import clock as clocks

# Fraction of its part of the budget that each VM uses. The rest is a margin for
# traffic that is spread unevenly over the VMs.
SAFETY_FACTOR = 0.7


class RetryBudget:
    """Limits the retries to each service within a sliding window.

    All VMs together may make up to `ratio` retries per request and `extra` more
    in each window. Each VM applies `ratio` to its own requests, and `extra` is
    divided evenly among the VMs.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: float,
        vm_count: Callable[[], int],
        clock: clocks.Clock,
    ):
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._vm_count = vm_count
        self._clock = clock
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Counts a caller's request, whose retries the budget then covers."""
        self._recent(self._requests, service).append(self._clock.now())

    def try_acquire(self, service: str) -> bool:
        """Returns whether a retry is allowed, and if so counts it."""
        requests = len(self._recent(self._requests, service))
        retries = self._recent(self._retries, service)
        allowed = SAFETY_FACTOR * (
            self._ratio * requests + self._extra / max(1, self._vm_count())
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock.now())
        return True

    def _recent(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        oldest_ms = self._clock.now() - self._window_ms
        while recent and recent[0] < oldest_ms:
            recent.popleft()
        return recent
