"""The WSGI server, and helpers of WSGI applications."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import errno
import logging
import socket as stdlib_socket

import gevent
from gevent import monkey
from gevent import pool
from gevent import pywsgi
from gevent import socket
import msgspec

from hornbeampier import application

JSON_TYPE = ("Content-Type", "application/json")
REASON_PHRASES = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    499: "Client Closed Request",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

# Argument of `HttpServer.close_idle`: keep connections that have not carried a
# request yet.
USED_ONLY = True
# The standard library's `poll`: gevent's may switch greenlets, and a request
# could arrive between the check and the close.
POLL = monkey.get_original("select", "poll")
POLL_INPUT = 1


class DropConnectionError(ConnectionResetError):
    """Closes the connection without a response, as a crash would.

    After any other error of an application the WSGI server sends a 500.
    """

    def __init__(self, reason: str):
        super().__init__(errno.ECONNRESET, reason)


WsgiApp = Callable[..., Iterable[bytes]]


def status_line(status: int) -> str:
    """Returns the code with its reason phrase."""
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


def json_response(start_response, status: int, value) -> list[bytes]:
    """Sends `value` as a JSON response."""
    body = msgspec.json.encode(value)
    headers = [JSON_TYPE, ("Content-Length", str(len(body)))]
    start_response(status_line(status), headers)
    return [body]


def read_body(environ) -> bytes:
    """Returns the complete body of a WSGI request."""
    return environ["wsgi.input"].read()


def is_readable(sock: stdlib_socket.socket) -> bool:
    """Returns whether a read or an accept would return at once."""
    poller = POLL()
    poller.register(sock.fileno(), POLL_INPUT)
    return bool(poller.poll(0))


class TrackedHandler(pywsgi.WSGIHandler):
    """A connection handler that its server can close while it is idle.

    Attributes:
        busy: Whether a request is in progress.
        responses_sent: Number of responses sent on this connection.
    """

    busy = False
    responses_sent = 0

    def handle(self):
        """Serves the requests of the connection."""
        self.server.tracked.add(self)
        try:
            super().handle()
        finally:
            self.server.tracked.discard(self)

    def get_environ(self):
        """Returns the WSGI environment; called when a head has arrived."""
        self.busy = True
        return super().get_environ()

    def handle_one_response(self):
        """Serves one request."""
        try:
            super().handle_one_response()
        finally:
            self.busy = False
            self.responses_sent += 1

    def close_idle(self) -> None:
        """Closes the connection unless a request has arrived or is arriving."""
        sock = self.socket
        if self.busy or sock is None or is_readable(sock):
            return
        with contextlib.suppress(OSError):
            sock.shutdown(stdlib_socket.SHUT_RDWR)


class HttpServer(application.BaseComponent):
    """A WSGI server with a bounded number of connections."""

    def __init__(
        self,
        host: str,
        port: int,
        app: WsgiApp,
        max_connections: int = 1_000,
        handler_class=TrackedHandler,
    ):
        self._handlers = pool.Pool(max_connections)
        self._server = pywsgi.WSGIServer(
            (host, port),
            app,
            spawn=self._handlers,
            log=None,
            error_log=logging.getLogger("hornbeampier.wsgi"),
            handler_class=handler_class,
        )
        self._server.tracked = set()

    @property
    def port(self) -> int:
        """The port in use, known after `start`."""
        return self._server.server_port

    def start(self) -> None:
        """Binds the address and starts accepting connections."""
        self._server.init_socket()
        self._configure_socket(self._server.socket)
        self._server.start()

    def _configure_socket(self, sock: socket.socket) -> None:
        """Sets options that accepted connections inherit.

        The head and the body of a response are separate writes; with Nagle's
        algorithm the body would wait for the acknowledgement of the head.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._handlers)

    def has_pending_connection(self) -> bool:
        """Returns whether a connection is waiting in the backlog."""
        return is_readable(self._server.socket)

    def close_listener(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self._server.close()

    def close_idle(self, used_only: bool = False) -> None:
        """Closes the connections that have no request in progress.

        Args:
            used_only: Whether connections that have not carried a request yet
                are kept.
        """
        for handler in list(self._server.tracked):
            if handler.responses_sent or not used_only:
                handler.close_idle()

    def stop(self) -> None:
        """Closes the listening socket and kills the remaining handlers."""
        self._server.stop(timeout=0)
        self._handlers.kill(block=True, timeout=1)
        gevent.sleep(0)
