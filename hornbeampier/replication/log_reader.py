"""Reads the log of a topic that the store retains, once at start.

After all VMs have stopped at once, nothing else shows what was in force before.
"""

from collections.abc import Callable
import dataclasses
from typing import Protocol

import gevent
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.replication import messages

# Bounds of what is read: the number of newest records, and their size.
MAX_RECORDS = 16_000
MAX_BYTES = 4 * 1024 * 1024
# Bytes that a record takes beside its key and value.
RECORD_OVERHEAD = 5
# The first snapshot waits no longer than this for the log.
READ_TIMEOUT_MS = 1_000.0
# Interval and number of the reads of a VM that did not read the log at once.
RETRY_INTERVAL_MS = 200.0
MAX_READS = 5
# A VM that has followed the topic for this time does not read the log.
START_PERIOD_MS = 10_000.0
# Later eras begin when the store has lost records.
FIRST_ERA = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """The end of the log of a topic.

    Attributes:
        is_complete: Whether no record was left out before its first one.
    """

    records: tuple[messages.Record, ...]
    era: int
    is_complete: bool

    @property
    def has_losses(self) -> bool:
        """Whether the store may have lost records in between."""
        return self.era > FIRST_ERA


class LogHistory(Protocol):
    """What a log is added to.

    Attributes:
        subject: What the log is of, for log lines.
    """

    subject: str

    def is_proved(self) -> bool:
        """Whether the log has nothing to add."""
        ...

    def prepare(self) -> None:
        """Called before the log is read."""
        ...

    def record(self, log: Log) -> dict[str, object]:
        """Adds a log; returns fields for the log line about it."""
        ...


class LogReader(application.TaskComponent):
    """Adds what the log of a topic shows to the history of this VM."""

    def __init__(
        self,
        topic: str,
        source: messages.RecordSource,
        history: LogHistory,
        reads_early: bool,
        should_read: Callable[[], bool],
        offset: Callable[[], int | None],
        clock: clocks.Clock,
    ):
        """Creates a reader.

        Args:
            topic: The topic.
            source: The store, on a connection of its own.
            history: What the log is added to.
            reads_early: Whether this VM reads the log before it applies its
                first snapshot.
            should_read: Whether this VM is one of the store readers.
            offset: Returns the offset that this VM's replica has reached.
            clock: The clock.
        """
        super().__init__()
        self._topic = topic
        self._source = source
        self._history = history
        self._reads_early = reads_early
        self._should_read = should_read
        self._offset = offset
        self._clock = clock
        self._reads_left = MAX_READS
        self._due_ms: float | None = None
        # Whether the first snapshot waits for the log.
        self._is_reading = False
        self._log = structlog.get_logger(task=history.subject)

    @property
    def is_pending(self) -> bool:
        """Whether this VM may still read the log."""
        return self._reads_left > 0

    def read_before(self, snapshot: messages.Snapshot) -> None:
        """Reads the log up to the first snapshot, if this VM reads early."""
        if self._reads_early:
            self._is_reading = True
            self._read(snapshot.end)
            self._is_reading = False

    def run(self) -> None:
        """Reads the log once this VM is known to be a store reader."""
        while self._reads_left:
            self._clock.sleep(RETRY_INTERVAL_MS)
            end = self._offset()
            if end is not None and not self._is_reading:
                self._read_if_needed(end)
        self._source.close()

    def stop(self) -> None:
        """Stops reading."""
        super().stop()
        self._source.close()

    def _read_if_needed(self, end: int) -> None:
        now_ms = self._clock.now()
        self._due_ms = self._due_ms or now_ms + START_PERIOD_MS
        if self._history.is_proved() or now_ms >= self._due_ms:
            self._reads_left = 0
        elif self._should_read():
            self._read(end)

    def _read(self, end: int) -> None:
        self._reads_left -= 1
        try:
            self._add_log(end)
        except Exception:
            # The first snapshot is applied all the same.
            self._log.exception("registrations_unread")

    def _add_log(self, end: int) -> None:
        began_ms = self._clock.now()
        self._history.prepare()
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / clocks.MS_PER_SECOND):
                log = self._fetch(end)
        except (errors.PlatformError, gevent.Timeout) as exc:
            self._log.warning(f"{self._history.subject}_unread", error=str(exc))
            return
        fields = self._history.record(log)
        self._reads_left = 0
        self._log.info(
            f"{self._history.subject}_read",
            records=len(log.records),
            complete=log.is_complete,
            era=log.era,
            took_ms=round(self._clock.now() - began_ms),
            **fields,
        )

    def _fetch(self, end: int) -> Log:
        """Returns the newest records, at least up to an offset.

        Raises:
            errors.PlatformError: The store sent no valid response, or the log
                is too large or changed its era meanwhile.
        """
        start = max(0, end - MAX_RECORDS)
        try:
            batch = self._source.read(self._topic, start, 0.0)
        except messages.RecordsCompactedError as exc:
            if exc.first is None or exc.first <= start:
                raise
            start = exc.first
            batch = self._source.read(self._topic, start, 0.0)
        era = batch.era
        found = list(batch.records)
        size = _size(batch)
        while batch.end < end:
            batch = self._source.read(self._topic, batch.end, 0.0)
            size += _size(batch)
            if batch.era != era or not batch.records:
                raise errors.PlatformError("the log changed while it was read")
            if size > MAX_BYTES:
                raise errors.PlatformError("the log is too large")
            found += batch.records
        return Log(tuple(found), era, is_complete=start == 0)


def _size(batch: messages.Batch) -> int:
    return sum(
        len(record.key) + len(record.value or b"") + RECORD_OVERHEAD
        for record in batch.records
    )
