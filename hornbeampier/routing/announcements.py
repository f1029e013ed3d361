"""What endpoints announce about themselves in their responses."""

import dataclasses

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import domain


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The announcements in one response.

    Attributes:
        limit_per_s: Requests per second that the endpoint accepts from all VMs
            together, or None if it names no limit.
        leaving: Whether it leaves and takes no new requests.
        wait_ms: How long it wants no requests from this VM, or None.
        invalid: Descriptions of announcements with invalid values.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    wait_ms: float | None = None
    invalid: tuple[str, ...] = ()


NO_ANNOUNCEMENT = Announcement()


class Announcements:
    """The newest announcements of each process of an endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._newest: dict[domain.ProcessId, Announcement] = {}
        self._log = structlog.get_logger(task="announcements")

    def record(
        self,
        endpoint: domain.Endpoint,
        announcement: Announcement,
        request_id: str,
    ) -> None:
        """Records the announcements in a response to a request of this VM."""
        previous = self._newest.get(endpoint.process_id, NO_ANNOUNCEMENT)
        if announcement == previous:
            return
        self._newest[endpoint.process_id] = announcement
        self._log.info(
            "endpoint_announced",
            request_id=request_id,
            endpoint=endpoint.id,
            service=endpoint.service,
            limit_per_s=announcement.limit_per_s,
            leaving=announcement.leaving,
            wait_ms=announcement.wait_ms,
            invalid=announcement.invalid or None,
        )
