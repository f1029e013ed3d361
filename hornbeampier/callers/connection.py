"""Connections of callers: time limits and detection of disconnects."""

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
# A caller that does not read its response for this long is disconnected.
WRITE_TIMEOUT_S = 30.0
# Limits on how much of an unread request body is read and discarded before the
# connection is closed.
DISCARD_TIMEOUT_S = 1.0
DISCARD_BYTES = 65_536
# Connection states in the first byte of TCP_INFO. In CLOSE_WAIT the caller has
# sent a FIN.
TCP_CLOSE_WAIT = 8
TCP_CLOSE = 7


class CallerGoneError(BaseException):
    """The caller closed its connection before its response was complete.

    Derives from `BaseException` so that `except Exception` does not catch it.
    """


class BoundedInput(pywsgi.Input):
    """A request body whose unread rest is discarded up to a limit."""

    def is_unread(self) -> bool:
        """Returns whether the body has not been read to its end."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self):
        """Discards the rest of the body within limits of size and time.

        Closing with unread input would reset the connection, and the caller
        could lose the response.

        Raises:
            OSError: The rest is too long or too slow; the handler closes the
                connection.
        """
        if self._chunked_input_error or not self.is_unread():
            return
        self.send_100_continue_enabled = False
        remaining = DISCARD_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_S, TimeoutError):
            while remaining > 0 and (data := self.read(min(remaining, 16_384))):
                remaining -= len(data)
        if remaining <= 0:
            raise TimeoutError(
                "the rest of the request body is too long to discard"
            )


class CallerConnectionHandler(wsgi.TrackedHandler):
    """Adds the socket to the WSGI environment and limits slow callers."""

    read_timeout_s = 10.0

    def handle_one_request(self):
        """Serves a request; closes if its head does not arrive in time."""
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
        """Returns the WSGI environment with the socket under `SOCKET_KEY`."""
        self._head_timeout.close()
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        original_input = self.wsgi_input
        self.wsgi_input = BoundedInput(
            original_input.rfile,
            original_input.content_length,
            socket=original_input.socket,
            chunked_input=original_input.chunked_input,
        )
        environ["wsgi.input"] = self.wsgi_input
        self.socket.settimeout(WRITE_TIMEOUT_S)
        return environ

    def handle_one_response(self):
        """Responds, then closes unless the body was read to its end."""
        super().handle_one_response()
        if self.wsgi_input.is_unread():
            self.close_connection = True

    def handle_error(self, t, v, tb):
        """Closes without a traceback on disconnects, timeouts and shutdown."""
        if issubclass(t, (CallerGoneError, TimeoutError, errors.ShutdownError)):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


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
