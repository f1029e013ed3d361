"""What endpoints announce about themselves in their responses.

Limits are kept for each process of an endpoint: a restart voids them, and a new
entry in the store does not. Waits are kept by the endpoint's id, as a response
does not name the process that sent it, and so is that an endpoint leaves (see
`departures`).
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum
import random

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import departures
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_limit
from hornbeampier.routing import endpoint_wait

# How long announcements are kept after the process was last known.
RETENTION_MS = 120_000.0
# Maximum number of processes, and of ids, whose announcements are kept.
MAX_PROCESSES = 5_000
# News are gossiped for this time.
GOSSIP_MS = 5_000.0
# Maximum number of processes whose announcements are gossiped at once.
MAX_GOSSIPED = 50

ShareFunction = Callable[[str, float], float]


class AnnouncementKind(enum.StrEnum):
    """A change of what an endpoint announces, as counted in the metrics."""

    LIMIT = "limit"
    LIMIT_END = "limit_end"
    LEAVING = "leaving"
    WAIT = "wait"
    INVALID = "invalid"


CountFunction = Callable[[str, AnnouncementKind], None]


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


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What VMs tell each other of the announcements of a process.

    Attributes:
        limit: The newest observation of its limit, or None if there is none.
        departure: Whether it leaves, or None if there is no news of this.
    """

    process_id: domain.ProcessId
    limit: endpoint_limit.LimitObservation | None = None
    departure: departures.DepartureNotice | None = None


@dataclasses.dataclass(slots=True)
class _Process:
    """The announcements of one process of an endpoint.

    Attributes:
        known_ms: When it was last in the catalog or first heard of.
    """

    known_ms: float
    limit: endpoint_limit.EndpointLimit | None = None

    @property
    def is_limited(self) -> bool:
        return self.limit is not None and self.limit.is_named


