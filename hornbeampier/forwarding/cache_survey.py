"""Queries the engines for their cached segments after a restart.

When all VMs restart at once, the estimates of the engines' prefix caches are
lost. Each VM then queries its shard of the engines and gossips the results. The
shards depend on the members that the VM knows by then; a VM that knows no
member queries all engines.
"""

from collections.abc import Callable

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.forwarding import connection_pool
from hornbeampier.http1 import client
from hornbeampier.platform import announcements as announcement_headers
from hornbeampier.platform import cache_lists
from hornbeampier.platform import names
from hornbeampier.routing import announcements
from hornbeampier.routing import catalog
from hornbeampier.routing import fleet
from hornbeampier.routing import placements
from hornbeampier.routing import route_table

# Time for the VMs to discover each other after a start.
SETTLE_MS = 350.0
POLL_MS = 50.0
CALL_TIMEOUT_MS = 1_000.0


class CacheSurvey(application.TaskComponent):
    """Queries this VM's shard of the engines once."""

    def __init__(
        self,
        host: str,
        live_members: Callable[[], list[str]],
        fleet: fleet.Fleet,
        catalog: catalog.Catalog,
        connection_pool: connection_pool.ConnectionPool,
        placements: placements.Placements,
        announcements: announcements.Announcements,
        clock: clocks.Clock,
    ):
        super().__init__()
        self._host = host
        self._live_members = live_members
        self._fleet = fleet
        self._catalog = catalog
        self._connection_pool = connection_pool
        self._placements = placements
        self._announcements = announcements
        self._clock = clock
        self._log = structlog.get_logger(task="cache_survey")

    def run(self) -> None:
        """Waits for configuration, endpoints and members, then queries."""
        while self._catalog.cfg is None or not self._fleet.all():
            self._clock.sleep(POLL_MS)
        self._clock.sleep(SETTLE_MS)
        hosts = [self._host, *self._live_members()]
        for state in self._fleet.all():
            if self._is_serving_engine(state) and self._is_in_shard(
                state, hosts
            ):
                self._query(state)

    def _is_serving_engine(self, state: fleet.EndpointState) -> bool:
        service = state.endpoint.service
        traits = self._catalog.engine_traits(service)
        return traits is not None and state.serves(service)

    def _is_in_shard(
        self, state: fleet.EndpointState, hosts: list[str]
    ) -> bool:
        def rank(host: str) -> float:
            return route_table.uniform_hash(f"{state.id}/{host}")

        return max(hosts, key=rank) == self._host

    def _query(self, state: fleet.EndpointState) -> None:
        try:
            body = self._fetch_list(state)
            segments = cache_lists.decode(body)
        except (*client.TRANSPORT_ERRORS, errors.PlatformError) as exc:
            self._log.warning(
                "cache_list_failed", endpoint=state.id, error=str(exc)
            )
            return
        except Exception:
            self._log.exception("cache_list_failed", endpoint=state.id)
            return
        self._placements.record_cache_list(state, segments)
        self._log.info("cache_listed", endpoint=state.id, parts=len(segments))

    def _fetch_list(self, state: fleet.EndpointState) -> bytes:
        deadline_ms = self._clock.now() + CALL_TIMEOUT_MS
        conn = self._connection_pool.acquire(state.endpoint, request_id="")
        try:
            # Connecting may have taken a while.
            if not self._is_serving_engine(state):
                raise errors.PlatformError("the engine has left or is leaving")
            if not self._announcements.take(state.endpoint):
                raise errors.PlatformError("the engine wants fewer requests")
            sent_ms = self._clock.now()
            head = cache_lists.encode_request(state.endpoint)
            # The call has no id: a response with one is to another request.
            response = conn.call(
                head,
                deadline_ms,
                cache_lists.MAX_BYTES,
                id_header=names.REQUEST_ID,
            )
        finally:
            conn.close()
        announcement = announcement_headers.decode(response.head)
        if announcement is not None:
            self._announcements.record(
                state.endpoint, announcement, "", sent_ms
            )
        if response.status != 200:
            raise errors.PlatformError(
                f"the engine responded with status {response.status}"
            )
        return response.body
