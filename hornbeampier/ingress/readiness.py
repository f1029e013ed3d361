"""Tells the balancer whether this VM takes new connections."""

from collections.abc import Callable

from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import handlers

READY = 200
NOT_READY = 503


class ReadinessHandler(handlers.SmallRequestHandler):
    """Answers every request with the state of readiness."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def respond(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Writes the answer to the balancer."""
        status = READY if self._is_ready() else NOT_READY
        handlers.respond_empty(conn, status)
