"""Passes responses on to callers, as streams of events or buffered."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import response_memory
from hornbeampier.forwarding import sse
from hornbeampier.forwarding import stalls
from hornbeampier.forwarding import stream_parts
from hornbeampier.http1 import server
from hornbeampier.platform import headers

# Events that follow each other faster were delayed together on their way.
MIN_EVENT_DELAY_MS = 1.0
# Number of inter-event delays from which a quantile is taken. A fixed number
# makes long and short streams comparable.
DELAY_SAMPLE_COUNT = 32
# Number of successive delays whose mean is taken before the quantile: TCP may
# send events in pairs.
DELAY_GROUP_SIZE = 4
EVENT_DELAY_QUANTILE = 0.25


class InterruptedStreamError(Exception):
    """A response that the caller has received in part cannot be completed."""


class StreamRelay:
    """One stream to a caller, fed by one or more endpoints.

    Attributes:
        first_event_ms: When the first event was passed on, on the monotonic
            clock, or None.
        longest_delay_ms: The longest inter-event delay.
        shortest_delay_ms: The shortest inter-event delay that is at least
            MIN_EVENT_DELAY_MS; infinite without one.
        started: Whether the head of the response has been sent to the caller.
        events: Number of events passed on.
    """

    def __init__(
        self,
        caller: server.ServerConnection,
        clock: clocks.Clock,
        on_begin: Callable[[endpoint_attempt.EndpointAttempt], None],
        after: str = "",
    ):
        """Creates a relay.

        Args:
            caller: The connection to the caller.
            clock: The clock.
            on_begin: Called with the attempt that begins the stream, before its
                first event is passed on.
            after: Id of the last event that the caller had before.
        """
        self._caller = caller
        self._clock = clock
        self._on_begin = on_begin
        self.first_event_ms: float | None = None
        self.longest_delay_ms = 0.0
        self.shortest_delay_ms = math.inf
        self._delays_ms: list[float] = []
        self._last_event_ms = 0.0
        self.started = False
        self.events = 0
        self._ids = stream_parts.EventIds(after)

    def relay(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        on_block: Callable[[], None],
        watch: stalls.StallWatch,
    ) -> None:
        """Passes on the events of one endpoint as they arrive.

        The head is sent with the first event, so that the caller can still get
        another status if the attempt fails before. `on_block` is called for
        each block of the body.

        Raises:
            errors.AttemptError: The stream was interrupted or has stalled, or
                the response is no part of it.
        """
        if self.started:
            stream_parts.check_continuation(attempt.head)
        part = stream_parts.StreamPart(self._ids, self.started)
        splitter = sse.EventSplitter()
        with response_memory.ResponseMemory(
            self._caller, attempt, attempt.deadline_ms, self._clock
        ) as memory:
            for block in memory.blocks(watch):
                on_block()
                self._pass_on(attempt, part, splitter.feed(block), watch)
                memory.hold_event(len(splitter.incomplete))
            if splitter.incomplete:
                raise errors.AttemptError(
                    "the endpoint's stream ended in the middle of an event",
                    verdict.Verdict.MAY_HAVE_RUN,
                    connection_lost=True,
                )
        part.check_end(attempt.head, attempt.has_framing)

    def end(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        """Completes the response to the caller, also one without events."""
        if not self.started:
            self._write(attempt, b"")
        self._caller.end_response()

    @property
    def event_delay_ms(self) -> float | None:
        """A low quantile of the first inter-event delays; None if too few."""
        size = DELAY_GROUP_SIZE
        groups = [
            self._delays_ms[start : start + size]
            for start in range(0, len(self._delays_ms) - size + 1, size)
        ]
        means_ms = [sum(group) / size for group in groups]
        ordered = sorted(ms for ms in means_ms if ms >= MIN_EVENT_DELAY_MS)
        if not ordered:
            return None
        return ordered[int(EVENT_DELAY_QUANTILE * len(ordered))]

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event passed on, or that the caller had before."""
        return self._ids.last or None

    def _pass_on(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        part: stream_parts.StreamPart,
        events: Iterable[sse.Event],
        watch: stalls.StallWatch,
    ) -> None:
        """Writes the events up to one that is not part of the stream."""
        accepted = []
        try:
            for event in events:
                if part.accept(event):
                    self._record_delay()
                    self.events += 1
                    accepted.append(event.data)
        finally:
            if accepted:
                watch.on_event()
                self._write(attempt, b"".join(accepted))

    def _record_delay(self) -> None:
        now_ms = self._clock.now()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            delay_ms = now_ms - self._last_event_ms
            self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
            if delay_ms >= MIN_EVENT_DELAY_MS:
                self.shortest_delay_ms = min(self.shortest_delay_ms, delay_ms)
            if len(self._delays_ms) < DELAY_SAMPLE_COUNT:
                self._delays_ms.append(delay_ms)
        self._last_event_ms = now_ms

    def _write(
        self, attempt: endpoint_attempt.EndpointAttempt, data: bytes
    ) -> None:
        if self.started:
            self._caller.write_body(data)
            return
        self.started = True
        self._on_begin(attempt)
        self._caller.start_response(
            attempt.fields.status,
            [
                *headers.response_headers_to_forward(attempt.head),
                (b"Transfer-Encoding", b"chunked"),
            ],
            data,
        )


def read_buffered(
    attempt: endpoint_attempt.EndpointAttempt,
    caller: server.ServerConnection,
    deadline_ms: float,
    clock: clocks.Clock,
) -> endpoint_attempt.BufferedResponse:
    """Returns the response after its last byte has arrived.

    A large one is read once the process can hold it.

    Args:
        attempt: The attempt whose head has arrived.
        caller: The connection for which the response is held.
        deadline_ms: How long to wait for room, on the monotonic clock.
        clock: The clock.

    Raises:
        errors.AttemptError: It was interrupted, is too large, or there was no
            room for it.
    """
    # One buffer: many blocks would leave the memory of the process in pieces.
    body = bytearray()
    with response_memory.ResponseMemory(
        caller, attempt, deadline_ms, clock
    ) as memory:
        for block in memory.blocks():
            memory.hold_body(len(body) + len(block))
            body += block
    response_headers = headers.response_headers_to_forward(attempt.head)
    # A response to HEAD declares the length of a body that does not follow.
    length = len(body) or attempt.head.length or 0
    response_headers.append((b"Content-Length", b"%d" % length))
    return endpoint_attempt.BufferedResponse(
        attempt.fields.status, response_headers, body
    )
