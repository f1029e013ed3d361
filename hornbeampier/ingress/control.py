"""Answers peers and tools on the address for control."""

from collections.abc import Callable

from hornbeampier import node_metrics
from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import callers
from hornbeampier.replication import relay
from hornbeampier.routing import model


class MetricsHandler:
    """Serves the metrics of this process."""

    def __init__(self, render: Callable[[], bytes]):
        self._render = render

    def limits(self) -> model.Limits:
        """Returns the bounds on requests for metrics."""
        return callers.INITIAL_LIMITS

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Answers a request for metrics."""
        limits = self.limits()
        conn.read_body(limits.body_bytes, limits.header_timeout_ms)
        if head.path != node_metrics.PATH:
            conn.respond(404, [(b"Content-Length", b"0")], b"")
            return True
        body = self._render()
        conn.respond(
            200,
            [
                (b"Content-Type", b"text/plain; version=0.0.4"),
                (b"Content-Length", b"%d" % len(body)),
            ],
            body,
        )
        return True


class ControlHandler:
    """Serves records to peers."""

    def __init__(self, relay: relay.RelayHandler):
        self._relay = relay

    def limits(self) -> model.Limits:
        """Returns the bounds on requests of peers."""
        return callers.INITIAL_LIMITS

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Answers a request; peers ask once on a connection."""
        limits = self.limits()
        conn.read_body(limits.body_bytes, limits.header_timeout_ms)
        conn.closes_after = True
        if head.path == relay.PATH:
            self._relay.respond(conn, head)
        else:
            conn.respond(404, [(b"Content-Length", b"0")], b"")
        return False
