"""Answers peers and tools on the address for control."""

from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import callers
from hornbeampier.replication import relay
from hornbeampier.routing import model


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
