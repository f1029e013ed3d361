"""Passes answers on to callers, whole or event by event."""

from collections.abc import Callable

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import sse
from hornbeampier.http1 import server
from hornbeampier.platform import headers

MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class BrokenStreamError(Exception):
    """An answer that had begun cannot be completed."""


class StreamRelay:
    """One stream to a caller, fed by one or more endpoints.

    Attributes:
        started: Whether the caller has the head of the answer.
        last_event_id: Id of the last event passed on, or None.
        events: How many events were passed on.
        first_event_ms: When the first of them was, on the monotonic clock.
        longest_pause_ms: The longest time between two of them.
    """

    def __init__(self, caller: server.ServerConnection, clock: clocks.Clock):
        self._caller = caller
        self._clock = clock
        self.first_event_ms: float | None = None
        self.longest_pause_ms = 0.0
        self._event_at_ms = 0.0
        self.started = False
        self.last_event_id: str | None = None
        self.events = 0

    def relay(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        on_data: Callable[[], None],
    ) -> None:
        """Passes on the events of one endpoint as they arrive.

        The head goes out with the first event, so that an attempt that fails
        before it can still be answered by another status. `on_data` is called
        for each block.

        Raises:
            errors.AttemptError: The stream broke off.
        """
        splitter = sse.EventSplitter()
        for block in attempt.blocks():
            on_data()
            data = b"".join(self._accept(e) for e in splitter.feed(block))
            if data:
                self._write(attempt, data)
        if splitter.rest:
            raise errors.AttemptError(
                "the stream ended within an event",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        if not self.started:
            self._write(attempt, b"")

    def end(self) -> None:
        """Marks the answer as complete."""
        self._caller.end_response()

    def _accept(self, event: sse.Event) -> bytes:
        """Returns the bytes of an event that continues the stream."""
        if event.id:
            if self._is_repeated(event.id):
                return b""
            self.last_event_id = event.id
        self._note_time()
        self.events += 1
        return event.data

    def _note_time(self) -> None:
        now_ms = self._clock.now()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            pause_ms = now_ms - self._event_at_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._event_at_ms = now_ms

    def _is_repeated(self, event_id: str) -> bool:
        last = self.last_event_id
        if last is None or not (event_id.isdecimal() and last.isdecimal()):
            return False
        return int(event_id) <= int(last)

    def _write(
        self, attempt: endpoint_attempt.EndpointAttempt, data: bytes
    ) -> None:
        if self.started:
            self._caller.write_body(data)
            return
        self.started = True
        self._caller.start_response(
            attempt.answer.status,
            [
                *headers.response_headers_to_forward(attempt.head),
                (b"Transfer-Encoding", b"chunked"),
            ],
            data,
        )


def read_whole(
    attempt: endpoint_attempt.EndpointAttempt,
) -> endpoint_attempt.Answer:
    """Returns an answer after its last byte has arrived.

    Raises:
        errors.AttemptError: It was cut short or is too large to hold.
    """
    blocks = []
    size = 0
    for block in attempt.blocks():
        size += len(block)
        if size > MAX_BUFFERED_BYTES:
            raise errors.AttemptError(
                "the answer is too large", verdict.Verdict.MAY_HAVE_RUN
            )
        blocks.append(block)
    body = b"".join(blocks)
    fields = headers.response_headers_to_forward(attempt.head)
    # The answer to HEAD tells the length of a body that does not follow.
    length = len(body) or attempt.head.length or 0
    fields.append((b"Content-Length", b"%d" % length))
    return endpoint_attempt.Answer(attempt.answer.status, fields, body)
