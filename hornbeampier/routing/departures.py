"""Endpoints that have announced that they leave, by id.

A response does not name the process that sent it, and the entry of a process
that has started again under the id may not have been read yet. So an
announcement holds for every process with the id, until a health check that was
sent after the announcement shows that the present one does not leave.
"""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import domain

# An announcement is void by a peer's health check only if the check is later by
# this time: the peer's datagram took a while, which its age does not include.
PEER_MARGIN_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureNotice:
    """What VMs tell each other of an endpoint that leaves or has left.

    Attributes:
        process_id: The process that the entry named.
        is_leaving: Whether it announced that it leaves; false if a health check
            showed that it does not.
        known_ms: When it announced this, or when the health check was sent.
    """

    process_id: domain.ProcessId
    is_leaving: bool
    known_ms: float


@dataclasses.dataclass(slots=True)
class _Departure:
    """What is known of one id.

    Attributes:
        started_ms: Starts of the processes that the entry named when it was
            announced that the endpoint leaves; the newest one is last.
        announced_ms: When it was last announced.
        serving_ms: When the last health check was sent that showed a process
            that does not leave.
        serving_process: Start of that process.
        void_ms: Announcements up to this time are void.
        learned_ms: When this VM last learned any of this.
        known_ms: When the id was last in the catalog or heard of.
    """

    learned_ms: float
    known_ms: float
    started_ms: list[int] = dataclasses.field(default_factory=list)
    announced_ms: float = -math.inf
    serving_ms: float = -math.inf
    serving_process: int = 0
    void_ms: float = -math.inf

    @property
    def is_leaving(self) -> bool:
        return self.announced_ms > self.void_ms


class Departures:
    """Keeps which endpoints have announced that they leave."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._departures: dict[str, _Departure] = {}

    def __len__(self) -> int:
        return len(self._departures)

    def ids(self) -> Collection[str]:
        """Returns the ids of which anything is known."""
        return self._departures.keys()

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether a process with the id announced that it leaves."""
        departure = self._departures.get(endpoint_id)
        return departure is not None and departure.is_leaving

    def is_in_doubt(self, endpoint: domain.Endpoint) -> bool:
        """Whether only a health check tells whether an endpoint leaves.

        It was announced under its id, and the entry names a process now that
        it did not name then.
        """
        departure = self._departures.get(endpoint.id)
        return (
            departure is not None
            and departure.is_leaving
            and not endpoint.leaving
            and endpoint.started_ms not in departure.started_ms
        )

    def record_leaving(
        self, process_id: domain.ProcessId, announced_ms: float
    ) -> bool:
        """Records that an endpoint announced that it leaves.

        Args:
            process_id: The process that its entry named.
            announced_ms: When the announcement arrived, here or at a peer.

        Returns:
            Whether this was news.
        """
        endpoint_id, started_ms = process_id
        departure = self._get_or_add(endpoint_id)
        if announced_ms <= departure.void_ms:
            return False
        if not departure.is_leaving:
            departure.started_ms.clear()
        is_news = started_ms not in departure.started_ms
        departure.announced_ms = max(departure.announced_ms, announced_ms)
        if is_news:
            departure.started_ms.append(started_ms)
            departure.learned_ms = self._clock.now()
        return is_news

    def record_serving(
        self, process_id: domain.ProcessId, asked_ms: float
    ) -> bool:
        """Records that a process answered a health check and does not leave.

        What was announced before the check was sent is void.

        Returns:
            Whether the endpoint may get requests now and could not before.
        """
        return self._record_check(process_id, asked_ms, asked_ms)

    def record_peer_check(self, notice: DepartureNotice) -> bool:
        """Records a peer's health check; returns as `record_serving`."""
        asked_ms = notice.known_ms
        return self._record_check(
            notice.process_id, asked_ms, asked_ms - PEER_MARGIN_MS
        )

    def news(self, oldest_ms: float) -> Iterator[DepartureNotice]:
        """Yields what this VM has learned since `oldest_ms`."""
        for endpoint_id, departure in self._departures.items():
            if departure.learned_ms < oldest_ms:
                continue
            is_leaving = departure.is_leaving
            yield DepartureNotice(
                (
                    endpoint_id,
                    departure.started_ms[-1]
                    if is_leaving
                    else departure.serving_process,
                ),
                is_leaving,
                departure.announced_ms if is_leaving else departure.serving_ms,
            )

    def expire(self, known_ids: Collection[str], oldest_ms: float) -> bool:
        """Forgets ids that were not known since `oldest_ms`.

        Returns whether any was forgotten.
        """
        now_ms = self._clock.now()
        for endpoint_id, departure in self._departures.items():
            if endpoint_id in known_ids:
                departure.known_ms = now_ms
        expired = [
            endpoint_id
            for endpoint_id, departure in self._departures.items()
            if departure.known_ms < oldest_ms
        ]
        for endpoint_id in expired:
            del self._departures[endpoint_id]
        return bool(expired)

    def make_room(self, endpoint_id: str) -> None:
        """Forgets the id known longest ago, if `endpoint_id` is a new one."""
        if endpoint_id in self._departures:
            return
        oldest = min(
            self._departures, key=lambda key: self._departures[key].known_ms
        )
        del self._departures[oldest]

    def _get_or_add(self, endpoint_id: str) -> _Departure:
        departure = self._departures.get(endpoint_id)
        if departure is None:
            now_ms = self._clock.now()
            departure = _Departure(learned_ms=now_ms, known_ms=now_ms)
            self._departures[endpoint_id] = departure
        return departure

    def _record_check(
        self, process_id: domain.ProcessId, asked_ms: float, void_ms: float
    ) -> bool:
        endpoint_id, started_ms = process_id
        departure = self._departures.get(endpoint_id)
        if (
            departure is None
            or started_ms in departure.started_ms
            or not departure.is_leaving
            or void_ms <= departure.announced_ms
        ):
            return False
        departure.serving_ms = asked_ms
        departure.void_ms = void_ms
        departure.serving_process = started_ms
        departure.learned_ms = self._clock.now()
        return True
