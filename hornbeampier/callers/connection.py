"""Connections of callers: time limits and detection of disconnects."""

from collections.abc import Iterator
import contextlib

import gevent
from gevent import pywsgi
from gevent import select
from gevent import socket

from hornbeampier import connection_places
from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier import wsgi
from hornbeampier.http1 import bodies
from hornbeampier.http1 import chunks

SOCKET_KEY = "hornbeampier.socket"
WATCH_INTERVAL_S = 0.5
# A caller that does not read its response for this long is disconnected.
WRITE_TIMEOUT_S = 30.0
# Limits on how much of an unread request body is read and discarded before the
# connection is closed.
DISCARD_TIMEOUT_S = 1.0
DISCARD_BYTES = 65_536
MAX_HEAD_BYTES = 32_768
HEAD_RECEIVE_BYTES = 8_192
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# After this much input of one connection, other tasks run.
TURN_BYTES = 65_536
# Connection states in the first byte of TCP_INFO. In CLOSE_WAIT the caller has
# sent a FIN.
TCP_CLOSE_WAIT = 8
TCP_CLOSE = 7


class CallerGoneError(BaseException):
    """The caller closed its connection before its response was complete.

    Derives from `BaseException` so that `except Exception` does not catch it.
    """


# These end a connection without a response.
QUIET_ERRORS = (
    CallerGoneError,
    TimeoutError,
    errors.ShutdownError,
    memory_budget.ReclaimedError,
)


class HeadTooLargeError(ValueError):
    """The head of a request exceeds its limit."""


class CallerReader:
    """Reads from a connection, as the file that the WSGI server reads from.

    Attributes:
        closed: Whether the connection has ended.
    """

    def __init__(self, sock: socket.socket, holder: memory_budget.Holder):
        self._sock = sock
        self._holder = holder
        self._buffer = bytearray()
        self._head_bytes = 0
        # Input since other tasks have run.
        self._turn_bytes = 0
        self.closed = False

    def begin_head(self) -> None:
        """Starts to count the bytes of a head."""
        self._head_bytes = 0

    def readline(self, max_bytes: int) -> bytes:
        """Returns the next line of a head, or its first `max_bytes` bytes.

        Raises:
            HeadTooLargeError: The head is too large.
            memory_budget.ReclaimedError: The connection has to end.
        """
        while b"\n" not in self._buffer and len(self._buffer) < max_bytes:
            if len(self._buffer) + self._head_bytes > MAX_HEAD_BYTES:
                raise HeadTooLargeError("the request head is too large")
            data = self._receive(HEAD_RECEIVE_BYTES)
            if not data:
                break
            self._buffer += data
        end = self._buffer.find(b"\n") + 1 or len(self._buffer)
        line = self._take(min(end, max_bytes))
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLargeError("the request head is too large")
        return line

    def read_some(self, max_bytes: int) -> bytes:
        """Returns what has arrived, at least a byte unless the input ends.

        Raises:
            memory_budget.ReclaimedError: The connection has to end.
        """
        if self._buffer:
            return self._take(max_bytes)
        return self._receive(max_bytes)

    def discard_some(self, max_bytes: int) -> int:
        """Reads and drops input; returns the number of bytes, 0 at its end."""
        if self._buffer:
            return len(self._take(max_bytes))
        gevent.sleep(0)
        return len(self._sock.recv(max_bytes))

    def close(self) -> None:
        """Marks the input as closed; the socket is the handler's."""
        self.closed = True

    def _take(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _receive(self, max_bytes: int) -> bytes:
        if self._turn_bytes >= TURN_BYTES:
            gevent.sleep(0)
            self._turn_bytes = 0
        with self._holder.waiting():
            data = self._sock.recv(max_bytes)
        self._turn_bytes += len(data)
        if data and not self._holder.is_in_request:
            self._holder.begin_request()
        return data


class CallerInput(pywsgi.Input):
    """The body of a request, within the memory of the process.

    Attributes:
        holder: Counts what the process holds for the connection.
    """

    def __init__(
        self, original: pywsgi.Input, holder: memory_budget.Holder
    ) -> None:
        super().__init__(
            original.rfile,
            original.content_length,
            socket=original.socket,
            chunked_input=original.chunked_input,
        )
        self.holder = holder
        self._decoder = (
            chunks.ChunkDecoder(MAX_HEAD_BYTES) if self.chunked_input else None
        )

    def read_body(self, max_bytes: int) -> bytes:
        """Returns the complete body.

        Raises:
            bodies.TooLargeError: The body exceeds `max_bytes`.
            memory_budget.ReclaimedError: The process cannot hold the body.
            OSError: The body is malformed or incomplete.
        """
        if self.send_100_continue_enabled and self.socket is not None:
            self._send_100_continue()
        pieces = self._read_chunks() if self._decoder else self._read_length()
        return bodies.collect(pieces, max_bytes, self.holder)

    def is_unread(self) -> bool:
        """Whether the body has not been read to its end, or input follows."""
        if self._decoder is not None:
            return not self._decoder.is_complete or self._decoder.has_more
        return self.position < (self.content_length or 0)

    def _read_length(self) -> Iterator[bytes]:
        while remaining := (self.content_length or 0) - self.position:
            data = self.rfile.read_some(min(remaining, chunks.MAX_FEED_BYTES))
            if not data:
                raise OSError("it ended before its Content-Length")
            self.position += len(data)
            yield data
            # Nothing is kept while the next part is awaited.
            del data

    def _read_chunks(self) -> Iterator[bytes]:
        while not self._decoder.is_complete:
            data = self.rfile.read_some(chunks.MAX_FEED_BYTES)
            if not data:
                raise OSError("it ended before its last chunk")
            try:
                yield self._decoder.feed(data)
            except chunks.MalformedChunksError as exc:
                raise OSError(str(exc)) from exc
            del data

    def _discard(self):
        """Discards the rest of the body within limits of size and time.

        Closing with unread input would reset the connection, and the caller
        could lose the response.

        Raises:
            OSError: The rest is too long or too slow; the handler closes the
                connection.
        """
        if not self.is_unread():
            return
        self.send_100_continue_enabled = False
        remaining = DISCARD_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_S, TimeoutError):
            while remaining > 0:
                size = self.rfile.discard_some(min(remaining, 16_384))
                if not size:
                    return
                remaining -= size
        raise TimeoutError("the rest of the request body is too long")


