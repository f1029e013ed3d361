"""Follows a topic and applies its records in order."""

from collections.abc import Callable
import random

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.replication import messages

# Long enough that an unchanged topic costs few calls.
POLL_WAIT_MS = 20_000.0
FIRST_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1_000.0


class TopicFollower(application.TaskComponent):
    """Reads one topic for as long as the process lives.

    Attributes:
        offset: Where the next record begins, or None before the first read.
        lost: Whether the last call failed.
    """

    def __init__(
        self,
        topic: str,
        source: messages.Source,
        applier: messages.Applier,
        clock: clocks.Clock,
        rng: random.Random,
        on_loaded: Callable[[], None] | None = None,
    ):
        super().__init__()
        self._topic = topic
        self._source = source
        self._applier = applier
        self._clock = clock
        self._rng = rng
        self._on_loaded = on_loaded
        self._log = structlog.get_logger(task="follower", topic=topic)
        self._backoff_ms = FIRST_BACKOFF_MS
        self.offset: int | None = None
        self.lost = False

    def run(self) -> None:
        """Reads until it is killed."""
        while True:
            try:
                self._step()
            except messages.RecordsForgottenError:
                self._log.warning("records_forgotten", offset=self.offset)
                self.offset = None
            except errors.PlatformError as exc:
                self._note_lost(exc)
                self._back_off()

    def stop(self) -> None:
        """Stops reading."""
        super().stop()
        self._source.close()

    def _step(self) -> None:
        if self.offset is None:
            self._load()
            return
        wait_ms = 0.0 if self.lost else POLL_WAIT_MS
        batch = self._source.read(self._topic, self.offset, wait_ms)
        self._note_regained()
        for record in batch.records:
            self._applier.apply_record(record)
        if batch.records:
            self.offset = batch.records[-1].offset + 1

    def _load(self) -> None:
        snapshot = self._source.newest(self._topic)
        self._note_regained()
        self._applier.apply_snapshot(snapshot)
        self.offset = snapshot.end
        if self._on_loaded is not None:
            self._on_loaded()

    def _note_lost(self, exc: errors.PlatformError) -> None:
        if not self.lost:
            self._log.warning("source_lost", error=str(exc))
        self.lost = True

    def _note_regained(self) -> None:
        self._backoff_ms = FIRST_BACKOFF_MS
        if not self.lost:
            return
        self.lost = False
        self._log.info("source_regained", offset=self.offset)
        self._applier.note_regained()

    def _back_off(self) -> None:
        self._clock.sleep(self._backoff_ms * (0.5 + self._rng.random()))
        self._backoff_ms = min(self._backoff_ms * 2, MAX_BACKOFF_MS)
