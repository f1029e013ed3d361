"""Finds streams whose endpoint has gone silent, to resume them elsewhere."""

from collections.abc import Callable
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import domain
from hornbeampier.routing import fleet

# A stream is taken for stalled after this multiple of its inter-event target.
STALL_TARGETS = 4.0
MIN_STALL_MS = 1_000.0


class StallWatch:
    """Watches one stream from its first event on.

    An engine may pause a single stream, for example to run a more urgent one.
    So a stream is stalled only if the endpoint has completed no event for any
    stream of this VM; bytes that complete no event do not count.
    """

    def __init__(
        self,
        route: domain.Route,
        state: fleet.EndpointState,
        may_resume: Callable[[], bool],
        clock: clocks.Clock,
    ):
        self._stall_ms = max(
            MIN_STALL_MS, STALL_TARGETS * route.inter_event_target_ms
        )
        self._state = state
        self._may_resume = may_resume
        self._clock = clock
        self._is_active = False

    def on_event(self) -> None:
        """Records a complete event."""
        self._is_active = True
        self._state.event_ms = self._clock.now()

    @property
    def due_ms(self) -> float:
        """When the stream is to be checked, on the monotonic clock."""
        if not self._is_active:
            return math.inf
        return self._state.event_ms + self._stall_ms

    def should_resume(self) -> bool:
        """Whether the stream has stalled and may be resumed elsewhere.

        If it may not, it is not checked again: it goes on until its deadline.
        """
        if self._clock.now() < self.due_ms:
            return False
        if self._may_resume():
            return True
        self._is_active = False
        return False
