"""Ends the work on a request whose caller has disconnected."""

import gevent
from gevent import socket


class CallerGoneError(BaseException):
    """The caller closed its connection before its response was complete.

    Derives from `BaseException` so that `except Exception` does not catch it.
    """


class CallerWatch:
    """Raises `CallerGoneError` in the current greenlet on a disconnect."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._greenlet = gevent.getcurrent()
        self._watcher: gevent.Greenlet | None = None

    def __enter__(self) -> "CallerWatch":
        self._watcher = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info) -> None:
        self._watcher.kill(block=False)

    def _run(self) -> None:
        try:
            socket.wait_read(self._sock.fileno())
            data = self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        # Received bytes belong to a pipelined request; an empty read is a FIN.
        if not data:
            self._greenlet.kill(CallerGoneError, block=False)
