"""The client side of an HTTP/1.1 connection."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import errno

import gevent
from gevent import socket
import h11

from hornbeampier import clock as clocks
from hornbeampier.http1 import folded_lines
from hornbeampier.http1 import messages
from hornbeampier.http1 import sockets

RECEIVE_BYTES = 65_536
# Requests up to this size are written before the response is awaited; longer
# ones are written by a greenlet of their own.
INLINE_REQUEST_BYTES = 16_384
# After this many events of one connection, other tasks run.
TURN_EVENTS = 100
# Status that h11 suggests for a head that does not end.
TOO_LARGE_STATUS = 431
TRANSPORT_ERRORS = (OSError, h11.ProtocolError)
# Bounds on what is read for one request, apart from the body passed on: a
# server may send bytes without end.
MAX_INTERIM_RESPONSES = 16
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 4 * 1024 * 1024


class ConnectionLostError(OSError):
    """The server closed the connection before the response was complete."""


class EndlessResponseError(OSError):
    """The server sent more than a client reads of a response."""


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response with its complete body."""

    head: messages.ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status


class ClientConnection:
    """One connection to a server, used for one request at a time.

    Attributes:
        carried: Hashes of the ids of its requests; their length is up to the
            callers.
        process_ms: When the process at its other end started, in Unix ms, as it
            reported; None if it has not been asked. It stays the same for as
            long as the connection is open.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: clocks.Clock,
        on_endless: Callable[[str], None] | None = None,
    ):
        """Takes over a socket.

        Args:
            sock: The socket, which is connected.
            clock: The clock.
            on_endless: Called with the reason when the server has sent more
                than is read.
        """
        self._sock = sock
        self._clock = clock
        self._on_endless = on_endless
        self._http = h11.Connection(h11.CLIENT)
        self._folded_lines = folded_lines.FoldedLineCheck()
        self._sender: gevent.Greenlet | None = None
        # The error of the connection, if the sender received it.
        self._sender_error: OSError | None = None
        self._request: h11.Request | None = None
        self._eof_received = False
        # Events since other tasks have run.
        self._turn_events = 0
        self.carried: set[int] = set()
        self.process_ms: int | None = None

    def send(
        self, head: messages.RequestHead, body: bytes, deadline_ms: float
    ) -> None:
        """Writes a request; raises OSError on failure or at the deadline.

        A long request is written by a greenlet while the response is awaited,
        because a server may respond before it has read the complete body.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._folded_lines = folded_lines.FoldedLineCheck()
        self._request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        # A body is not copied: a caller may send a large one.
        parts = [self._http.send(self._request)]
        if body:
            parts += self._http.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._set_deadline(deadline_ms)
        if sum(map(len, parts)) <= INLINE_REQUEST_BYTES:
            self._sock.sendall(b"".join(parts))
            self._sender = None
        else:
            self._sender = gevent.spawn(self._send_in_background, parts)

    def read_head(
        self, deadline_ms: float, id_header: bytes | None = None
    ) -> messages.ResponseHead:
        """Waits for the head of the response.

        Args:
            deadline_ms: Time of the monotonic clock at which to give up.
            id_header: Header that the server copies from the request, or None
                if it copies none. A response with a different value is
                discarded. A response without it to a request that has it may
                be another one's, also on a new connection, and ends the
                connection.

        Raises:
            OSError, h11.ProtocolError: No valid response arrived in time.
        """
        interim_count = skipped_count = 0
        while True:
            if interim_count > MAX_INTERIM_RESPONSES:
                raise self.endless("too many interim responses")
            if skipped_count > MAX_SKIPPED_RESPONSES:
                raise self.endless("too many responses to others")
            event = self._next_event(deadline_ms)
            if isinstance(event, h11.InformationalResponse):
                interim_count += 1
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionLostError(
                    "connection closed before the response head"
                )
            head = self._to_head(event)
            if id_header is None:
                return head
            received_id = head.get(id_header) or b""
            if received_id == self._sent_id(id_header):
                return head
            if not received_id:
                raise ConnectionLostError(
                    "the response does not name its request"
                )
            self._skip_response(deadline_ms)
            skipped_count += 1

    def read_body(self, deadline_ms: float) -> Iterator[bytes]:
        """Yields the body in blocks; raises the same errors as `read_head`."""
        while (block := self.read_block(deadline_ms)) is not None:
            yield block

    def read_block(self, deadline_ms: float) -> bytes | None:
        """Returns the next block of the body, or None at its end.

        After a TimeoutError it may be called again.

        Raises:
            OSError, h11.ProtocolError: No valid block arrived in time.
        """
        event = self._next_event(deadline_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError(
            "connection closed before the end of the response body"
        )

    @property
    def has_closed(self) -> bool:
        """Whether the server has closed the connection.

        After a complete response this was its end: it had no other framing.
        """
        return self._eof_received

    def call(
        self,
        head: messages.RequestHead,
        deadline_ms: float,
        max_bytes: int,
        body: bytes = b"",
        id_header: bytes | None = None,
    ) -> CompleteResponse:
        """Sends a request and returns the complete response.

        Args:
            head: The head of the request.
            deadline_ms: That of `read_head`.
            max_bytes: Size of the largest body that the response may have.
            body: The body of the request.
            id_header: That of `read_head`.

        Raises:
            EndlessResponseError: The body of the response is larger.
            OSError, h11.ProtocolError: No complete response arrived in time.
        """
        self.send(head, body, deadline_ms)
        response = self.read_head(deadline_ms, id_header)
        if (response.length or 0) > max_bytes:
            raise self._too_long(max_bytes)
        body = b"".join(self._read_at_most(max_bytes, deadline_ms))
        return CompleteResponse(response, body)

    def endless(self, reason: str) -> EndlessResponseError:
        """Records that the server has sent too much; returns the error."""
        if self._on_endless is not None:
            self._on_endless(reason)
        return EndlessResponseError(reason)

    def _too_long(self, max_bytes: int) -> EndlessResponseError:
        return self.endless(f"the body exceeds {max_bytes} bytes")

    def _read_at_most(
        self, max_bytes: int, deadline_ms: float
    ) -> Iterator[bytes]:
        """Yields the body in blocks, unless it is too long."""
        size = 0
        for block in self.read_body(deadline_ms):
            size += len(block)
            if size > max_bytes:
                raise self._too_long(max_bytes)
            yield block

    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection.

        The last request and its response must be complete, and no data may be
        left after the response.
        """
        if not self._is_sent():
            return False
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def has_no_input(self) -> bool:
        """Whether no data, end of stream or error is pending on the socket."""
        return not sockets.is_readable(self._sock)

    def close(self) -> None:
        """Closes the connection."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()

    def _is_sent(self) -> bool:
        """Whether all of the last request has been written."""
        if self._sender is None:
            return True
        return self._sender.ready() and self._sender.value is True

    def _send_in_background(self, parts: list[bytes]) -> bool:
        try:
            for part in parts:
                self._sock.sendall(part)
        except OSError as exc:
            # Timeouts without an errno are the sender's own. EPIPE follows the
            # end of the server's stream, which can still be read.
            if exc.errno not in (None, errno.EPIPE):
                self._sender_error = exc
            return False
        return True

    def _next_event(self, deadline_ms: float):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._eof_received:
                    raise ConnectionLostError(
                        "connection closed before the end of the response"
                    ) from exc
                if exc.error_status_hint == TOO_LARGE_STATUS:
                    raise self.endless("the head is too large") from exc
                raise
            if event is not h11.NEED_DATA:
                self._check_head(event)
                self._let_others_run()
                return event
            self._receive(deadline_ms)

    def _check_head(self, event: h11.Event) -> None:
        """Raises h11.RemoteProtocolError if `event` is an invalid head."""
        if not isinstance(event, (h11.InformationalResponse, h11.Response)):
            return
        is_final = isinstance(event, h11.Response)
        if self._folded_lines.end_head(is_final):
            raise h11.RemoteProtocolError("a line of the head is folded")
        if event.status_code > messages.MAX_STATUS:
            raise h11.RemoteProtocolError(
                f"the status {event.status_code} is invalid"
            )

    def _let_others_run(self) -> None:
        """Bounds the time that a received block of small parts takes."""
        self._turn_events += 1
        if self._turn_events >= TURN_EVENTS:
            self._turn_events = 0
            gevent.sleep(0)

    def _receive(self, deadline_ms: float) -> None:
        self._set_deadline(deadline_ms)
        data = self._sock.recv(RECEIVE_BYTES)
        if not data and self._sender_error is not None:
            # The kernel reports an error once, and an end of stream after it.
            raise self._sender_error
        self._eof_received = not data
        self._folded_lines.feed(data)
        self._http.receive_data(data)

    def _set_deadline(self, deadline_ms: float) -> None:
        remaining_ms = deadline_ms - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError("the deadline has passed")
        self._sock.settimeout(remaining_ms / clocks.MS_PER_SECOND)

    def _to_head(self, event: h11.Response) -> messages.ResponseHead:
        headers = tuple(event.headers)
        length = messages.get(headers, b"content-length")
        return messages.ResponseHead(
            status=event.status_code,
            headers=headers,
            length=int(length) if length is not None else None,
        )

    def _sent_id(self, id_header: bytes) -> bytes:
        return messages.get(tuple(self._request.headers), id_header) or b""

    def _skip_response(self, deadline_ms: float) -> None:
        """Discards a response to an earlier request on this connection."""
        for _ in self._read_at_most(MAX_SKIPPED_BYTES, deadline_ms):
            pass
        next_data, _ = self._http.trailing_data
        # h11 accepts one response per request. A new state machine is given
        # the request again, with zeros of the same length as its body.
        self._http = h11.Connection(h11.CLIENT)
        self._folded_lines = folded_lines.FoldedLineCheck(next_data)
        self._http.send(self._request)
        if self._http.our_state is h11.SEND_BODY:
            length = messages.get(
                tuple(self._request.headers), b"content-length"
            )
            if length is not None and int(length):
                self._http.send(h11.Data(data=bytes(int(length))))
            self._http.send(h11.EndOfMessage())
        if next_data:
            self._http.receive_data(next_data)
