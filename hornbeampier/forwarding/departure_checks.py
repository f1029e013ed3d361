"""Checks endpoints that started again after it was announced that they leave.

Responses do not name the process that sent them, so the new process of an
endpoint may be the one that announced that it leaves. A health check tells, and
the VMs gossip its result. They take their turns one after another, so that
mostly one of them makes the check.
"""

from collections.abc import Callable
from collections.abc import Collection

import structlog

from hornbeampier import application
from hornbeampier.forwarding import context as contexts
from hornbeampier.http1 import client
from hornbeampier.platform import announcements as announcement_headers
from hornbeampier.platform import health_checks
from hornbeampier.platform import names
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import rendezvous

POLL_MS = 100.0
CALL_TIMEOUT_MS = 500.0
# Time that each VM leaves to those that rank before it.
TURN_MS = 400.0
# VMs beyond this rank have the same turn.
MAX_RANK = 16
# Time to the next check of an endpoint that gave no proof; it doubles.
FIRST_RETRY_MS = 500.0
MAX_RETRY_MS = 8_000.0


class DepartureChecks(application.TaskComponent):
    """Makes the health checks that are this VM's turn."""

    def __init__(
        self,
        context: contexts.Context,
        fleet: fleet.Fleet,
        host: str,
        peer_hosts: Callable[[], Collection[str]],
    ):
        super().__init__()
        self._context = context
        self._fleet = fleet
        self._host = host
        self._peer_hosts = peer_hosts
        self._clock = context.clock
        self._due_ms: dict[domain.ProcessId, float] = {}
        self._retry_ms: dict[domain.ProcessId, float] = {}
        self._log = structlog.get_logger(task="departure_checks")

    def run(self) -> None:
        """Checks endpoints until killed."""
        while True:
            self._clock.sleep(POLL_MS)
            self.check_due()

    def check_due(self) -> None:
        """Checks the endpoints whose time has come, one after another."""
        endpoints = self._fleet.in_doubt()
        process_ids = {endpoint.process_id for endpoint in endpoints}
        for process_id in self._due_ms.keys() - process_ids:
            del self._due_ms[process_id]
            self._retry_ms.pop(process_id, None)
        for endpoint in endpoints:
            process_id = endpoint.process_id
            if process_id not in self._due_ms:
                self._due_ms[process_id] = self._first_due_ms(endpoint)
            if self._is_due(endpoint):
                self._check(endpoint)

    def _first_due_ms(self, endpoint: domain.Endpoint) -> float:
        hosts = {self._host, *self._peer_hosts()}
        first = rendezvous.rank(endpoint.id, hosts, MAX_RANK)
        turn = first.index(self._host) if self._host in first else MAX_RANK
        return self._clock.now() + turn * TURN_MS

    def _is_due(self, endpoint: domain.Endpoint) -> bool:
        """Whether to check it now; an earlier check may have taken a while."""
        announcements = self._context.announcements
        return (
            self._clock.now() >= self._due_ms[endpoint.process_id]
            and announcements.is_in_doubt(endpoint)
            and not announcements.opens_in_ms(endpoint)
        )

    def _check(self, endpoint: domain.Endpoint) -> None:
        process_id = endpoint.process_id
        asked_ms = self._clock.now()
        is_serving = self._is_serving(endpoint, asked_ms)
        self._log.info(
            "departure_checked", endpoint=endpoint.id, serving=is_serving
        )
        if is_serving:
            self._context.announcements.record_serving(endpoint, asked_ms)
            return
        retry_ms = self._retry_ms.get(process_id, FIRST_RETRY_MS)
        self._retry_ms[process_id] = min(2 * retry_ms, MAX_RETRY_MS)
        self._due_ms[process_id] = self._clock.now() + retry_ms

    def _is_serving(self, endpoint: domain.Endpoint, asked_ms: float) -> bool:
        cfg = self._context.catalog.cfg
        service = cfg and cfg.services.get(endpoint.service)
        if service is None:
            return False
        request = health_checks.encode_request(endpoint, service.health_path)
        try:
            conn = self._context.connection_pool.acquire(endpoint, "")
            try:
                deadline_ms = self._clock.now() + CALL_TIMEOUT_MS
                conn.send(request, b"", deadline_ms)
                # The body tells nothing.
                head = conn.read_head(deadline_ms, names.REQUEST_ID)
            finally:
                conn.close()
        except client.TRANSPORT_ERRORS:
            return False
        announcement = announcement_headers.decode(head)
        if announcement is not None:
            self._context.announcements.record(
                endpoint, announcement, "", asked_ms
            )
        return health_checks.is_serving(head, endpoint)
