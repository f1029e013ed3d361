"""The callers' connections: limits and the watch for callers that go away."""

from collections.abc import Iterator
import contextlib

import gevent
from gevent import pywsgi
from gevent import select
from gevent import socket

from hornbeampier import errors
from hornbeampier import wsgi

SOCKET_KEY = "hornbeampier.socket"
WATCH_INTERVAL_S = 0.5
# A caller that takes nothing of its answer for so long is cut off.
WRITE_TIMEOUT_S = 30.0
# What is read of a body that nobody wants, before the connection is closed.
DISCARD_TIMEOUT_S = 1.0
DISCARD_BYTES = 65_536
# The peer has sent its FIN; tcp_info's first byte is the state.
TCP_CLOSE_WAIT = 8
TCP_CLOSE = 7


class CallerGoneError(BaseException):
    """The caller closed its connection while it waited.

    Not an `Exception`, so that no handler of ordinary errors swallows it.
    """


class BoundedInput(pywsgi.Input):
    """A request body whose unread rest is not read to its end."""

    def is_unread(self) -> bool:
        """Returns whether a part of the body was not read."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self):
        """Reads a little of the rest, so that the caller sees the answer.

        Raises:
            OSError: The rest is too long or too slow; the handler closes.
        """
        if self._chunked_input_error or not self.is_unread():
            return
        self.send_100_continue_enabled = False
        left = DISCARD_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_S, TimeoutError):
            while left > 0 and (data := self.read(min(left, 16_384))):
                left -= len(data)
        if left <= 0:
            raise TimeoutError("the body was not read to its end")


class CallerHandler(wsgi.TrackedHandler):
    """Hands the connection to the application and limits slow senders."""

    read_timeout_s = 10.0

    def handle_one_request(self):
        """Serves a request whose head has to arrive in time."""
        timeout = gevent.Timeout.start_new(self.read_timeout_s)
        self._head_timeout = timeout
        try:
            return super().handle_one_request()
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            return None
        finally:
            timeout.close()

    def get_environ(self):
        """Returns the WSGI environment with the connection in it."""
        self._head_timeout.close()
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        former = self.wsgi_input
        self.wsgi_input = BoundedInput(
            former.rfile,
            former.content_length,
            socket=former.socket,
            chunked_input=former.chunked_input,
        )
        environ["wsgi.input"] = self.wsgi_input
        self.socket.settimeout(WRITE_TIMEOUT_S)
        return environ

    def handle_one_response(self):
        """Answers, then closes unless the whole body was read."""
        super().handle_one_response()
        if self.wsgi_input.is_unread():
            self.close_connection = True

    def handle_error(self, t, v, tb):
        """Closes without a traceback when the caller or the VM goes away."""
        if issubclass(t, (CallerGoneError, TimeoutError, errors.ShutdownError)):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class CallerWatch:
    """Aborts a handler whose caller has gone, until the watch is stopped."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._handler = gevent.getcurrent()
        self._active = True
        self._watcher = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the watch; nothing is raised in the handler after this."""
        self._active = False
        self._watcher.kill(block=False)

    def abort(self) -> None:
        """Raises `CallerGoneError` in the handler, unless it has gone on."""
        gevent.get_hub().loop.run_callback(self._raise_in_handler)

    def _raise_in_handler(self) -> None:
        if self._active:
            self._active = False
            self._handler.throw(CallerGoneError)

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
            # Pipelined bytes keep the socket readable.
            gevent.sleep(WATCH_INTERVAL_S)


@contextlib.contextmanager
def watch(sock: socket.socket) -> Iterator[CallerWatch]:
    """Raises `CallerGoneError` in the body when the caller disconnects."""
    watcher = CallerWatch(sock)
    try:
        yield watcher
    finally:
        watcher.stop()


def _is_closed(sock: socket.socket) -> bool:
    """Returns whether the caller closed, perhaps behind pipelined bytes."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return True
    return info[0] in (TCP_CLOSE_WAIT, TCP_CLOSE)
