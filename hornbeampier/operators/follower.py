"""The task that keeps a VM's configuration up with the log."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.operators import history
from hornbeampier.platform import log as platform_log
from hornbeampier.platform import records

LONG_POLL_MS = 1_500.0
RETRY_MS = 250.0
# A snapshot is appended long before the log forgets the accepted file.
SNAPSHOT_AGE_MS = 6 * 3_600_000.0

Listener = Callable[[history.Accepted], None]


class SnapshotSource(Protocol):
    """Other VMs that know the accepted configuration."""

    def fetch(self) -> list[history.ConfigurationRecord]:
        """Returns the snapshots of the peers that answer."""
        ...


class ConfigurationFollower(application.TaskComponent):
    """Folds the configuration stream and tells listeners of new versions."""

    def __init__(
        self,
        log: platform_log.Log,
        clock: clock.Clock,
        peers: SnapshotSource,
        snapshot_age_ms: float = SNAPSHOT_AGE_MS,
    ):
        super().__init__()
        self._platform_log = log
        self._clock = clock
        self._peers = peers
        self._snapshot_age_ms = snapshot_age_ms
        self._log = structlog.get_logger(task="configuration")
        self._listeners: list[Listener] = []
        self._announced = history.NO_VERSION
        self._last_kept_unix_ms = 0.0
        self.history = history.History()
        self.judgements: dict[str, history.Judgement] = {}

    @property
    def accepted(self) -> history.Accepted | None:
        """The configuration in force, or None before the first."""
        return self.history.accepted

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each newly accepted configuration."""
        self._listeners.append(listener)

    def run(self) -> None:
        """Follows the stream until killed."""
        while True:
            if not self.step(LONG_POLL_MS):
                self.adopt_from_peers()
                self._clock.sleep(RETRY_MS)

    def step(self, wait_ms: float = 0) -> bool:
        """Reads the log once; returns whether it could be read."""
        try:
            answer = self._platform_log.read(
                history.STREAM, self.history.next, wait_ms
            )
        except errors.OffsetForgottenError as exc:
            return self._recover(exc.first)
        except errors.PlatformError as exc:
            self._log.warning("log_unavailable", error=str(exc))
            return False
        for record in answer.records:
            self._fold(record)
        self._announce()
        if not answer.records:
            self._keep_alive()
        return True

    def adopt_from_peers(self) -> bool:
        """Adopts the newest snapshot of the peers, if it is ahead."""
        adopted = False
        for snapshot in self._peers.fetch():
            adopted |= self.history.adopt(snapshot)
        self._announce()
        return adopted

    def _fold(self, record: records.LogRecord) -> None:
        judgement = self.history.fold(record)
        entry = history.decode(record.data)
        kept = judgement and judgement.outcome is history.Outcome.ACCEPTED
        if kept or (entry and entry.version == self.history.version):
            self._last_kept_unix_ms = record.at_ms
        if judgement:
            self.judgements[judgement.publish_id] = judgement
            self._log.info(
                "configuration_judged",
                publish_id=judgement.publish_id,
                outcome=judgement.outcome.value,
                offset=judgement.offset,
                accepted_version=judgement.accepted_version,
            )

    def _recover(self, first: int) -> bool:
        """Starts again from a snapshot after the log forgot records."""
        try:
            stream = self._read_all(first)
        except errors.PlatformError as exc:
            self._log.warning("log_unavailable", error=str(exc))
            return False
        snapshot = history.find_snapshot(stream, first)
        if snapshot and self.history.adopt(snapshot):
            self._log.info("snapshot_adopted", version=self.history.version)
            self._announce()
            return True
        return self.adopt_from_peers()

    def _read_all(self, first: int) -> tuple[records.LogRecord, ...]:
        stream: list[records.LogRecord] = []
        offset = first
        while True:
            answer = self._platform_log.read(history.STREAM, offset)
            if not answer.records:
                return tuple(stream)
            stream += answer.records
            offset = answer.next

    def _announce(self) -> None:
        accepted = self.history.accepted
        if accepted is None or accepted.version <= self._announced:
            return
        self._announced = accepted.version
        self._log.info("configuration_in_force", version=accepted.version)
        for listener in self._listeners:
            listener(accepted)

    def _keep_alive(self) -> None:
        """Appends a snapshot before the log forgets the accepted file."""
        age_ms = self._clock.unix() - self._last_kept_unix_ms
        snapshot = self.history.snapshot()
        if snapshot is None or age_ms < self._snapshot_age_ms:
            return
        try:
            self._platform_log.append(
                history.STREAM, msgspec.json.encode(snapshot)
            )
        except errors.PlatformError as exc:
            self._log.warning("snapshot_failed", error=str(exc))
