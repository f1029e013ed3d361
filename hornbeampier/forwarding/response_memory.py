"""The memory of what an endpoint sends until it can be passed on.

Small responses and events are not counted. A large one is read on once the
process can hold it.
"""

from collections.abc import Iterator

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier import response_room
from hornbeampier import verdict
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import stalls
from hornbeampier.http1 import server

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024


class ResponseMemory:
    """The memory of one response, as a context manager.

    In the context, `StalledResponseError` becomes the failure of the attempt.
    """

    def __init__(
        self,
        caller: server.ServerConnection,
        attempt: endpoint_attempt.EndpointAttempt,
        deadline_ms: float,
        clock: clocks.Clock,
    ):
        """Creates it.

        Args:
            caller: The connection for which the response is held.
            attempt: The attempt whose head has arrived.
            deadline_ms: How long to wait for room, on the monotonic clock.
            clock: The clock.
        """
        self._attempt = attempt
        self._deadline_ms = deadline_ms
        self._clock = clock
        self._reading = caller.read_response()
        # Whether an event is held that counts.
        self._holds_event = False

    def __enter__(self) -> "ResponseMemory":
        self._reading.__enter__()
        return self

    def __exit__(self, exc_type, exc, traceback) -> None:
        self._reading.__exit__(exc_type, exc, traceback)
        if isinstance(exc, response_room.StalledResponseError):
            raise errors.AttemptError(
                "the endpoint has stalled, and others need the memory",
                verdict.Verdict.MAY_HAVE_RUN,
            ) from exc

    def blocks(self, watch: stalls.StallWatch | None = None) -> Iterator[bytes]:
        """Yields the blocks of the body; see `EndpointAttempt.blocks`."""
        return self._reading.blocks(self._attempt.blocks(watch))

    def hold_body(self, size: int) -> None:
        """Holds a body of which `size` bytes have arrived.

        Raises:
            errors.AttemptError: It is too large, or there is no room for it.
        """
        if size > MAX_BUFFERED_BYTES:
            raise errors.AttemptError(
                "the response exceeds the size limit of buffered responses",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        if size <= memory_budget.SMALL_BODY_BYTES:
            return
        length = self._attempt.head.length
        if not length and size <= memory_budget.UNKNOWN_LENGTH_BYTES:
            length = memory_budget.UNKNOWN_LENGTH_BYTES
        self._reserve(min(length or MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES))

    def hold_event(self, size: int) -> None:
        """Holds `size` bytes of an event that is not complete, or none.

        Raises:
            errors.AttemptError: It is too large, or there is no room for it.
        """
        if size > MAX_EVENT_BYTES:
            raise self._attempt.reject(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        if size > memory_budget.SMALL_BODY_BYTES:
            self._reserve(MAX_EVENT_BYTES)
            self._holds_event = True
        elif self._holds_event:
            self._reading.release()
            self._holds_event = False

    def _reserve(self, size: int) -> None:
        timeout_ms = max(0.0, self._deadline_ms - self._clock.now())
        try:
            self._reading.reserve(size, timeout_ms)
        except TimeoutError as exc:
            raise errors.AttemptError(
                "this VM has no room for the response",
                verdict.Verdict.MAY_HAVE_RUN,
            ) from exc
