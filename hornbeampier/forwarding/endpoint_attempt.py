"""One attempt to send a request to an endpoint."""

from collections.abc import Iterator
import dataclasses

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import end_check
from hornbeampier.forwarding import process_check
from hornbeampier.forwarding import stalls
from hornbeampier.http1 import client
from hornbeampier.http1 import messages
from hornbeampier.platform import headers
from hornbeampier.platform import names
from hornbeampier.routing import announcements
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import requests

# Added to the deadline when reading the response: the endpoint may respond just
# before the deadline, and the response takes time to arrive.
RESPONSE_SLACK_MS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A response of an endpoint whose body has been read completely."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytearray


class EndpointAttempt:
    """Sends a request to an endpoint and reads the response.

    Attributes:
        fields: The decoded head of the response; None before it is read.
        head: The head as received.
        sent_ms: When the request was sent, on the monotonic clock, or None.
        process: The process that the request was sent to; None if it did not
            tell.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        state: fleet.EndpointState,
        announcements: announcements.Announcements,
        clock: clocks.Clock,
    ):
        self._pool = pool
        self._announcements = announcements
        self._state = state
        self._clock = clock
        self._conn: client.ClientConnection | None = None
        self._deadline_ms = 0.0
        self.fields: headers.ResponseFields | None = None
        self.head: messages.ResponseHead | None = None
        self.sent_ms: float | None = None
        self.process: domain.ProcessId | None = None

    @property
    def endpoint(self) -> domain.Endpoint:
        """The endpoint."""
        return self._state.endpoint

    @property
    def deadline_ms(self) -> float:
        """When the response has to be complete, on the monotonic clock."""
        return self._deadline_ms

    @property
    def has_framing(self) -> bool:
        """Whether more than the end of the connection ended the response."""
        return not self._conn.has_closed

    def open(
        self,
        req: requests.Request,
        last_event_id: str | None = None,
        fetch_from: domain.Endpoint | None = None,
        needs_version: bool = False,
    ) -> None:
        """Sends the request and reads the head of the response.

        Args:
            req: The request.
            last_event_id: Id of the last event passed on, to resume a stream.
            fetch_from: Engine from which cached segments can be fetched.
            needs_version: Whether the endpoint has to run the software version
                that its entry names.

        Raises:
            process_check.UnprovedProcessError: Nothing proves the version.
            errors.AttemptError: The endpoint is unreachable or wants fewer
                requests, or no valid head of a response arrived in time, or
                it may be the response to an earlier request.
        """
        self._deadline_ms = req.deadline_ms
        if needs_version:
            self._connect_to_process(req.id)
        else:
            self._connect(req.id)
            if req.route.resumable:
                self._ask_process(req.id)
        if self._conn.process_ms is not None:
            self.process = (self.endpoint.id, self._conn.process_ms)
        self._check_permission(req)
        sent_ms = self._clock.now()
        remaining_ms = req.deadline_ms - sent_ms
        if remaining_ms <= 0.0:
            # The process may have been paused while it connected.
            raise errors.AttemptError(
                "the deadline has passed",
                verdict.Verdict.NOT_RUN,
                timed_out=True,
                withheld=True,
            )
        head = headers.encode_request(
            req,
            self._state.endpoint,
            remaining_ms,
            last_event_id,
            fetch_from,
        )
        self.sent_ms = sent_ms
        try:
            self._conn.send(head, req.body, self._deadline_ms)
            self.head = self._conn.read_head(
                self._deadline_ms + RESPONSE_SLACK_MS, names.REQUEST_ID
            )
        except client.TRANSPORT_ERRORS as exc:
            raise self._lost_response(exc) from exc
        fields = headers.decode_response(self.head)
        if fields.not_executed:
            self._pool.refusals.check(self._state.endpoint, req.id)
        self.fields = fields
        if self.fields.announcement is not None:
            self._announcements.record(
                self._state.endpoint,
                self.fields.announcement,
                req.id,
                sent_ms,
            )
            if self.fields.load is not None:
                self._state.speed.record_report(self.fields.load)

    def blocks(self, watch: stalls.StallWatch | None = None) -> Iterator[bytes]:
        """Yields the blocks of the body as they arrive.

        Args:
            watch: Tells when a stream has stalled; None to read on until the
                deadline.

        Raises:
            errors.AttemptError: The response was interrupted or has stalled.
        """
        try:
            while (block := self._read_block(watch)) is not None:
                yield block
        except client.TRANSPORT_ERRORS as exc:
            raise self._lost_response(exc) from exc

    def _read_block(self, watch: stalls.StallWatch | None) -> bytes | None:
        deadline_ms = self._deadline_ms + RESPONSE_SLACK_MS
        while True:
            due_ms = min(deadline_ms, watch.due_ms) if watch else deadline_ms
            try:
                return self._conn.read_block(due_ms)
            except TimeoutError as exc:
                # With an errno, TCP keep-alive has found the endpoint dead.
                if exc.errno is not None or due_ms == deadline_ms:
                    raise
            if watch.should_resume():
                raise errors.AttemptError(
                    "the endpoint has stalled", verdict.Verdict.MAY_HAVE_RUN
                )

    def reject(self, reason: str) -> errors.AttemptError:
        """Returns the error for a response that is larger than allowed."""
        return self._lost_response(self._conn.endless(reason))

    def finish(self) -> None:
        """Releases the connection after the response was read completely.

        Raises:
            errors.AttemptError: The response ended with its connection and the
                endpoint has gone down, so it may have been interrupted.
        """
        if self._conn.has_closed and not end_check.has_outlived_response(
            self._pool, self.endpoint, self._clock
        ):
            raise errors.AttemptError(
                "the endpoint went down as the connection ended the response",
                verdict.Verdict.MAY_HAVE_RUN,
                connection_lost=True,
            )
        if self.fields.will_close:
            self._conn.close()
        else:
            self._pool.release(
                self._state.endpoint, self._conn, self.fields.keep_alive_ms
            )
        self._conn = None

    def close(self) -> None:
        """Closes the connection unless `finish` has released it."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _connect(self, request_id: str) -> None:
        try:
            self._conn = self._pool.acquire(self._state.endpoint, request_id)
        except OSError as exc:
            raise errors.AttemptError(
                f"cannot connect to the endpoint: {exc}",
                verdict.Verdict.NOT_RUN,
                unsent=True,
            ) from exc

    def _connect_to_process(self, request_id: str) -> None:
        """Connects to the process of the entry."""
        try:
            self._connect(request_id)
            self._check_process()
        except process_check.UnprovedProcessError:
            # An idle connection may have ended, or hold an earlier response.
            self.close()
            self._connect("")
            self._conn.carried.add(hash(request_id))
            self._check_process()

    def _ask_process(self, request_id: str) -> None:
        """Asks which process begins a stream that may have to go on.

        Once it has ended, nobody else can tell. One that does not reply gets
        the request all the same.
        """
        endpoint = self._state.endpoint
        if not endpoint.started_ms:
            return
        try:
            process_check.ask(
                self._conn, endpoint, self._deadline_ms, self._clock
            )
        except process_check.UnprovedProcessError:
            self.close()
            self._connect("")
            self._conn.carried.add(hash(request_id))

    def _check_process(self) -> None:
        process_check.check(
            self._conn, self._state.endpoint, self._deadline_ms, self._clock
        )

    def _check_permission(self, req: requests.Request) -> None:
        """Asks for permission last, as connecting may have taken a while."""
        if not self._state.serves(req.service):
            raise _withheld("the endpoint has left or is leaving")
        if not self._announcements.take(self._state.endpoint):
            raise _withheld("the endpoint wants fewer requests")

    def _lost_response(self, exc: Exception) -> errors.AttemptError:
        # A TimeoutError with an errno comes from TCP keep-alive: the endpoint
        # is dead. Without an errno, the deadline has passed.
        is_timeout = isinstance(exc, TimeoutError)
        timed_out = is_timeout and exc.errno is None
        silent = is_timeout and not timed_out
        return errors.AttemptError(
            "the endpoint did not send a complete response: "
            f"{exc or type(exc).__name__}",
            verdict.Verdict.MAY_HAVE_RUN,
            connection_lost=not timed_out,
            timed_out=timed_out,
            silent=silent,
        )


def _withheld(reason: str) -> errors.AttemptError:
    return errors.AttemptError(reason, verdict.Verdict.NOT_RUN, withheld=True)
