"""Helpers shared by the HTTP servers of this program."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket
import msgspec

from hornbeampier import application

JSON_TYPE = ("Content-Type", "application/json")
REASONS = {
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

WsgiApp = Callable[..., Iterable[bytes]]


def status_line(status: int) -> str:
    """Returns the status code with its reason phrase."""
    return f"{status} {REASONS.get(status, 'Status')}"


def json_answer(start_response, status: int, value) -> list[bytes]:
    """Answers with `value` encoded as JSON."""
    body = msgspec.json.encode(value)
    headers = [JSON_TYPE, ("Content-Length", str(len(body)))]
    start_response(status_line(status), headers)
    return [body]


def read_body(environ) -> bytes:
    """Returns the whole body of a WSGI request."""
    return environ["wsgi.input"].read()


class HttpServer(application.BaseComponent):
    """A WSGI server with a bounded pool of connections."""

    def __init__(
        self,
        host: str,
        port: int,
        app: WsgiApp,
        max_connections: int = 1_000,
        handler_class=pywsgi.WSGIHandler,
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

    @property
    def port(self) -> int:
        """The port in use, known after `start`."""
        return self._server.server_port

    def start(self) -> None:
        """Binds the address and begins to accept connections.

        Accepted connections inherit `TCP_NODELAY`: the head and the body of
        an answer are sent apart, and the body must not wait for the
        acknowledgement of the head.
        """
        self._server.init_socket()
        self._server.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._server.start()

    def stop(self) -> None:
        """Closes the listener and ends the remaining handlers."""
        self._server.stop(timeout=0)
        self._handlers.kill(block=True, timeout=1)
        gevent.sleep(0)
