"""Proves at which software version a stream began.

An endpoint may start again with another version, and run streams before its new
entry has been read. Such a stream looks as if the version before had begun it.
"""

from hornbeampier import clock as clocks
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import process_check
from hornbeampier.routing import catalog as catalogs
from hornbeampier.routing import domain
from hornbeampier.routing import freshness as freshnesses
from hornbeampier.routing import stream_origins

# Stands for the id of a question that carries none.
SURVEY_ID = "survey"


class BeginProof:
    """Proves which process of an endpoint has begun a stream."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        freshness: freshnesses.Freshness,
        catalog: catalogs.Catalog,
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            pool: Connections to endpoints.
            freshness: Confirms that this VM knows the newest entries.
            catalog: The entries that this VM has read.
            clock: The clock.
        """
        self._pool = pool
        self._freshness = freshness
        self._catalog = catalog
        self._clock = clock

    def is_proved(
        self,
        endpoint: domain.Endpoint,
        process: domain.ProcessId | None,
        deadline_ms: float,
    ) -> bool:
        """Whether a stream began at the software version of an entry.

        The stream was sent to the endpoint after the entry had been written.
        The process that began it told which one it was; if that is another one
        than that of the entry, its own entry has to name the same version. If
        the process of the entry still runs, it has begun the stream, as an
        endpoint has one process at a time. If another one runs, its entry has
        to name the same version. If it runs and does not tell which one it is,
        nothing is proved. If no process runs, the one that began the stream has
        to have told.

        Args:
            endpoint: The entry by which the endpoint was chosen.
            process: The process that began the stream; None if it did not tell.
            deadline_ms: When to give up, on the monotonic clock.
        """
        if not endpoint.started_ms:
            return True
        if process is not None and process != endpoint.process_id:
            return (
                self._freshness.request().wait()
                and self._has_restarted_unchanged(endpoint, process[1])
            )
        try:
            running_ms = self._ask_started_ms(endpoint, deadline_ms)
        except process_check.UnprovedProcessError:
            return False
        if running_ms == endpoint.started_ms:
            return True
        if not self._freshness.request().wait():
            return False
        if running_ms is None:
            return process is not None and self._has_no_other_version(
                endpoint.id, endpoint.software_version
            )
        return self._has_restarted_unchanged(endpoint, running_ms)

    def is_record_proved(
        self, process: domain.ProcessId, version: str, deadline_ms: float
    ) -> bool:
        """Whether a recorded stream began at the version of its record.

        Args:
            process: The process of the record.
            version: The recorded software version.
            deadline_ms: When to give up, on the monotonic clock.
        """
        endpoint_id, _ = process
        current = self._catalog.endpoints.get(endpoint_id)
        if current is not None and current.process_id == process:
            return self.is_proved(current, process, deadline_ms)
        if current is None and not self._freshness.request().wait():
            return False
        return self._has_no_other_version(endpoint_id, version)

    def find_origin(
        self, process: domain.ProcessId
    ) -> stream_origins.Origin | None:
        """Returns the origin of a process's streams; None without its entry."""
        if not self._freshness.request().wait():
            return None
        current = self._catalog.endpoints.get(process[0])
        if current is None or current.process_id != process:
            return None
        return stream_origins.of_endpoint(current)

    def may_run_other_version(
        self, endpoint: domain.Endpoint, deadline_ms: float
    ) -> bool:
        """Whether another process runs than that of an entry.

        It is not one whose own entry names the same version. An endpoint that
        does not tell, or has ended, is taken to run none.
        """
        if not endpoint.started_ms or endpoint.leaving:
            return False
        try:
            conn = self._pool.acquire(endpoint, SURVEY_ID)
        except OSError:
            # Its process has ended.
            return False
        try:
            process_check.check(conn, endpoint, deadline_ms, self._clock)
        except process_check.OtherProcessError as exc:
            conn.close()
            return not (
                self._freshness.request().wait()
                and self._has_restarted_unchanged(endpoint, exc.started_ms)
            )
        except process_check.UnprovedProcessError:
            conn.close()
            return False
        conn.carried.discard(hash(SURVEY_ID))
        self._pool.release(endpoint, conn, None)
        return False

    def _ask_started_ms(
        self, endpoint: domain.Endpoint, deadline_ms: float
    ) -> int | None:
        """Returns when the running process started; None if none runs.

        An endpoint that leaves, or has no entry any more, is not called.

        Raises:
            process_check.UnprovedProcessError: It runs and does not tell.
        """
        current = self._catalog.endpoints.get(endpoint.id)
        if current is None or current.leaving:
            return None
        if not self._pool.probe(endpoint):
            return None
        try:
            conn = self._pool.acquire(endpoint, "")
        except OSError:
            # The endpoint has ended since the probe.
            return None
        try:
            process_check.check(conn, endpoint, deadline_ms, self._clock)
        except process_check.OtherProcessError as exc:
            return exc.started_ms
        except process_check.UnprovedProcessError:
            if self._pool.probe(endpoint):
                raise
            # It has ended meanwhile.
            return None
        finally:
            conn.close()
        return endpoint.started_ms

    def _has_restarted_unchanged(
        self, endpoint: domain.Endpoint, running_ms: int
    ) -> bool:
        """Whether the entry of another process names the same version."""
        current = self._catalog.endpoints.get(endpoint.id)
        return (
            current is not None
            and current.started_ms == running_ms
            and current.software_version == endpoint.software_version
        )

    def _has_no_other_version(self, endpoint_id: str, version: str) -> bool:
        """Whether the newest entry of an endpoint, if any, has a version."""
        current = self._catalog.endpoints.get(endpoint_id)
        return current is None or current.software_version == version
