"""The server side of an HTTP/1.1 connection."""

from collections.abc import Iterator
import contextlib

import gevent
from gevent import socket
import h11

from hornbeampier import clock as clocks
from hornbeampier import memory_budget
from hornbeampier import memory_usage
from hornbeampier import response_room
from hornbeampier.http1 import bodies
from hornbeampier.http1 import caller_watch
from hornbeampier.http1 import chunks
from hornbeampier.http1 import messages
from hornbeampier.http1 import output
from hornbeampier.http1 import sockets

RECEIVE_BYTES = chunks.MAX_FEED_BYTES
# The parser of heads keeps what it receives for as long as the request lasts.
PARSER_RECEIVE_BYTES = 16_384
# After this much input of one connection, other tasks run.
TURN_BYTES = 65_536
# Most input that is read and discarded after a request was refused.
LINGER_BYTES = 16 * 1024 * 1024
TOO_LARGE = "the request body is too large"


class BadRequestError(Exception):
    """The request is malformed, too large or too slow.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class ServerConnection:
    """An accepted connection, used for one request at a time.

    Attributes:
        busy: Whether a request is in progress.
        close_after_response: Whether responses carry `Connection: close`.
        response_begun: Whether any of the response has been written.
        must_linger: Whether input may be unread when the connection is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: clocks.Clock,
        max_head_bytes: int,
        holder: memory_budget.Holder,
    ):
        self._sock = sock
        self._output = output.Output(sock, holder)
        self._holder = holder
        self._max_head_bytes = max_head_bytes
        self._clock = clock
        self._http = self._new_parser()
        self._request: h11.Request | None = None
        self.busy = False
        self.close_after_response = False
        self.response_begun = False
        self.must_linger = False
        self._shut_down = False
        self._is_head = False
        self._decoder: chunks.ChunkDecoder | None = None
        # Input since other tasks have run.
        self._turn_bytes = 0

    def read_head(
        self,
        idle_timeout_ms: float,
        header_timeout_ms: float,
        max_head_bytes: int,
    ) -> messages.RequestHead | None:
        """Waits for a request; returns None if the connection ends first.

        Raises:
            BadRequestError: The head is malformed, too large or too slow.
            memory_budget.ReclaimedError: The connection has to end.
        """
        self.busy = False
        self._holder.end_request()
        if not self._await_request(idle_timeout_ms) or self._shut_down:
            # A request that arrives after `close_idle` is not run.
            return None
        self.busy = True
        self._holder.begin_request()
        self.response_begun = False
        self._is_head = False
        self._decoder = None
        event = self._next_event(self._clock.now() + header_timeout_ms)
        if not isinstance(event, h11.Request):
            return None
        self._is_head = event.method == b"HEAD"
        self._request = event
        head = messages.RequestHead(
            event.method, event.target, tuple(event.headers)
        )
        if head.size > max_head_bytes:
            raise BadRequestError(431, "the request head is too large")
        return head

    def read_body(
        self, max_body_bytes: int, timeout_ms: float, total_ms: float
    ) -> bytes:
        """Returns the complete body of the request.

        Args:
            max_body_bytes: Largest size of the body.
            timeout_ms: Longest wait for each block of the body.
            total_ms: Longest wait for all of the body.

        Raises:
            BadRequestError: The body is too large, malformed or too slow.
            caller_watch.CallerGoneError: The connection ended too early.
            memory_budget.ReclaimedError: The process cannot hold the body.
        """
        # A larger one would not fit at a later time either.
        max_body_bytes = min(max_body_bytes, self._holder.largest_body_bytes)
        pieces = self._read_pieces(max_body_bytes, timeout_ms, total_ms)
        try:
            return bodies.collect(pieces, max_body_bytes, self._holder)
        except bodies.TooLargeError as exc:
            raise BadRequestError(413, TOO_LARGE) from exc

    def discard_body(
        self, max_body_bytes: int, timeout_ms: float, total_ms: float
    ) -> None:
        """Reads the body and keeps nothing of it.

        Arguments and errors are those of `read_body`.
        """
        size = 0
        for piece in self._read_pieces(max_body_bytes, timeout_ms, total_ms):
            size += len(piece)
            if size > max_body_bytes:
                raise BadRequestError(413, TOO_LARGE)
        self._holder.begin_serving()

    def _read_pieces(
        self, max_body_bytes: int, timeout_ms: float, total_ms: float
    ) -> Iterator[bytes]:
        """Yields the parts of the body as they arrive."""
        headers = tuple(self._request.headers)
        if int(messages.get(headers, b"content-length") or 0) > max_body_bytes:
            raise BadRequestError(413, TOO_LARGE)
        if self._http.they_are_waiting_for_100_continue:
            self._output.write(
                self._http.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        end_ms = self._clock.now() + total_ms
        if messages.get(headers, b"transfer-encoding") is not None:
            return self._read_chunks(timeout_ms, end_ms)
        return self._read_until_length(timeout_ms, end_ms)

    def _read_until_length(
        self, timeout_ms: float, end_ms: float
    ) -> Iterator[bytes]:
        while True:
            event = self._next_event(
                min(self._clock.now() + timeout_ms, end_ms)
            )
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise caller_watch.CallerGoneError
            yield event.data
            # Nothing is kept while the next part is awaited.
            del event

    def _read_chunks(self, timeout_ms: float, end_ms: float) -> Iterator[bytes]:
        self._decoder = chunks.ChunkDecoder(self._max_head_bytes)
        data, _ = self._http.trailing_data
        try:
            while True:
                if data:
                    yield self._decoder.feed(data)
                if self._decoder.is_complete:
                    break
                # Nothing is kept while the next part is awaited.
                del data
                due_ms = min(self._clock.now() + timeout_ms, end_ms)
                data = self._receive(due_ms)
                if not data:
                    raise caller_watch.CallerGoneError
        except chunks.MalformedChunksError as exc:
            raise BadRequestError(400, str(exc)) from exc
        if self._decoder.has_more:
            self.close_after_response = True
            self.must_linger = True

    def start_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> None:
        """Writes the head of the response and the start of its body."""
        data = self._send_head(status, headers)
        if body:
            data += self._http.send(h11.Data(data=body))
        self.response_begun = True
        self._output.write(data)

    def write_body(self, data: bytes) -> None:
        """Writes the next bytes of the body."""
        self._output.write(self._http.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """Ends the body of the response."""
        self._output.write(self._http.send(h11.EndOfMessage()))

    def respond(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes | bytearray,
    ) -> None:
        """Writes a complete response, a small one with a single send.

        The response to a HEAD request is sent without its body.
        """
        parts = [self._send_head(status, headers)]
        if body and not self._is_head:
            event = h11.Data(data=body)
            parts += self._http.send_with_data_passthrough(event)
        parts.append(self._http.send(h11.EndOfMessage()))
        self.response_begun = True
        if len(body) <= memory_budget.SMALL_BODY_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            self._output.write(part)

    def read_response(self) -> response_room.ResponseReading:
        """Returns a context in which a task reads a large response for it."""
        return self._holder.read_response()

    def respond_after_error(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes a complete response after another could not be composed.

        No request may follow on the connection. Nothing of another response
        may have been written.
        """
        self._http = h11.Connection(h11.SERVER)
        self.must_linger = True
        self.close_after_response = True
        if self._is_head:
            # The new state machine does not know the request's method.
            headers = [h for h in headers if h[0] != b"Content-Length"]
            headers.append((b"Content-Length", b"0"))
            body = b""
        self.respond(status, headers, body)

    @property
    def response_complete(self) -> bool:
        """Whether all of the response has been written."""
        state = self._http.our_state
        return self.response_begun and state in (h11.DONE, h11.MUST_CLOSE)

    def prepare_next_request(self) -> bool:
        """Resets for the next request; returns False if none may follow."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._decoder is not None:
            # The parser of heads has not seen the body.
            self._http = self._new_parser()
            return self._decoder.is_complete and not self._decoder.has_more
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    @property
    def has_lost_place(self) -> bool:
        """Whether the connection has to end to make room for another."""
        return self._holder.reclaimed_for is memory_usage.Reason.PLACE

    def watch_caller(self) -> caller_watch.CallerWatch:
        """Returns a context manager that aborts its body on a disconnect."""
        return caller_watch.CallerWatch(self._sock)

    def has_no_input(self) -> bool:
        """Whether no data, end of stream or error is pending on the socket."""
        return not sockets.is_readable(self._sock)

    def close_idle(self) -> None:
        """Shuts the connection down if it is waiting for a request."""
        if not self.busy and self.has_no_input():
            self._shut_down = True
            self._sock.shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Resets the connection, so that the caller sees the interruption."""
        self._output.abort()

    def linger(self) -> None:
        """Shuts down sending and discards input until the caller closes.

        Closing with unread input would send a reset, and the caller could
        lose the response.
        """
        remaining_bytes = LINGER_BYTES
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0:
                data = self._sock.recv(RECEIVE_BYTES)
                if not data:
                    break
                remaining_bytes -= len(data)
                # A fast client always has input ready.
                gevent.sleep(0)

    def close(self) -> None:
        """Closes the connection; output already written is delivered."""
        self._sock.close()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    def _await_request(self, timeout_ms: float) -> bool:
        if self._http.trailing_data[0]:
            # The client may have sent many requests at once.
            gevent.sleep(0)
            return True
        try:
            self._sock.settimeout(timeout_ms / clocks.MS_PER_SECOND)
            with self._holder.waiting():
                data = self._sock.recv(PARSER_RECEIVE_BYTES)
        except (OSError, memory_budget.ReclaimedError):
            # No request was in progress, so this is not an error.
            return False
        if data:
            self._http.receive_data(data)
        return bool(data)

    def _next_event(self, deadline_ms: float):
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = self._receive(deadline_ms, PARSER_RECEIVE_BYTES)
                self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(exc.error_status_hint, str(exc)) from exc

    def _receive(
        self, deadline_ms: float, max_bytes: int = RECEIVE_BYTES
    ) -> bytes:
        remaining_ms = deadline_ms - self._clock.now()
        if remaining_ms <= 0:
            raise BadRequestError(408, "the request did not arrive in time")
        self._sock.settimeout(remaining_ms / clocks.MS_PER_SECOND)
        if self._turn_bytes >= TURN_BYTES:
            gevent.sleep(0)
            self._turn_bytes = 0
        try:
            with self._holder.waiting():
                data = self._sock.recv(max_bytes)
        except TimeoutError as exc:
            raise BadRequestError(
                408, "the request did not arrive in time"
            ) from exc
        except OSError as exc:
            raise caller_watch.CallerGoneError from exc
        self._turn_bytes += len(data)
        return data

    def _send_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> bytes:
        if self.close_after_response:
            headers = [*headers, (b"Connection", b"close")]
        return self._http.send(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=messages.reason_phrase(status),
            )
        )
