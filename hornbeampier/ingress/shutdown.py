"""Stops a VM without cutting off a request."""

from typing import Protocol

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.ingress import callers

# Until then the balancer may still send new connections.
BALANCER_MS = 2_500.0
# Part of the grace time after which new requests are refused.
REFUSE_SHARE = 0.55
# Part of the grace time after which the process ends.
END_SHARE = 0.88
POLL_MS = 50.0


class Connections(Protocol):
    """The connections of callers."""

    connections: int

    def close_listener(self) -> None:
        """Accepts no more connections."""
        ...

    def end_idle(self) -> None:
        """Closes the connections that wait for a request."""
        ...


class GracefulShutdown(application.BaseComponent):
    """Drains the callers' connections within the grace time."""

    def __init__(
        self,
        handler: callers.CallerHandler,
        connections: Connections,
        clock: clocks.Clock,
        grace_ms: float,
    ):
        self._handler = handler
        self._connections = connections
        self._clock = clock
        self._grace_ms = grace_ms
        self._log = structlog.get_logger(task="shutdown")

    def drain(self) -> None:
        """Returns when no request is open, or when the time is up."""
        started_ms = self._clock.now()
        self._handler.draining = True
        self._wait(started_ms + BALANCER_MS)
        self._connections.end_idle()
        end_ms = started_ms + self._grace_ms * END_SHARE
        refuse_ms = started_ms + self._grace_ms * REFUSE_SHARE
        while self._clock.now() < end_ms and not self._is_done():
            self._handler.refusing = self._clock.now() >= refuse_ms
            self._connections.end_idle()
            self._clock.sleep(POLL_MS)
        self._log.info(
            "drained",
            open_requests=self._handler.open_requests,
            connections=self._connections.connections,
            took_ms=round(self._clock.now() - started_ms),
        )
        self._connections.close_listener()

    def _wait(self, until_ms: float) -> None:
        self._clock.sleep(max(0.0, until_ms - self._clock.now()))

    def _is_done(self) -> bool:
        return (
            self._handler.open_requests == 0
            and self._connections.connections == 0
        )