class Announcements:
    """Keeps announcements and tells whether an endpoint may get a request.

    Attributes:
        endpoint_ids: Ids of the endpoints of which any announcement is kept;
            all others may get requests.
    """

    def __init__(
        self,
        share_per_s: ShareFunction,
        count: CountFunction,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._share_per_s = share_per_s
        self._count = count
        self._clock = clock
        self._rng = rng
        self._processes: dict[domain.ProcessId, _Process] = {}
        self._departures = departures.Departures(clock)
        # A response does not name the process that asks for a wait.
        self._waits: dict[str, endpoint_wait.EndpointWait] = {}
        self.endpoint_ids: set[str] = set()
        self._log = structlog.get_logger(task="announcements")

    def record(
        self,
        endpoint: domain.Endpoint,
        announcement: Announcement,
        request_id: str,
        sent_ms: float,
    ) -> None:
        """Records the announcements in a response to a request of this VM.

        Args:
            endpoint: The endpoint that responded.
            announcement: Its announcements.
            request_id: The id of the request.
            sent_ms: When the request was sent.
        """
        process_id = endpoint.process_id
        if (
            announcement == NO_ANNOUNCEMENT
            and process_id not in self._processes
            and endpoint.id not in self._waits
        ):
            return
        is_limited = announcement.limit_per_s is not None
        known_ms = self._clock.now() if is_limited else sent_ms
        observation = endpoint_limit.LimitObservation(
            announcement.limit_per_s, known_ms
        )
        kinds = []
        if self._observe_limit(process_id, observation):
            kinds.append(
                AnnouncementKind.LIMIT
                if is_limited
                else AnnouncementKind.LIMIT_END
            )
        if announcement.leaving and self._record_leaving(
            process_id, self._clock.now()
        ):
            kinds.append(AnnouncementKind.LEAVING)
        if self._record_wait(process_id, announcement.wait_ms, sent_ms):
            kinds.append(AnnouncementKind.WAIT)
        if announcement.invalid:
            kinds.append(AnnouncementKind.INVALID)
        for kind in kinds:
            self._count(endpoint.service, kind)
        if kinds:
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

    def record_peer(self, notice: Notice) -> None:
        """Records what a peer knows of an endpoint's announcements."""
        changed = False
        if notice.limit is not None:
            changed = self._observe_limit(notice.process_id, notice.limit)
        departure = notice.departure
        if departure is not None:
            changed |= self._record_departure(departure)
        if changed:
            limit = notice.limit
            self._log.info(
                "peer_announced",
                endpoint=notice.process_id[0],
                limit_per_s=limit and limit.limit_per_s,
                age_ms=limit and round(self._clock.now() - limit.known_ms),
                leaving=departure and departure.is_leaving,
            )

    def record_serving(
        self, endpoint: domain.Endpoint, asked_ms: float
    ) -> None:
        """Records that a health check showed that an endpoint does not leave.

        Args:
            endpoint: The endpoint.
            asked_ms: When the health check was sent.
        """
        if self._departures.record_serving(endpoint.process_id, asked_ms):
            self._log.info("endpoint_returned", endpoint=endpoint.id)

    def is_leaving(self, endpoint: domain.Endpoint) -> bool:
        """Whether the endpoint announced that it leaves."""
        return self._departures.is_leaving(endpoint.id)

    def is_in_doubt(self, endpoint: domain.Endpoint) -> bool:
        """Whether only a health check tells whether the endpoint leaves."""
        return self._departures.is_in_doubt(endpoint)

    def is_limited(self, endpoint: domain.Endpoint) -> bool:
        """Whether the endpoint names a limit."""
        process = self._processes.get(endpoint.process_id)
        return process is not None and process.is_limited

    def describe(self, endpoint: domain.Endpoint) -> str | None:
        """Returns why the endpoint may not get a request now, or None."""
        if self.is_leaving(endpoint):
            return "leaving"
        if self._wait_ms(endpoint):
            return "wait"
        process = self._processes.get(endpoint.process_id)
        if process is None:
            return None
        if process.limit is not None and process.limit.opens_in_ms():
            return f"limit {process.limit.observation.limit_per_s:g}/s"
        return None

    def opens_in_ms(self, endpoint: domain.Endpoint) -> float:
        """Returns the time until it may get a request; 0 if it may now."""
        wait_ms = self._wait_ms(endpoint)
        process = self._processes.get(endpoint.process_id)
        if process is None or process.limit is None:
            return wait_ms
        return max(wait_ms, process.limit.opens_in_ms())

    def take(self, endpoint: domain.Endpoint) -> bool:
        """Accounts for a request; returns False if it may not be sent."""
        if self.is_leaving(endpoint):
            return False
        if self.opens_in_ms(endpoint) > 0.0:
            return False
        process = self._processes.get(endpoint.process_id)
        if process is not None and process.limit is not None:
            process.limit.take()
        if endpoint.id in self._waits:
            self._waits[endpoint.id].take()
        return True

    def to_gossip(self) -> list[Notice]:
        """Returns the recent news, which are to be gossiped."""
        oldest_ms = self._clock.now() - GOSSIP_MS
        notices = []
        for process_id, process in self._processes.items():
            limit = process.limit.observation if process.limit else None
            if limit is not None and limit.known_ms >= oldest_ms:
                notices.append(Notice(process_id, limit=limit))
        for departure in self._departures.news(oldest_ms):
            notices.append(Notice(departure.process_id, departure=departure))
        return notices[-MAX_GOSSIPED:]

    def expire(self, known: Collection[domain.ProcessId]) -> None:
        """Forgets processes that were not `known` for a long time."""
        now_ms = self._clock.now()
        for process_id in known:
            if process_id in self._processes:
                self._processes[process_id].known_ms = now_ms
        expired = [
            process_id
            for process_id, process in self._processes.items()
            if process.known_ms < now_ms - RETENTION_MS
        ]
        for process_id in expired:
            del self._processes[process_id]
        has_changed = self._departures.expire(
            {id_ for id_, _ in known}, now_ms - RETENTION_MS
        )
        if expired or has_changed:
            self.endpoint_ids = {id_ for id_, _ in self._processes}
            self._waits = {
                id_: wait
                for id_, wait in self._waits.items()
                if id_ in self.endpoint_ids
            }
            self.endpoint_ids.update(self._departures.ids())

    def _observe_limit(
        self,
        process_id: domain.ProcessId,
        observation: endpoint_limit.LimitObservation,
    ) -> bool:
        """Returns whether the limit changed by an observation."""
        process = self._processes.get(process_id)
        if process is not None and process.limit is not None:
            return process.limit.observe(observation)
        if observation.limit_per_s is None:
            return False
        process = process or self._add(process_id)
        process.limit = endpoint_limit.EndpointLimit(
            observation,
            lambda limit_per_s: self._share_per_s(process_id[0], limit_per_s),
            self._clock,
            self._rng,
        )
        return True

    def _record_leaving(
        self, process_id: domain.ProcessId, announced_ms: float
    ) -> bool:
        """Returns whether it was not known that the process leaves."""
        endpoint_id, _ = process_id
        if len(self._departures) >= MAX_PROCESSES:
            self._departures.make_room(endpoint_id)
        self.endpoint_ids.add(endpoint_id)
        return self._departures.record_leaving(process_id, announced_ms)

    def _record_departure(self, notice: departures.DepartureNotice) -> bool:
        """Returns whether a peer's notice was news."""
        if notice.is_leaving:
            return self._record_leaving(notice.process_id, notice.known_ms)
        return self._departures.record_peer_check(notice)

    def _wait_ms(self, endpoint: domain.Endpoint) -> float:
        """Returns how long the endpoint wants no requests from now on."""
        wait = self._waits.get(endpoint.id)
        return wait.opens_in_ms() if wait else 0.0

    def _record_wait(
        self,
        process_id: domain.ProcessId,
        wait_ms: float | None,
        sent_ms: float,
    ) -> bool:
        """Returns whether the endpoint wants no requests for some time."""
        endpoint_id, _ = process_id
        wait = self._waits.get(endpoint_id)
        if wait_ms is None:
            if wait is not None:
                wait.record_response(sent_ms)
            return False
        if process_id not in self._processes:
            self._add(process_id)
        if wait is None:
            wait = endpoint_wait.EndpointWait(self._clock, self._rng)
            self._waits[endpoint_id] = wait
        wait.extend(wait_ms)
        return True

    def _add(self, process_id: domain.ProcessId) -> _Process:
        if len(self._processes) >= MAX_PROCESSES:
            oldest = min(
                self._processes, key=lambda key: self._processes[key].known_ms
            )
            del self._processes[oldest]
            self._waits.pop(oldest[0], None)
        process = _Process(self._clock.now())
        self._processes[process_id] = process
        self.endpoint_ids.add(process_id[0])
        return process
