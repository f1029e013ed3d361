"""Translates announcements of endpoints to and from gossip messages."""

from collections.abc import Iterable

import msgspec

from hornbeampier import clock as clocks
from hornbeampier.peers import messages
from hornbeampier.routing import announcements
from hornbeampier.routing import departures
from hornbeampier.routing import endpoint_limit


class EndpointNotices:
    """The announcements that this VM gossips."""

    def __init__(
        self, announcements: announcements.Announcements, clock: clocks.Clock
    ):
        self._announcements = announcements
        self._clock = clock
        self._sent: frozenset[messages.EndpointNotice] = frozenset()

    def recent(self) -> tuple[messages.EndpointNotice, ...]:
        """Returns the recent announcements, also those of peers."""
        return tuple(
            self._to_message(n) for n in self._announcements.to_gossip()
        )

    def take_changed(self) -> tuple[messages.EndpointNotice, ...]:
        """Returns what was announced anew since the last call."""
        notices = {_without_age(n): n for n in self.recent()}
        changed = tuple(
            notices[key] for key in notices if key not in self._sent
        )
        self._sent = frozenset(notices)
        return changed

    def apply(self, notices: Iterable[messages.EndpointNotice]) -> None:
        """Records the announcements in a message of a peer."""
        for notice in notices:
            self._announcements.record_peer(self._from_message(notice))

    def _to_message(
        self, notice: announcements.Notice
    ) -> messages.EndpointNotice:
        endpoint_id, started_ms = notice.process_id
        limit, departure = notice.limit, notice.departure
        leaving = departure is not None and departure.is_leaving
        serving = departure is not None and not departure.is_leaving
        return messages.EndpointNotice(
            endpoint=endpoint_id,
            started_ms=started_ms,
            leaving=leaving,
            limit_per_s=limit.limit_per_s if limit else None,
            limit_age_ms=self._age_ms(limit.known_ms) if limit else None,
            leaving_age_ms=self._age_ms(departure.known_ms)
            if leaving
            else None,
            serving_age_ms=self._age_ms(departure.known_ms)
            if serving
            else None,
        )

    def _from_message(
        self, notice: messages.EndpointNotice
    ) -> announcements.Notice:
        limit = None
        if notice.limit_age_ms is not None:
            limit = endpoint_limit.LimitObservation(
                notice.limit_per_s, self._known_ms(notice.limit_age_ms)
            )
        process_id = (notice.endpoint, notice.started_ms)
        departure = None
        if notice.leaving or notice.serving_age_ms is not None:
            age_ms = (
                notice.leaving_age_ms
                if notice.leaving
                else notice.serving_age_ms
            )
            departure = departures.DepartureNotice(
                process_id, notice.leaving, self._known_ms(age_ms or 0)
            )
        return announcements.Notice(process_id, limit, departure)

    def _age_ms(self, known_ms: float) -> int:
        return round(self._clock.now() - known_ms)

    def _known_ms(self, age_ms: int) -> float:
        return self._clock.now() - age_ms


def _without_age(notice: messages.EndpointNotice) -> messages.EndpointNotice:
    ages = {
        name: None if getattr(notice, name) is None else 0
        for name in ("limit_age_ms", "leaving_age_ms", "serving_age_ms")
    }
    return msgspec.structs.replace(notice, **ages)
