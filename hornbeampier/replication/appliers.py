"""Applies endpoint entries and configurations to the catalog."""

from collections.abc import Callable
import dataclasses
import math

import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.replication import messages
from hornbeampier.routing import catalog
from hornbeampier.routing import domain

# Time in which an endpoint can register again before it is removed, if its
# entry expired during or shortly after an outage of the store.
REREGISTER_MS = 2_000.0
# Entries may take longer by this to reach a VM than the first one after an
# outage.
READ_SLACK_MS = 500.0
# An entry expires after three heartbeats without a new one. If it is removed
# within this number of heartbeats, its endpoint has left.
DEPARTURE_HEARTBEATS = 2.0
# Endpoints could not write for a while if no entry came for this number of
# heartbeats.
SILENCE_HEARTBEATS = 1.5
# Maximum number of endpoints whose last entry is remembered.
MAX_REMEMBERED = 20_000
ENDPOINT = "endpoint"
CONFIGURATION = "configuration"
# Counts an unreadable record by its kind.
CountUnreadable = Callable[[str], None]


def count_nothing(kind: str) -> None:
    """Default `CountUnreadable`: does nothing."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _EntryAge:
    """Orders the entries of an endpoint by when they were written."""

    started_ms: int
    sequence: int


class EndpointApplier:
    """Adds and removes endpoints as their entries in the store change."""

    def __init__(
        self,
        catalog: catalog.Catalog,
        heartbeat_ms: float,
        clock: clocks.Clock,
        count_unreadable: CountUnreadable = count_nothing,
    ):
        """Creates an applier.

        Args:
            catalog: What the entries are applied to.
            heartbeat_ms: Interval at which endpoints write their entries.
            clock: The clock.
            count_unreadable: Counts entries that cannot be read.
        """
        self._catalog = catalog
        self._count_unreadable = count_unreadable
        # Why the last entry of an id could not be read.
        self._unreadable: dict[str, str] = {}
        self._heartbeat_ms = heartbeat_ms
        self._clock = clock
        self._source_lost = False
        self._grace_end_ms = 0.0
        # When to remove each endpoint whose removal is delayed.
        self._removal_due_ms: dict[str, float] = {}
        # When the last entry of any endpoint came, and of each endpoint. Since
        # `_steady_ms` entries have come soon after they were written.
        self._entry_ms = -math.inf
        self._entries_ms: dict[str, float] = {}
        self._steady_ms = math.inf
        # The age of each endpoint's last entry, also after its removal.
        self._last_ages: dict[str, _EntryAge] = {}
        self._log = structlog.get_logger(task="entries")

    def on_source_lost(self) -> None:
        """Delays removals, as entries may expire because of the outage."""
        self._source_lost = True

    def on_source_regained(self) -> None:
        """Gives endpoints whose entries expired time to register again."""
        self._source_lost = False
        self._grace_end_ms = self._clock.now() + REREGISTER_MS

    def apply_record(self, record: messages.Record) -> bool:
        """Adds, updates or removes an endpoint.

        An unreadable entry removes its endpoint: whoever has only the newest
        entry cannot tell whether the one before announced that it leaves.
        Returns False for an entry that is like the one before.
        """
        if record.value is None:
            self._unreadable.pop(record.key, None)
            self._remove_or_delay(record.key)
            return True
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError as exc:
            self._catalog.remove_endpoint(record.key)
            return self._record_unreadable(record, str(exc))
        self._unreadable.pop(record.key, None)
        self._removal_due_ms.pop(record.key, None)
        self._record_time(record.key)
        self._remember(endpoint)
        return self._catalog.apply_endpoint(endpoint)

    def supersedes(
        self, record: messages.Record, current: messages.Record
    ) -> bool:
        """Whether the endpoint wrote its entry after the last known one.

        An endpoint that has left since is not in use again because the store
        returned from a copy that is older.
        """
        last_age = self._last_ages.get(record.key)
        if record.value is None or last_age is None:
            return True
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError:
            # Applying it logs the error.
            return True
        age = _entry_age(endpoint)
        return age > last_age or (age == last_age and current.value is not None)

    def expire(self) -> None:
        """Removes endpoints that did not register again in time."""
        now_ms = self._clock.now()
        due_ids = [k for k, ms in self._removal_due_ms.items() if ms <= now_ms]
        for endpoint_id in due_ids:
            del self._removal_due_ms[endpoint_id]
            self._catalog.remove_endpoint(endpoint_id)

    def _record_unreadable(self, record: messages.Record, error: str) -> bool:
        """Counts an entry; logs it and returns True unless it is a repeat."""
        self._count_unreadable(ENDPOINT)
        if self._unreadable.get(record.key) == error:
            return False
        self._unreadable[record.key] = error
        if len(self._unreadable) > MAX_REMEMBERED:
            del self._unreadable[next(iter(self._unreadable))]
        self._log.warning(
            "entry_unreadable",
            endpoint=record.key,
            offset=record.offset,
            error=error,
        )
        return True

    def _record_time(self, endpoint_id: str) -> None:
        now_ms = self._clock.now()
        if self._is_silent(now_ms):
            # What comes now may have been written before the silence.
            self._steady_ms = now_ms + REREGISTER_MS
        self._entry_ms = now_ms
        self._entries_ms[endpoint_id] = now_ms

    def _is_silent(self, now_ms: float) -> bool:
        """Whether no entry of any endpoint came for a while."""
        silence_ms = SILENCE_HEARTBEATS * self._heartbeat_ms
        return now_ms - self._entry_ms > silence_ms

    def _has_left(self, endpoint_id: str) -> bool:
        """Whether an endpoint whose entry was removed has itself removed it.

        The entry had no time to expire.
        """
        entry_ms = self._entries_ms.pop(endpoint_id, -math.inf)
        age_ms = self._clock.now() - entry_ms
        return (
            entry_ms >= self._steady_ms
            and age_ms < DEPARTURE_HEARTBEATS * self._heartbeat_ms
        )

    def _remember(self, endpoint: domain.Endpoint) -> None:
        self._last_ages.pop(endpoint.id, None)
        self._last_ages[endpoint.id] = _entry_age(endpoint)
        if len(self._last_ages) > MAX_REMEMBERED:
            del self._last_ages[next(iter(self._last_ages))]

    def _remove_or_delay(self, endpoint_id: str) -> None:
        now_ms = self._clock.now()
        has_left = self._has_left(endpoint_id)
        due_ms = self._grace_end_ms
        if self._source_lost:
            due_ms = now_ms + REREGISTER_MS
        if not self._is_silent(now_ms):
            # The store has returned by then, whenever this VM noticed its loss.
            due_ms = min(due_ms, self._steady_ms + READ_SLACK_MS)
        if now_ms < due_ms and not has_left:
            self._removal_due_ms[endpoint_id] = due_ms
        else:
            self._catalog.remove_endpoint(endpoint_id)


def _entry_age(endpoint: domain.Endpoint) -> _EntryAge:
    return _EntryAge(endpoint.started_ms, endpoint.sequence)


class ConfigurationApplier:
    """Applies the configurations that operators publish."""

    def __init__(
        self,
        catalog: catalog.Catalog,
        key: str,
        count_unreadable: CountUnreadable = count_nothing,
    ):
        self._catalog = catalog
        self._key = key
        self._count_unreadable = count_unreadable
        self._log = structlog.get_logger(task="configuration")

    def on_source_lost(self) -> None:
        """Does nothing, as configurations do not expire."""

    def on_source_regained(self) -> None:
        """Does nothing, as configurations do not expire."""

    def apply_record(self, record: messages.Record) -> bool:
        """Applies a configuration; logs and skips an unreadable one.

        Returns True, as all records of operators matter to peers.
        """
        if record.key != self._key or record.value is None:
            return True
        try:
            cfg = records.decode_configuration(record.value)
        except errors.PlatformError as exc:
            self._count_unreadable(CONFIGURATION)
            self._log.error(
                "configuration_unreadable",
                offset=record.offset,
                error=str(exc),
            )
            return True
        self._catalog.apply_configuration(cfg)
        return True

    def supersedes(
        self, record: messages.Record, current: messages.Record
    ) -> bool:
        """Whether a configuration is not older than the one in force."""
        if record.key != self._key:
            return True
        if record.value is None:
            return False
        try:
            return records.decode_version(record.value) >= self._catalog.version
        except errors.PlatformError:
            # Applying it logs the error and keeps the one in force.
            return True
