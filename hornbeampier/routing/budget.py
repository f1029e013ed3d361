"""A budget for attempts beyond the first, shared evenly by all VMs."""

import collections
from collections.abc import Callable

from hornbeampier import clock as clocks

# What is used of the budget, since VMs see uneven shares of the traffic.
SAFETY = 0.7


class RetryBudget:
    """Bounds the repeated attempts at each service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: float,
        vms: Callable[[], int],
        clock: clocks.Clock,
    ):
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._vms = vms
        self._clock = clock
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._recent(self._requests, service).append(self._clock.now())

    def take(self, service: str) -> bool:
        """Counts a repeated attempt and returns whether it may be made."""
        requests = len(self._recent(self._requests, service))
        repeats = self._recent(self._repeats, service)
        allowed = SAFETY * (
            self._ratio * requests + self._extra / max(1, self._vms())
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._clock.now())
        return True

    def _recent(
        self, times: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        found = times.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._window_ms
        while found and found[0] < oldest:
            found.popleft()
        return found
