"""Connection pool: idle connections to endpoints that may be reused."""

import collections
from collections.abc import Callable
import dataclasses
import functools

from gevent import socket

from hornbeampier import clock as clocks
from hornbeampier.forwarding import refusal_log
from hornbeampier.http1 import client
from hornbeampier.http1 import sockets
from hornbeampier.routing import domain
from hornbeampier.routing import fleet

CONNECT_TIMEOUT_MS = 400.0
# Connect timeout of the probe that tells whether an endpoint has crashed.
PROBE_TIMEOUT_MS = 150.0
# Assumed keep-alive time of an endpoint that declares none; such an endpoint
# may close idle connections within a second.
DEFAULT_KEEP_ALIVE_MS = 500.0
# Fraction of the endpoint's keep-alive time after which an idle connection is
# no longer used.
KEEP_ALIVE_FRACTION = 0.5
# Requests for which a connection is used. Their ids are remembered.
MAX_REQUESTS = 500

Incarnation = tuple[str, int, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    """An idle connection, which may be reused until it expires."""

    conn: client.ClientConnection
    expires_ms: float


def _ignore(endpoint: domain.Endpoint, reason: str) -> None:
    """Default `on_oversized`: does nothing."""


class ConnectionPool:
    """The idle connections to all endpoints, by incarnation.

    Attributes:
        refusals: The recent refusals that came over its connections.
    """

    def __init__(
        self,
        fleet: fleet.Fleet,
        clock: clocks.Clock,
        on_oversized: Callable[[domain.Endpoint, str], None] = _ignore,
    ):
        """Creates a pool.

        Args:
            fleet: The endpoints.
            clock: The clock.
            on_oversized: Called with an endpoint that has sent more than a
                response may hold, and the reason.
        """
        self._fleet = fleet
        self._clock = clock
        self._on_oversized = on_oversized
        self._idle: dict[Incarnation, collections.deque[_IdleConnection]] = {}
        self.refusals = refusal_log.RefusalLog()

    def acquire(
        self, endpoint: domain.Endpoint, request_id: str
    ) -> client.ClientConnection:
        """Returns an idle or a new connection for a request.

        A late copy of an earlier response on a connection is told apart by its
        id. So a request without an id, or with that of an earlier request on
        the connection, gets a new connection.

        Raises:
            OSError: The endpoint did not accept a new connection.
        """
        if request_id:
            conn = self._take_idle(endpoint, request_id)
            if conn is not None:
                return conn
        sock = sockets.connect(endpoint.host, endpoint.port, CONNECT_TIMEOUT_MS)
        conn = self._connection(sock, endpoint)
        conn.carried.add(hash(request_id))
        return conn

    def probe(self, endpoint: domain.Endpoint) -> bool:
        """Whether the endpoint accepts a connection, which is then pooled."""
        try:
            sock = sockets.connect(
                endpoint.host, endpoint.port, PROBE_TIMEOUT_MS
            )
        except OSError:
            # Not an error: this is the negative result of the probe.
            return False
        conn = self._connection(sock, endpoint)
        self._keep(endpoint, conn, DEFAULT_KEEP_ALIVE_MS)
        return True

    def release(
        self,
        endpoint: domain.Endpoint,
        conn: client.ClientConnection,
        keep_alive_ms: float | None,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        It is closed instead if it cannot be reused.
        """
        if keep_alive_ms is None:
            keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        if not conn.is_reusable() or len(conn.carried) >= MAX_REQUESTS:
            conn.close()
            return
        self._keep(endpoint, conn, keep_alive_ms)

    def expire(self) -> None:
        """Closes connections that have expired or whose endpoint is gone."""
        now_ms = self._clock.now()
        known_incarnations = {
            state.endpoint.incarnation for state in self._fleet.all()
        }
        for incarnation, idle_conns in list(self._idle.items()):
            is_known = incarnation in known_incarnations
            while idle_conns and (
                not is_known or idle_conns[0].expires_ms <= now_ms
            ):
                idle_conns.popleft().conn.close()
            if not idle_conns:
                del self._idle[incarnation]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle_conns in self._idle.values():
            for idle_conn in idle_conns:
                idle_conn.conn.close()
        self._idle.clear()

    def _connection(
        self, sock: socket.socket, endpoint: domain.Endpoint
    ) -> client.ClientConnection:
        return client.ClientConnection(
            sock,
            self._clock,
            functools.partial(self._on_oversized, endpoint),
        )

    def _take_idle(
        self, endpoint: domain.Endpoint, request_id: str
    ) -> client.ClientConnection | None:
        idle_conns = self._idle.get(endpoint.incarnation)
        now_ms = self._clock.now()
        while idle_conns:
            idle_conn = idle_conns.pop()
            conn = idle_conn.conn
            if (
                now_ms < idle_conn.expires_ms
                and hash(request_id) not in conn.carried
                and conn.has_no_input()
            ):
                conn.carried.add(hash(request_id))
                return conn
            conn.close()
        return None

    def _keep(
        self,
        endpoint: domain.Endpoint,
        conn: client.ClientConnection,
        keep_alive_ms: float,
    ) -> None:
        expires_ms = self._clock.now() + keep_alive_ms * KEEP_ALIVE_FRACTION
        idle_conns = self._idle.setdefault(
            endpoint.incarnation, collections.deque()
        )
        idle_conns.append(_IdleConnection(conn, expires_ms))
