"""Translates announcements of endpoints to and from gossip messages."""

from collections.abc import Iterable

from hornbeampier import clock as clocks
from hornbeampier.peers import messages
from hornbeampier.routing import announcements
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
        limit = notice.limit
        endpoint_id, started_ms = notice.process_id
        return messages.EndpointNotice(
            endpoint=endpoint_id,
            started_ms=started_ms,
            leaving=notice.leaving,
            limit_per_s=limit.limit_per_s if limit else None,
            limit_age_ms=(
                round(self._clock.now() - limit.known_ms) if limit else None
            ),
        )

    def _from_message(
        self, notice: messages.EndpointNotice
    ) -> announcements.Notice:
        limit = None
        if notice.limit_age_ms is not None:
            limit = endpoint_limit.LimitObservation(
                notice.limit_per_s, self._clock.now() - notice.limit_age_ms
            )
        return announcements.Notice(
            (notice.endpoint, notice.started_ms), limit, notice.leaving
        )


def _without_age(notice: messages.EndpointNotice) -> messages.EndpointNotice:
    return messages.EndpointNotice(
        notice.endpoint,
        notice.started_ms,
        notice.leaving,
        notice.limit_per_s,
        None if notice.limit_age_ms is None else 0,
    )
