"""Connections to endpoints, kept for reuse while that is safe."""

import collections
import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.http1 import client
from hornbeampier.http1 import sockets
from hornbeampier.routing import domain
from hornbeampier.routing import fleet

CONNECT_TIMEOUT_MS = 400.0
# How long a lost endpoint may take to accept a connection.
PROBE_TIMEOUT_MS = 150.0
# An endpoint that tells no time may close idle connections within a second.
DEFAULT_IDLE_MS = 500.0
# Part of the told time after which a connection is no longer used.
IDLE_SHARE = 0.5

Incarnation = tuple[str, int, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    """A connection that waits for its next request."""

    conn: client.ClientConnection
    until_ms: float


class ConnectionPool:
    """The idle connections to all endpoints."""

    def __init__(self, fleet: fleet.Fleet, clock: clocks.Clock):
        self._fleet = fleet
        self._clock = clock
        self._idle: dict[Incarnation, collections.deque[_Idle]] = {}

    def acquire(self, endpoint: domain.Endpoint) -> client.ClientConnection:
        """Returns an open connection; raises OSError if there is none."""
        idle = self._idle.get(endpoint.incarnation)
        now_ms = self._clock.now()
        while idle:
            found = idle.pop()
            if now_ms < found.until_ms and found.conn.has_no_input():
                return found.conn
            found.conn.close()
        sock = sockets.connect(endpoint.host, endpoint.port, CONNECT_TIMEOUT_MS)
        return client.ClientConnection(sock, self._clock)

    def probe(self, endpoint: domain.Endpoint) -> bool:
        """Whether the endpoint accepts a connection; keeps it for use."""
        try:
            sock = sockets.connect(
                endpoint.host, endpoint.port, PROBE_TIMEOUT_MS
            )
        except OSError:
            # The answer to the question that the probe asks.
            return False
        conn = client.ClientConnection(sock, self._clock)
        self._keep(endpoint, conn, DEFAULT_IDLE_MS)
        return True

    def release(
        self,
        endpoint: domain.Endpoint,
        conn: client.ClientConnection,
        keep_alive_ms: float | None,
    ) -> None:
        """Keeps a connection whose response is complete for the next one."""
        if keep_alive_ms is None:
            keep_alive_ms = DEFAULT_IDLE_MS
        if not conn.is_reusable():
            conn.close()
            return
        self._keep(endpoint, conn, keep_alive_ms)

    def expire(self) -> None:
        """Closes connections that are too old or whose endpoint is gone."""
        now_ms = self._clock.now()
        known = {state.endpoint.incarnation for state in self._fleet.all()}
        for incarnation, idle in list(self._idle.items()):
            is_known = incarnation in known
            while idle and (not is_known or idle[0].until_ms <= now_ms):
                idle.popleft().conn.close()
            if not idle:
                del self._idle[incarnation]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for found in idle:
                found.conn.close()
        self._idle.clear()

    def _keep(
        self,
        endpoint: domain.Endpoint,
        conn: client.ClientConnection,
        keep_alive_ms: float,
    ) -> None:
        until_ms = self._clock.now() + keep_alive_ms * IDLE_SHARE
        idle = self._idle.setdefault(endpoint.incarnation, collections.deque())
        idle.append(_Idle(conn, until_ms))
