"""Reads the log of registrations that the store retains, once at start.

After all VMs have stopped at once, nothing else shows which software versions
served before. The log also has versions that registered and left before this VM
read its first snapshot.
"""

from collections.abc import Callable
import dataclasses

import gevent
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.replication import messages
from hornbeampier.routing import origin_history
from hornbeampier.routing import registration_log
from hornbeampier.routing import stream_origins

# Bounds of what is read: the number of newest records, and their size.
MAX_RECORDS = 16_000
MAX_BYTES = 4 * 1024 * 1024
# Number of entries that are decoded at once.
DECODE_COUNT = 500
# Bytes that a record takes beside its key and value.
RECORD_OVERHEAD = 5
# The first snapshot waits no longer than this for the log.
READ_TIMEOUT_MS = 1_000.0
# Interval and number of the reads of a VM that did not read the log at once.
RETRY_INTERVAL_MS = 200.0
MAX_READS = 5
# A VM that has followed the registrations for this time does not read the log.
START_PERIOD_MS = 10_000.0
# Later eras begin when the store has lost records.
FIRST_ERA = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Log:
    """The end of the log.

    Attributes:
        is_complete: Whether no record was left out before its first one.
    """

    records: tuple[messages.Record, ...]
    era: int
    is_complete: bool


class RegistrationReader(application.TaskComponent):
    """Adds what the store's log shows to the history of this VM."""

    def __init__(
        self,
        topic: str,
        source: messages.RecordSource,
        history: origin_history.OriginHistory,
        heartbeat_ms: float,
        reads_early: bool,
        should_read: Callable[[], bool],
        offset: Callable[[], int | None],
        clock: clocks.Clock,
    ):
        """Creates a reader.

        Args:
            topic: The endpoints' topic.
            source: The store, on a connection of its own.
            history: What the log is added to.
            heartbeat_ms: Interval at which endpoints write their entries.
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
        self._heartbeat_ms = heartbeat_ms
        self._reads_early = reads_early
        self._should_read = should_read
        self._offset = offset
        self._clock = clock
        self._reads_left = MAX_READS
        self._due_ms: float | None = None
        # Whether the first snapshot waits for the log.
        self._is_reading = False
        self._log = structlog.get_logger(task="registrations")

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
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / clocks.MS_PER_SECOND):
                log = self._fetch(end)
        except (errors.PlatformError, gevent.Timeout) as exc:
            self._log.warning("registrations_unread", error=str(exc))
            return
        summary = registration_log.summarize(
            self._decode(log.records),
            self._heartbeat_ms,
            log.is_complete,
            has_losses=log.era > FIRST_ERA,
        )
        self._history.record_log(summary)
        self._reads_left = 0
        self._log.info(
            "registrations_read",
            records=len(log.records),
            versions=len(summary.ages_ms),
            complete=log.is_complete,
            era=log.era,
            covered_ms=round(
                min(summary.covered_ms, stream_origins.MAX_RETENTION_MS)
            ),
            took_ms=round(self._clock.now() - began_ms),
        )

    def _decode(
        self, log_records: tuple[messages.Record, ...]
    ) -> list[registration_log.Registration]:
        """Decodes entries; other tasks run after each `DECODE_COUNT`."""
        decoded = []
        for index, record in enumerate(log_records):
            if index % DECODE_COUNT == 0:
                self._clock.sleep(0.0)
            decoded.append(_to_registration(record))
        return decoded

    def _fetch(self, end: int) -> _Log:
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
        return _Log(tuple(found), era, is_complete=start == 0)


def _size(batch: messages.Batch) -> int:
    return sum(
        len(record.key) + len(record.value or b"") + RECORD_OVERHEAD
        for record in batch.records
    )


def _to_registration(record: messages.Record) -> registration_log.Registration:
    endpoint = None
    if record.value is not None:
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError:
            # The follower logs the error when it applies the record.
            endpoint = None
    return registration_log.Registration(record.key, endpoint)
