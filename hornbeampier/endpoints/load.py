"""Polls the load reports of the endpoints."""

from collections.abc import Callable

import gevent
import msgspec

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import registry

LOAD_PATH = "/load"
INTERVAL_MS = 1_000.0


class LoadPoller(application.BaseComponent):
    """Runs one polling task for each endpoint of the registry."""

    def __init__(
        self,
        endpoints: registry.Registry,
        clock: clock.Clock,
        on_report: Callable[[], None],
        interval_ms: float = INTERVAL_MS,
    ):
        self._endpoints = endpoints
        self._clock = clock
        self._on_report = on_report
        self._interval_ms = interval_ms
        self._tasks: dict[str, gevent.Greenlet] = {}
        endpoints.subscribe(self._sync)

    def _sync(self) -> None:
        """Starts tasks for new endpoints and ends those of removed ones."""
        states = {s.name: s for s in self._endpoints.all()}
        for name in set(self._tasks) - set(states):
            self._tasks.pop(name).kill(block=False)
        for name, state in states.items():
            if name not in self._tasks:
                self._tasks[name] = gevent.spawn(self._poll, state.name)

    def _poll(self, name: str) -> None:
        while True:
            state = self._endpoints.find(name)
            if state is None:
                return
            self._fetch_report(state)
            self._clock.sleep(self._interval_ms)

    def _fetch_report(self, state: registry.EndpointState) -> None:
        req = http_client.OutgoingRequest("GET", LOAD_PATH)
        try:
            status, body = state.http_client.call(req)
        except errors.AttemptError:
            return
        if status != 200:
            return
        try:
            report = msgspec.json.decode(body, type=messages.LoadReport)
        except errors.DECODE_ERRORS:
            return
        self._endpoints.record_report(state, report)
        self._on_report()

    def stop(self) -> None:
        """Ends all polling tasks."""
        gevent.killall(list(self._tasks.values()))
        self._tasks.clear()
