"""Which requests a VM still takes while it shuts down.

A request that may not end before the VM stops is refused while that is
harmless: before it is sent to an endpoint. To refuse all would cost callers
their retries for requests that usually end in time.
"""

import collections
import math

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.routing import requests

# Number of the latest durations of a route's requests that are kept.
MAX_DURATIONS = 16
# Number of routes of which durations are kept.
MAX_ROUTES = 1_000


class RouteDurations:
    """How long the latest requests of each route took."""

    def __init__(self):
        self._durations_ms: dict[str, collections.deque[float]] = {}

    def record(self, route: str, duration_ms: float) -> None:
        """Records the time from a request's head to the end of its response."""
        if route not in self._durations_ms:
            if len(self._durations_ms) >= MAX_ROUTES:
                del self._durations_ms[next(iter(self._durations_ms))]
            self._durations_ms[route] = collections.deque(maxlen=MAX_DURATIONS)
        self._durations_ms[route].append(duration_ms)

    def median_ms(self, route: str) -> float:
        """Returns the median duration; zero if none is known."""
        ordered = sorted(self._durations_ms.get(route, ()))
        return ordered[len(ordered) // 2] if ordered else 0.0

    def longest_ms(self, route: str) -> float:
        """Returns the longest duration; zero if none is known."""
        return max(self._durations_ms.get(route, ()), default=0.0)


class LateRequests:
    """Refuses requests that may not end before this VM stops.

    Attributes:
        durations: How long requests took.
        latest_deadline_ms: Requests with a later deadline are refused, because
            the VM stops at that time; None unless it is about to stop.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._end_ms = math.inf
        self.durations = RouteDurations()
        self.latest_deadline_ms: float | None = None

    def begin(self, end_ms: float) -> None:
        """Records that this VM ends open requests at `end_ms`."""
        self._end_ms = end_ms

    def check(self, req: requests.Request) -> None:
        """Raises errors.RefusalError if a request may not end in time."""
        if req.deadline_ms <= self._end_ms:
            return
        latest_ms = self.latest_deadline_ms
        is_late = latest_ms is not None and req.deadline_ms > latest_ms
        if is_late or self._clock.now() + self._usual_ms(req) > self._end_ms:
            raise make_refusal()

    def _usual_ms(self, req: requests.Request) -> float:
        """Returns how long a request takes; longer if it cannot be repeated."""
        if req.route.idempotent:
            return self.durations.median_ms(req.route.name)
        return self.durations.longest_ms(req.route.name)


def make_refusal() -> errors.RefusalError:
    """Returns the refusal of a request that was not sent to an endpoint."""
    return errors.RefusalError(
        503,
        errors.RefusalCode.DRAINING,
        "this VM is shutting down",
        retry_after_ms=0.0,
    )
