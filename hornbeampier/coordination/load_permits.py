"""Permits to load from the weight store, counted over all VMs on the log.

A VM appends a permit record before it orders a load and reads the stream up
to it. The permit counts only if fewer than the allowed number precede it in
the last minute, by the log's own times; so the limit also holds when two VMs
believe that they hold the lease.
"""

import collections

import msgspec

from hornbeampier import errors
from hornbeampier.coordination import log as platform_log
from hornbeampier.coordination import records

STREAM = "loads"
WINDOW_MS = 60_000.0


class PermitRecord(msgspec.Struct, frozen=True):
    """A VM's wish to make an engine load."""

    permit_id: str
    endpoint: str
    fencing: int


class LoadPermits:
    """One VM's view of the permits of the last minute."""

    def __init__(self, log: platform_log.Log):
        self._log = log
        self._next = 0
        self._granted_unix_ms: collections.deque[float] = collections.deque()
        self._granted: collections.deque[str] = collections.deque(maxlen=256)

    def acquire(self, record: PermitRecord, per_minute: int) -> bool:
        """Asks for a permit; returns whether the limit allows it.

        Raises:
            errors.PlatformError: The log cannot be used; nothing is allowed.
        """
        self._log.append(STREAM, msgspec.json.encode(record))
        self._catch_up(per_minute)
        return record.permit_id in self._granted

    def _catch_up(self, per_minute: int) -> None:
        for record in platform_log.read_to_end(self._log, STREAM, self._next):
            self._fold(record, per_minute)
            self._next = record.offset + 1

    def _fold(self, record: records.LogRecord, per_minute: int) -> None:
        try:
            entry = msgspec.json.decode(record.data, type=PermitRecord)
        except errors.DECODE_ERRORS:
            return
        oldest = record.at_ms - WINDOW_MS
        while self._granted_unix_ms and self._granted_unix_ms[0] <= oldest:
            self._granted_unix_ms.popleft()
        if len(self._granted_unix_ms) < per_minute:
            self._granted_unix_ms.append(record.at_ms)
            self._granted.append(entry.permit_id)
