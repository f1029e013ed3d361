"""Graceful shutdown: lets open requests finish before the VM stops."""

from typing import Protocol

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.ingress import caller_handler

# How long connections may take to close whose requests are ended at the time
# limit: an answer may be lost if its caller has not yet sent all of its body.
ABORT_MS = 300.0
# How long the load balancer may still send new connections to an unready VM.
DEREGISTRATION_DELAY_MS = 2_500.0
# After this fraction of the grace time, requests are refused if their deadline
# is later than the drain's time limit.
REFUSE_AFTER_FRACTION = 0.34
# Time limit of the drain as a fraction of the grace time; requests may still be
# open then.
END_AFTER_FRACTION = 0.88
POLL_MS = 50.0


class DrainableListener(Protocol):
    """A listener and its open connections."""

    connections: int

    def close_listener(self) -> None:
        """Stops accepting connections."""
        ...

    def close_idle(self) -> None:
        """Closes the connections that are waiting for a request."""
        ...


class GracefulShutdown(application.BaseComponent):
    """Closes the callers' connections before the grace time has passed."""

    def __init__(
        self,
        handler: caller_handler.CallerHandler,
        listener: DrainableListener,
        clock: clocks.Clock,
        grace_ms: float,
    ):
        self._handler = handler
        self._listener = listener
        self._clock = clock
        self._grace_ms = grace_ms
        self._log = structlog.get_logger(task="shutdown")

    def drain(self) -> None:
        """Returns once no connection is open, or at the drain's time limit."""
        started_ms = self._clock.now()
        end_ms = started_ms + self._grace_ms * END_AFTER_FRACTION
        self._handler.begin_drain(end_ms)
        self._clock.sleep(DEREGISTRATION_DELAY_MS)
        refuse_ms = started_ms + self._grace_ms * REFUSE_AFTER_FRACTION
        self._close_connections(refuse_ms, end_ms)
        self._listener.close_listener()
        # Closing accepted the backlog; these connections are drained too.
        self._close_connections(refuse_ms, end_ms)
        self._end_open_requests()
        self._log.info(
            "drained",
            open_requests=self._handler.open_requests,
            connections=self._listener.connections,
            took_ms=round(self._clock.now() - started_ms),
        )

    def _close_connections(self, refuse_ms: float, end_ms: float) -> None:
        """Closes idle connections until none is open or `end_ms` is reached."""
        while self._listener.connections and self._clock.now() < end_ms:
            if self._clock.now() >= refuse_ms:
                self._handler.refuse_late(end_ms)
            self._listener.close_idle()
            self._clock.sleep(POLL_MS)

    def _end_open_requests(self) -> None:
        """Lets callers know what has become of requests that are open."""
        if not self._handler.open_requests:
            return
        self._log.warning("requests_ended", open=self._handler.open_requests)
        self._handler.abort_requests()
        end_ms = self._clock.now() + ABORT_MS
        while self._listener.connections and self._clock.now() < end_ms:
            self._clock.sleep(POLL_MS)
