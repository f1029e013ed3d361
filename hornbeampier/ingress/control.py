"""Handlers of requests for metrics and of requests from peers."""

from collections.abc import Callable

from hornbeampier import node_metrics
from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import handlers
from hornbeampier.replication import relay

NOT_FOUND = 404


class MetricsHandler(handlers.SmallRequestHandler):
    """Serves the metrics of this process in Prometheus text format."""

    def __init__(self, render: Callable[[], bytes]):
        self._render = render

    def respond(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Writes the metrics."""
        if head.path != node_metrics.PATH:
            handlers.respond_empty(conn, NOT_FOUND)
            return
        body = self._render()
        headers = [
            (b"Content-Type", b"text/plain; version=0.0.4"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        conn.respond(200, headers, body)


class ControlHandler(handlers.SmallRequestHandler):
    """Serves stored records to peers, one request per connection."""

    def __init__(self, relay: relay.RelayHandler):
        self._relay = relay

    def respond(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Writes the records that the peer requested."""
        conn.close_after_response = True
        if head.path == relay.PATH:
            self._relay.respond(conn, head)
        else:
            handlers.respond_empty(conn, NOT_FOUND)
