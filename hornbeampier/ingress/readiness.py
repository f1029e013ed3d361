"""The readiness probe of the load balancer."""

from collections.abc import Callable

from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import handlers

READY = 200
NOT_READY = 503


class ReadinessHandler(handlers.SmallRequestHandler):
    """Responds with 200 if the VM is ready for new connections, else 503."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def respond(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Writes the readiness status."""
        status = READY if self._is_ready() else NOT_READY
        handlers.respond_empty(conn, status)
