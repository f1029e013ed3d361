"""Follows a topic of the store by long polling, and applies it in order."""

from collections.abc import Callable
import random

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.replication import messages
from hornbeampier.replication import replica

# Mean interval between the long polls that all store readers together start.
# The store may fail to wake a waiting call when a record is added. The next
# call of any reader then gets the record; other VMs fetch it from that reader.
POLL_INTERVAL_MS = 800.0
# Pause after each batch, in which further records gather for the next one.
READ_INTERVAL_MS = 200.0
MAX_POLL_WAIT_MS = 20_000.0
FIRST_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1_000.0
# How often a VM that does not read the store checks whether it has to.
STANDBY_CHECK_INTERVAL_MS = 200.0


def ignore_snapshot(snapshot: messages.Snapshot) -> None:
    """Default `before_first`: does nothing."""


class TopicFollower(application.TaskComponent):
    """Reads one topic from the store and applies its records to the replica.

    Attributes:
        source_lost: Whether the last call to the store failed.
    """

    def __init__(
        self,
        replica: replica.TopicReplica,
        source: messages.RecordSource,
        clock: clocks.Clock,
        rng: random.Random,
        count_readers: Callable[[], int],
        should_read: Callable[[], bool],
        before_first: Callable[[messages.Snapshot], None] = ignore_snapshot,
    ):
        """Creates a follower.

        Args:
            replica: What the records are applied to.
            source: The store.
            clock: The clock.
            rng: Source of jitter.
            count_readers: Returns the number of VMs that read the store.
            should_read: Whether this VM has to read the store.
            before_first: Called with the first snapshot, before it is applied.
        """
        super().__init__()
        self._count_readers = count_readers
        self._should_read = should_read
        self._before_first = before_first
        self._replica = replica
        self._source = source
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger(task="follower", topic=replica.topic)
        self._backoff_ms = FIRST_BACKOFF_MS
        self._offset: int | None = None
        self._era = 0
        self.source_lost = False
        self._is_standby = False

    @property
    def reads_store(self) -> bool:
        """Whether this VM reads the store and its last call did not fail."""
        return not (self.source_lost or self._is_standby)

    def run(self) -> None:
        """Reads until killed."""
        while True:
            try:
                self._read_once()
            except messages.RecordsCompactedError:
                self._log.warning("records_forgotten", offset=self._offset)
                self._offset = None
            except errors.PlatformError as exc:
                self._on_source_lost(exc)
                self._back_off()
            except Exception as exc:
                self._log.exception("read_failed", offset=self._offset)
                self._on_source_lost(exc)
                self._back_off()

    def stop(self) -> None:
        """Stops reading."""
        super().stop()
        self._source.close()

    def _read_once(self) -> None:
        if self._replica.offset is not None and not self._should_read():
            self._stand_by()
            return
        self._resume()
        if self._offset is None:
            self._read_snapshot()
            return
        wait_ms = 0.0 if self.source_lost else self._poll_wait_ms()
        began_ms = self._clock.now()
        batch = self._source.read(self._replica.topic, self._offset, wait_ms)
        self._check_era(batch.era)
        self._on_source_regained()
        if batch.era > self._era:
            # The records from this offset on may be others than before.
            self._log.warning("store_era_changed", era=batch.era)
            self._offset = None
            return
        self._replica.apply_batch(batch)
        self._offset = batch.end
        if batch.reaches_end:
            self._replica.currency.confirm(
                self._earliest_answer_ms(batch, began_ms, wait_ms)
            )
        if batch.records:
            self._clock.sleep(READ_INTERVAL_MS)

    def _earliest_answer_ms(
        self, batch: messages.Batch, began_ms: float, wait_ms: float
    ) -> float:
        """Returns when the store answered a call at the earliest.

        It answers without records only after it has waited.
        """
        has_waited = self._clock.now() - began_ms >= wait_ms
        if batch.records or not has_waited:
            return began_ms
        return began_ms + wait_ms

    def _read_snapshot(self) -> None:
        began_ms = self._clock.now()
        snapshot = self._source.read_snapshot(self._replica.topic)
        self._check_era(snapshot.era)
        self._on_source_regained()
        if self._replica.offset is None:
            self._before_first(snapshot)
        self._replica.apply_snapshot(snapshot)
        self._replica.currency.confirm(began_ms)
        self._offset = snapshot.end
        self._era = snapshot.era

    def _check_era(self, era: int) -> None:
        if era < self._replica.era:
            raise errors.PlatformError(
                f"the store is in era {era}, and was in {self._replica.era}"
            )

    def _stand_by(self) -> None:
        """Stops reading the store; records come from peers instead."""
        if not self._is_standby:
            self._is_standby = True
            self._source.close()
            self._on_source_regained()
            self._log.info("standing_by", offset=self._replica.offset)
        self._clock.sleep(STANDBY_CHECK_INTERVAL_MS)

    def _resume(self) -> None:
        """Ends the standby; reading goes on at the replica's offset."""
        if not self._is_standby:
            return
        self._is_standby = False
        self._offset = self._replica.offset
        self._era = self._replica.era
        self._log.info("reading", offset=self._offset, era=self._era)

    def _poll_wait_ms(self) -> float:
        """Returns a random wait that spreads the calls of all readers evenly.

        Its mean is proportional to the number of readers, up to the maximum.
        """
        jitter = self._rng.uniform(0.5, 1.5)
        wait_ms = POLL_INTERVAL_MS * self._count_readers() * jitter
        return min(MAX_POLL_WAIT_MS, wait_ms)

    def _on_source_lost(self, exc: Exception) -> None:
        if self.source_lost:
            return
        self.source_lost = True
        self._log.warning("source_lost", error=str(exc))
        self._replica.on_source_lost()

    def _on_source_regained(self) -> None:
        self._backoff_ms = FIRST_BACKOFF_MS
        if not self.source_lost:
            return
        self.source_lost = False
        self._log.info("source_regained", offset=self._offset)
        self._replica.on_source_regained()

    def _back_off(self) -> None:
        self._clock.sleep(self._backoff_ms * (0.5 + self._rng.random()))
        self._backoff_ms = min(self._backoff_ms * 2, MAX_BACKOFF_MS)
