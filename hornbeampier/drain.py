"""Graceful shutdown of a VM: every request that reached it gets a response.

The order of the steps matters. Closing a listening socket resets the
connections that the kernel has accepted and the program has not, so the
listener stays open until no connection has arrived for a while. Requests that
arrive meanwhile are refused.
"""

from collections.abc import Callable

import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import settings
from hornbeampier import wsgi
from hornbeampier.callers import server

POLL_MS = 10.0
# Time for requests aborted at the drain timeout to write their last event.
ABORT_MS = 1_000.0
# The listener closes once no connection has arrived for this long.
QUIET_MS = 100.0
MAX_QUIET_WAIT_MS = 2_000.0
# Time for an accepted connection to send its first request.
LINGER_MS = 1_000.0


class Drain(application.BaseComponent):
    """Drains the callers' listener."""

    def __init__(
        self,
        app: server.CallerApp,
        http: wsgi.HttpServer,
        clk: clock.Clock,
        cfg: settings.DrainSettings,
    ):
        self._app = app
        self._http = http
        self._clock = clk
        self._cfg = cfg
        self._log = structlog.get_logger(task="drain")

    def drain(self) -> None:
        """Reports not ready, finishes the open requests, then closes."""
        self._app.not_ready = True
        self._clock.sleep(self._cfg.notice_ms)
        self._app.draining = True
        self._wait(lambda: not self._app.open_requests, self._cfg.timeout_ms)
        if self._app.open_requests:
            self._log.warning("drain_timeout", open=self._app.open_requests)
            self._app.abort_requests()
            self._wait(lambda: not self._app.open_requests, ABORT_MS)
        self._empty_backlog()
        self._http.close_listener()
        self._wait(self._close_connections, LINGER_MS)
        self._http.close_idle()
        self._wait(lambda: not self._http.connections, ABORT_MS)

    def _empty_backlog(self) -> None:
        """Waits until the backlog stays empty for `QUIET_MS`.

        The wait ends after `MAX_QUIET_WAIT_MS` at the latest.
        """
        end_ms = self._clock.now() + MAX_QUIET_WAIT_MS
        last_pending_ms = self._clock.now()
        while self._clock.now() < end_ms:
            if self._http.has_pending_connection():
                last_pending_ms = self._clock.now()
                self._http.close_idle(wsgi.USED_ONLY)
            elif self._clock.now() - last_pending_ms >= QUIET_MS:
                return
            self._clock.sleep(POLL_MS)

    def _close_connections(self) -> bool:
        """Closes idle connections; returns whether no connection is left."""
        self._http.close_idle(wsgi.USED_ONLY)
        return not self._http.connections

    def _wait(self, done: Callable[[], bool], timeout_ms: float) -> None:
        end_ms = self._clock.now() + timeout_ms
        while not done() and self._clock.now() < end_ms:
            self._clock.sleep(POLL_MS)