class CallerConnectionHandler(wsgi.TrackedHandler):
    """Bounds what a connection holds, and limits slow callers.

    Adds the socket to the WSGI environment.
    """

    read_timeout_s = 10.0

    def handle(self):
        """Serves the requests of the connection, unless it gets no place."""
        try:
            self.holder = self.server.places.take()
        except memory_budget.ReclaimedError:
            self.socket.close()
            return
        self.rfile = CallerReader(self.socket, self.holder)
        try:
            super().handle()
        finally:
            self.server.places.leave(self.holder)

    def handle_one_request(self):
        """Serves a request; closes if its head does not arrive in time."""
        self.holder.end_request()
        self.rfile.begin_head()
        timeout = gevent.Timeout.start_new(self.read_timeout_s)
        self._head_timeout = timeout
        try:
            return super().handle_one_request()
        except memory_budget.ReclaimedError:
            # The request has not arrived completely.
            return None
        except HeadTooLargeError as exc:
            return self._handle_client_error(exc)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return None
        finally:
            timeout.close()

    def _handle_client_error(self, ex):
        if isinstance(ex, memory_budget.ReclaimedError):
            return None
        if isinstance(ex, HeadTooLargeError):
            return ("431", HEAD_TOO_LARGE_RESPONSE)
        return super()._handle_client_error(ex)

    def get_environ(self):
        """Returns the WSGI environment with the socket under `SOCKET_KEY`."""
        self._head_timeout.close()
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        self.wsgi_input = CallerInput(self.wsgi_input, self.holder)
        environ["wsgi.input"] = self.wsgi_input
        self.socket.settimeout(WRITE_TIMEOUT_S)
        return environ

    def handle_one_response(self):
        """Responds, then closes unless the body was read to its end."""
        super().handle_one_response()
        if self.wsgi_input.is_unread():
            self.close_connection = True
        # The client may have sent many requests at once.
        gevent.sleep(0)

    def _sendall(self, data):
        if len(data) <= memory_budget.SMALL_BODY_BYTES:
            super()._sendall(data)
            return
        with self.holder.writing(len(data)):
            super()._sendall(data)

    def handle_error(self, t, v, tb):
        """Closes without a traceback on disconnects, timeouts and shutdown."""
        if issubclass(t, QUIET_ERRORS):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class CallerServer(wsgi.HttpServer):
    """The WSGI server for callers; all of them share one budget of memory."""

    def __init__(
        self,
        host: str,
        port: int,
        app: wsgi.WsgiApp,
        max_connections: int,
        budget: memory_budget.MemoryBudget,
    ):
        super().__init__(
            host,
            port,
            app,
            max_connections + connection_places.ENDING_CONNECTIONS,
            CallerConnectionHandler,
        )
        self._server.places = connection_places.Places(budget, max_connections)

    def _configure_socket(self, sock: socket.socket) -> None:
        super()._configure_socket(sock)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            memory_budget.KERNEL_INPUT_BYTES,
        )


class CallerWatch:
    """Aborts a handler when its caller disconnects, until stopped."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._greenlet = gevent.getcurrent()
        self._active = True
        self._watcher = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the watch; the handler is not aborted after this."""
        self._active = False
        self._watcher.kill(block=False)

    def abort(self) -> None:
        """Raises `CallerGoneError` in the handler, unless stopped before."""
        gevent.get_hub().loop.run_callback(self._raise_in_handler)

    def _raise_in_handler(self) -> None:
        if self._active:
            self._active = False
            self._greenlet.throw(CallerGoneError)

    def _run(self) -> None:
        while True:
            readable, _, _ = select.select(
                [self._sock], [], [], WATCH_INTERVAL_S
            )
            if not readable:
                continue
            if _is_closed(self._sock):
                self.abort()
                return
            # Pipelined bytes keep the socket readable; without this pause the
            # loop would spin.
            gevent.sleep(WATCH_INTERVAL_S)


@contextlib.contextmanager
def watch(sock: socket.socket) -> Iterator[CallerWatch]:
    """Raises `CallerGoneError` in the `with` body on a disconnect."""
    caller_watch = CallerWatch(sock)
    try:
        yield caller_watch
    finally:
        caller_watch.stop()


def _is_closed(sock: socket.socket) -> bool:
    """Returns whether the caller has closed, even if input is unread."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return True
    return info[0] in (TCP_CLOSE_WAIT, TCP_CLOSE)
