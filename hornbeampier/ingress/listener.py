"""Accepts connections and serves their requests one at a time."""

from collections.abc import Sequence
import contextlib
from typing import Protocol

import gevent
from gevent import pool
from gevent import server as gevent_server
from gevent import socket
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import connection_places
from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier.http1 import caller_watch
from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.http1 import sockets
from hornbeampier.platform import settings
from hornbeampier.routing import domain

BACKLOG = 1_024
# How long input is still read and discarded after a request was refused as
# malformed, too large or too slow, or after an unexpected error.
LINGER_MS = 500.0
# How long `stop` waits for the killed connection greenlets.
STOP_TIMEOUT_MS = 200.0
# Bounds how long `close_listener` waits for the backlog to be accepted.
MAX_ACCEPT_ROUNDS = 50
ACCEPT_ROUND_MS = 2.0


class Handler(Protocol):
    """Handles the requests that a listener receives."""

    def limits(self) -> domain.Limits:
        """Returns the limits for the next request."""
        ...

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Serves a request; returns whether another may follow on `conn`."""
        ...


class Listener(application.BaseComponent):
    """One listening socket and its connections."""

    def __init__(
        self,
        address: settings.Address,
        handler: Handler,
        clock: clocks.Clock,
        max_connections: int,
        budget: memory_budget.MemoryBudget,
    ):
        self._address = address
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._places = connection_places.Places(budget, max_connections)
        self._pool = pool.Pool(
            max_connections + connection_places.ENDING_CONNECTIONS
        )
        self._server: gevent_server.StreamServer | None = None
        self._open_connections: set[server.ServerConnection] = set()
        self._log = structlog.get_logger(task="listener", address=str(address))

    @property
    def connections(self) -> int:
        """The number of open connections, with or without a request."""
        return len(self._pool)

    @property
    def port(self) -> int:
        """The port in use, known after `start`."""
        return self._server.server_port

    def start(self) -> None:
        """Binds the address and starts accepting connections."""
        self._server = gevent_server.StreamServer(
            (self._address.host, self._address.port),
            self._serve_connection,
            backlog=BACKLOG,
            spawn=self._pool,
        )
        self._server.init_socket()
        # Accepted connections inherit it.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            memory_budget.KERNEL_INPUT_BYTES,
        )
        self._server.start()

    def close_listener(self) -> None:
        """Stops accepting connections; open connections stay open.

        Closing the socket would reset connections in its backlog, so these
        are accepted first.
        """
        for _ in range(MAX_ACCEPT_ROUNDS):
            if not sockets.is_readable(self._server.socket):
                break
            gevent.sleep(ACCEPT_ROUND_MS / clocks.MS_PER_SECOND)
        self._server.close()

    def close_idle(self) -> None:
        """Closes the connections that are waiting for a request."""
        for conn in list(self._open_connections):
            with contextlib.suppress(OSError):
                conn.close_idle()

    def stop(self) -> None:
        """Closes the listener and kills the greenlets of open connections."""
        if self._server is not None:
            self._server.close()
        self._pool.kill(
            block=True, timeout=STOP_TIMEOUT_MS / clocks.MS_PER_SECOND
        )

    def _serve_connection(self, sock: socket.socket, address) -> None:
        try:
            holder = self._places.take()
        except memory_budget.ReclaimedError:
            self._log.debug("connection_refused", peer=address[0])
            sock.close()
            return
        try:
            self._serve_requests(sock, address, holder)
        finally:
            self._places.leave(holder)

    def _serve_requests(
        self, sock: socket.socket, address, holder: memory_budget.Holder
    ) -> None:
        limits = self._handler.limits()
        sockets.configure(sock)
        conn = server.ServerConnection(
            sock, self._clock, limits.header_bytes, holder
        )
        self._open_connections.add(conn)
        try:
            while self._serve_request(conn):
                pass
            if conn.must_linger:
                self._linger(conn)
        except errors.ShutdownError:
            # The response was complete just before its request was ended.
            self._log.debug("connection_ended", peer=address[0])
        except caller_watch.CallerGoneError:
            self._log.debug("connection_lost", peer=address[0])
        except Exception:
            # The request may have run, so no response is sent that could state
            # the opposite.
            self._log.exception("internal_error", peer=address[0])
            conn.abort()
        finally:
            self._open_connections.discard(conn)
            conn.close()

    def _serve_request(self, conn: server.ServerConnection) -> bool:
        """Serves one request; returns whether another may follow."""
        limits = self._handler.limits()
        try:
            head = conn.read_head(
                limits.idle_timeout_ms,
                limits.header_timeout_ms,
                limits.header_bytes,
            )
            if head is None:
                return False
            reusable = self._handler.handle(conn, head)
        except server.BadRequestError as exc:
            self._log.info("bad_request", status=exc.status, error=str(exc))
            self._refuse(conn, exc.status)
            return False
        except memory_budget.ReclaimedError:
            # The request has not arrived completely, so it has not run.
            retry_s = self._budget.retry_after_ms() / clocks.MS_PER_SECOND
            self._refuse(conn, 503, [(b"Retry-After", b"%.3f" % retry_s)])
            return False
        return reusable and conn.prepare_next_request()

    def _refuse(
        self,
        conn: server.ServerConnection,
        status: int,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        conn.respond(
            status,
            [
                (b"Content-Length", b"0"),
                (b"Connection", b"close"),
                *headers,
            ],
            b"",
        )
        # Another connection is waiting for the place of one that has lost it.
        if not conn.has_lost_place:
            self._linger(conn)

    def _linger(self, conn: server.ServerConnection) -> None:
        with gevent.Timeout(LINGER_MS / clocks.MS_PER_SECOND, False):
            conn.linger()
