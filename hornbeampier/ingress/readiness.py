"""Tells the balancer whether this VM takes new connections."""

from collections.abc import Callable

from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import callers
from hornbeampier.routing import model

READY = 200
NOT_READY = 503


class ReadinessHandler:
    """Answers every request with the state of readiness."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def limits(self) -> model.Limits:
        """Returns the bounds on the balancer's requests."""
        return callers.INITIAL_LIMITS

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Answers a request of the balancer."""
        limits = self.limits()
        conn.read_body(limits.body_bytes, limits.header_timeout_ms)
        status = READY if self._is_ready() else NOT_READY
        conn.respond(status, [(b"Content-Length", b"0")], b"")
        return True
