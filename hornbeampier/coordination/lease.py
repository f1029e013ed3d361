"""A lease on the platform's log, with its record's offset as fencing number.

Every VM folds the stream `leases` in order by one rule: a record takes the
lease if the lease is free or expired at the record's own time, which the log
service gives. So all VMs agree on the holder, and a holder that was paused
learns from the fold that it lost the lease.
"""

import dataclasses
import enum

import msgspec

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.coordination import log as platform_log
from hornbeampier.coordination import records

STREAM = "leases"
LEASE_MS = 10_000.0
# The holder stops this long before the end, for clocks that drift.
SAFETY_MS = 1_000.0
NO_FENCING = -1


class LeaseAction(enum.StrEnum):
    """What a record of the stream does."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


class LeaseRecord(msgspec.Struct, frozen=True):
    """A record of the stream `leases`.

    Attributes:
        holder: The VM and its process.
        fencing: Renew and release: the number of the lease that is meant.
    """

    action: LeaseAction
    holder: str
    fencing: int = NO_FENCING


@dataclasses.dataclass(frozen=True)
class LeaseState:
    """The lease as of a record; times are the log's, Unix ms."""

    holder: str = ""
    fencing: int = NO_FENCING
    expires_unix_ms: float = 0.0


def fold(state: LeaseState, record: records.LogRecord) -> LeaseState:
    """Returns the lease after a record."""
    try:
        entry = msgspec.json.decode(record.data, type=LeaseRecord)
    except errors.DECODE_ERRORS:
        return state
    current = record.at_ms < state.expires_unix_ms
    own = current and (entry.holder, entry.fencing) == (
        state.holder,
        state.fencing,
    )
    expires_unix_ms = record.at_ms + LEASE_MS
    if entry.action is LeaseAction.ACQUIRE and not current:
        return LeaseState(entry.holder, record.offset, expires_unix_ms)
    if entry.action is LeaseAction.RENEW and own:
        return LeaseState(entry.holder, state.fencing, expires_unix_ms)
    if entry.action is LeaseAction.RELEASE and own:
        return LeaseState(entry.holder, state.fencing, record.at_ms)
    return state


class Lease:
    """One VM's view of the lease."""

    def __init__(self, log: platform_log.Log, holder: str, clock: clocks.Clock):
        self._log = log
        self._holder = holder
        self._clock = clock
        self._next = 0
        self._state = LeaseState()
        self._valid_until_ms = 0.0

    @property
    def fencing(self) -> int:
        """The fencing number of the lease in force."""
        return self._state.fencing

    def is_held(self) -> bool:
        """Returns whether this VM may act on the lease now.

        The validity counts from before the append on this VM's monotonic
        clock, so it ends before the log's own.
        """
        return self._clock.now() < self._valid_until_ms

    def try_hold(self) -> bool:
        """Acquires or renews the lease; returns whether it is held.

        Raises:
            errors.PlatformError: The log cannot be used.
        """
        self._catch_up()
        started_ms = self._clock.now()
        own = self._state.holder == self._holder
        alive = self._clock.unix() < self._state.expires_unix_ms
        if alive and not own:
            self._valid_until_ms = 0.0
            return False
        record = LeaseRecord(LeaseAction.ACQUIRE, self._holder)
        if alive and own:
            record = LeaseRecord(
                LeaseAction.RENEW, self._holder, self._state.fencing
            )
        offset = self._append(record)
        self._catch_up()
        return self._confirm(offset, record, started_ms)

    def release(self) -> None:
        """Gives the lease up, so that another VM takes it at once."""
        if not self.is_held():
            return
        self._valid_until_ms = 0.0
        self._append(
            LeaseRecord(LeaseAction.RELEASE, self._holder, self.fencing)
        )

    def _confirm(
        self, offset: int | None, record: LeaseRecord, started_ms: float
    ) -> bool:
        """Counts the lease as held only if the fold took this record."""
        expected = record.fencing
        if record.action is LeaseAction.ACQUIRE:
            expected = offset
        held = offset is not None and self._state.fencing == expected
        self._valid_until_ms = 0.0
        if held:
            self._valid_until_ms = started_ms + LEASE_MS - SAFETY_MS
        return held

    def _append(self, record: LeaseRecord) -> int | None:
        """Appends a record; None if its answer was lost."""
        try:
            return self._log.append(STREAM, msgspec.json.encode(record))
        except errors.AppendUnknownError:
            return None

    def _catch_up(self) -> None:
        """Folds the stream up to its end."""
        # Leases are far shorter than the log's retention.
        for record in platform_log.read_to_end(self._log, STREAM, self._next):
            self._state = fold(self._state, record)
            self._next = record.offset + 1
