"""The callers' connections: limits and the watch for callers that go away."""

from collections.abc import Iterator
import contextlib

import gevent
from gevent import select
from gevent import socket

from hornbeampier import wsgi

SOCKET_KEY = "hornbeampier.socket"
WATCH_INTERVAL_S = 0.5


class CallerGoneError(BaseException):
    """The caller closed its connection while it waited.

    Not an `Exception`, so that no handler of ordinary errors swallows it.
    """


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
        return environ


@contextlib.contextmanager
def watch(sock: socket.socket) -> Iterator[None]:
    """Raises `CallerGoneError` in the body when the caller disconnects."""
    handler = gevent.getcurrent()
    watcher = gevent.spawn(_watch, sock, handler)
    try:
        yield
    finally:
        watcher.kill(block=False)


def _watch(sock: socket.socket, handler: gevent.Greenlet) -> None:
    while True:
        readable, _, _ = select.select([sock], [], [], WATCH_INTERVAL_S)
        if not readable:
            continue
        if not _is_closed(sock):
            return
        handler.kill(CallerGoneError, block=False)
        return


def _is_closed(sock: socket.socket) -> bool:
    """Returns whether the caller closed; pipelined bytes mean it did not."""
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
