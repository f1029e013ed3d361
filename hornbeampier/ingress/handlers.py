"""Base class for handlers of requests that do not come from callers."""

from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.routing import domain

LIMITS = domain.Limits(
    header_bytes=16_384,
    body_bytes=65_536,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class SmallRequestHandler:
    """Reads a request with a small body and calls `respond`."""

    def limits(self) -> domain.Limits:
        """Returns the limits for the next request."""
        return LIMITS

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Serves a request; `conn` may always carry another."""
        conn.read_body(
            LIMITS.body_bytes,
            LIMITS.header_timeout_ms,
            LIMITS.header_timeout_ms,
        )
        self.respond(conn, head)
        return True

    def respond(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Writes the response; implemented by subclasses."""
        raise NotImplementedError


def respond_empty(conn: server.ServerConnection, status: int) -> None:
    """Writes a response without a body."""
    conn.respond(status, [(b"Content-Length", b"0")], b"")
