"""Keeps the configuration of a VM up to date with the log."""

from collections.abc import Callable
import math
import random
from typing import Protocol

import gevent
from gevent import event
import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import records
from hornbeampier.operators import configuration_log

LONG_POLL_MS = 1_500.0
# Bounds the records of one read; each may hold a whole configuration file.
READ_LIMIT = 16
MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 2_000.0
# Age of the latest snapshot at which a new one is appended, well before the log
# trims it. Each VM adds random jitter, so that about one of them appends.
SNAPSHOT_AGE_MS = 6 * 3_600_000.0
SNAPSHOT_JITTER = 0.25
MIN_SNAPSHOT_INTERVAL_MS = 60_000.0
# Upper bound of the random delay before a snapshot is appended to a log from
# which no VM could start.
MAX_FIRST_SNAPSHOT_DELAY_MS = 5_000.0
NO_OFFSET = -1
# How long a newer version that a peer reported may take to arrive through the
# log before it is fetched from the peers.
PEER_FETCH_DELAY_MS = 500.0
# Added to `PEER_FETCH_DELAY_MS` between two fetches from the peers, until a
# first configuration is in force.
START_RETRY_MS = 500.0
MAX_PEER_RETRY_MS = 5_000.0
# A version that no peer has reported for this long is ignored: it may have been
# lost with its VM.
MAX_PEER_VERSION_AGE_MS = 10_000.0
# How long a VM that started from a peer's snapshot waits for reports of newer
# versions before it counts as synced.
PEER_SYNC_MS = 1_500.0

ConfigurationListener = Callable[
    [configuration_log.AcceptedConfiguration], None
]
DecisionListener = Callable[[configuration_log.PublishDecision], None]


class SnapshotSource(Protocol):
    """The peers as a source of configuration snapshots."""

    def fetch(self) -> list[configuration_log.ConfigurationRecord]:
        """Returns the snapshots of the peers that respond."""
        ...


class ConfigurationFollower(application.BaseComponent):
    """Applies the configuration stream and notifies listeners.

    Attributes:
        read_at_ms: When the log was last read, or None.
        caught_up: Whether the last read reached the end of the log.
        state: The applied state.
    """

    def __init__(
        self,
        log: platform_log.Log,
        clk: clock.Clock,
        peers: SnapshotSource,
        rng: random.Random,
        snapshot_age_ms: float = SNAPSHOT_AGE_MS,
    ):
        self._platform_log = log
        self._clock = clk
        self._peers = peers
        self._snapshots = SnapshotWriter(log, clk, rng, snapshot_age_ms)
        self._log = structlog.get_logger(task="configuration")
        self._listeners: list[ConfigurationListener] = []
        self._decision_listeners: list[DecisionListener] = []
        self._notified_version = configuration_log.NO_VERSION
        self._peer_version = configuration_log.NO_VERSION
        self._peer_version_at_ms = clk.now()
        self._newer_version_reported = event.Event()
        self._adopted_at_ms: float | None = None
        self._synced = False
        self._tasks: list[gevent.Greenlet] = []
        self.read_at_ms: float | None = None
        self.caught_up = False
        self.state = configuration_log.ConfigurationState()

    @property
    def accepted(self) -> configuration_log.AcceptedConfiguration | None:
        """The configuration in force, or None before the first one."""
        return self.state.accepted

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Calls `listener` with each newly accepted configuration."""
        self._listeners.append(listener)

    def subscribe_decisions(self, listener: DecisionListener) -> None:
        """Calls `listener` with the outcome of each publish record."""
        self._decision_listeners.append(listener)

    def start(self) -> None:
        """Starts the tasks that follow the log and the peers."""
        self._tasks = [
            gevent.spawn(self._follow_log),
            gevent.spawn(self._follow_peers),
        ]

    def stop(self) -> None:
        """Ends both tasks."""
        gevent.killall(self._tasks)

    def record_peer_version(self, version: int) -> None:
        """Records that a peer has `version` in force."""
        if version >= self._newest_peer_version():
            self._peer_version = version
            self._peer_version_at_ms = self._clock.now()
        if version > self.state.version:
            self._newer_version_reported.set()

    def has_synced(self) -> bool:
        """Returns whether this VM has ever been at the newest known version.

        Stays true from then on: a publish must not make all VMs unready.
        """
        if not self._synced and self.accepted is not None:
            self._synced = self.caught_up or self._peers_agree()
        return self._synced

    def _peers_agree(self) -> bool:
        if self._adopted_at_ms is None:
            return False
        waited_ms = self._clock.now() - self._adopted_at_ms
        behind = self.state.version < self._newest_peer_version()
        return waited_ms >= PEER_SYNC_MS and not behind

    def _newest_peer_version(self) -> int:
        """Returns the newest version that a peer has reported recently."""
        if (
            self._clock.now() - self._peer_version_at_ms
            > MAX_PEER_VERSION_AGE_MS
        ):
            return configuration_log.NO_VERSION
        return self._peer_version

    def _follow_log(self) -> None:
        retry_ms = MIN_RETRY_MS
        while True:
            if self._poll_safely():
                retry_ms = MIN_RETRY_MS
                continue
            self._clock.sleep(retry_ms)
            retry_ms = min(2 * retry_ms, MAX_RETRY_MS)

    def _poll_safely(self) -> bool:
        """Polls the log; exceptions, also of listeners, do not end the task."""
        try:
            # The poll ends when the next snapshot is due. Otherwise a record
            # would end the long polls of all VMs together and undo the jitter.
            wait_ms = min(LONG_POLL_MS, self._snapshots.wait_ms())
            return self.poll_log(wait_ms)
        except Exception:
            self._log.exception("configuration_step_failed")
            return False

    def _follow_peers(self) -> None:
        retry_ms = PEER_FETCH_DELAY_MS
        while True:
            timeout_ms = START_RETRY_MS if self.accepted is None else None
            self._newer_version_reported.wait(
                timeout_ms and timeout_ms / 1000.0
            )
            self._newer_version_reported.clear()
            self._clock.sleep(retry_ms)
            behind = self.state.version < max(0, self._newest_peer_version())
            if behind and not self.adopt_from_peers() and self.accepted:
                retry_ms = min(2 * retry_ms, MAX_PEER_RETRY_MS)
            else:
                retry_ms = PEER_FETCH_DELAY_MS

    def poll_log(self, wait_ms: float = 0) -> bool:
        """Reads the log once and applies its records.

        Returns False if the log could not be read, or if it trimmed unread
        records and no snapshot could be adopted instead.
        """
        offset = self.state.next_offset
        try:
            batch = self._platform_log.read(
                configuration_log.STREAM, offset, wait_ms, READ_LIMIT
            )
        except errors.OffsetTrimmedError as exc:
            return self._recover_from_trim(exc.first_offset)
        except errors.PlatformError as exc:
            self._log.warning("log_unavailable", error=str(exc))
            return False
        for record in batch.records:
            self._apply(record)
        self._notify_listeners()
        self.read_at_ms = self._clock.now()
        self.caught_up = len(batch.records) < READ_LIMIT
        if self.caught_up:
            self._snapshots.append_if_due(self.state, batch.first)
        return True

    def adopt_from_peers(self) -> bool:
        """Adopts newer snapshots of peers; returns whether there was one."""
        snapshots = self._peers.fetch()
        # No call from here to the end of `_notify_listeners` may switch
        # greenlets.
        adopted = [s for s in snapshots if self.state.adopt(s)]
        if not adopted:
            return False
        self._adopted_at_ms = self._clock.now()
        self._log.info("peer_adopted", version=self.state.version)
        self._notify_listeners()
        return True

    def _apply(self, record: records.LogRecord) -> None:
        if record.offset < self.state.next_offset:
            return
        self._snapshots.postpone_if_replay_start(record)
        decision = self.state.apply(record)
        if decision is None:
            return
        for listener in self._decision_listeners:
            listener(decision)
        self._log.info(
            "configuration_judged",
            publish_id=decision.publish_id,
            outcome=decision.outcome.value,
            offset=decision.offset,
            accepted_version=decision.accepted_version,
        )

    def _recover_from_trim(self, first_offset: int) -> bool:
        """Restarts from a snapshot after the log trimmed unread records."""
        try:
            adopted = self._adopt_from_log(first_offset)
        except errors.PlatformError as exc:
            self._log.warning("log_unavailable", error=str(exc))
            return False
        if adopted:
            self._log.info("snapshot_adopted", version=self.state.version)
            self._notify_listeners()
            return True
        self._log.warning("configuration_forgotten", first=first_offset)
        return self.adopt_from_peers()

    def _adopt_from_log(self, first_offset: int) -> bool:
        """Adopts the oldest usable snapshot; then most records are applied."""
        offset = first_offset
        while True:
            batch = self._platform_log.read(
                configuration_log.STREAM, offset, 0, READ_LIMIT
            )
            if not batch.records:
                return False
            for record in batch.records:
                snapshot = configuration_log.usable_snapshot(
                    record, first_offset
                )
                if snapshot and self.state.adopt(snapshot):
                    return True
            offset = batch.next

    def _notify_listeners(self) -> None:
        accepted = self.state.accepted
        if accepted is None or accepted.version <= self._notified_version:
            return
        for listener in self._listeners:
            listener(accepted)
        self._notified_version = accepted.version
        self._log.info("configuration_in_force", version=accepted.version)


class SnapshotWriter:
    """Appends snapshots, so that the log always has one to start from."""

    def __init__(
        self,
        log: platform_log.Log,
        clk: clock.Clock,
        rng: random.Random,
        age_ms: float,
    ):
        self._platform_log = log
        self._clock = clk
        self._rng = rng
        self._age_ms = age_ms
        self._replay_start_offset = NO_OFFSET
        self._due_unix_ms: float | None = None
        self._last_attempt_ms = float("-inf")
        self._log = structlog.get_logger(task="snapshots")

    def postpone_if_replay_start(self, record: records.LogRecord) -> None:
        """Postpones the next snapshot if a replay may start at `record`."""
        if configuration_log.is_replay_start(record):
            self._replay_start_offset = record.offset
            jitter = 1 + self._rng.uniform(0, SNAPSHOT_JITTER)
            self._due_unix_ms = record.at_ms + self._age_ms * jitter

    def wait_ms(self) -> float:
        """Returns the time until the next snapshot is due."""
        if self._due_unix_ms is None:
            return float("inf")
        until_due_ms = self._due_unix_ms - self._clock.unix()
        until_retry_ms = (
            self._last_attempt_ms + MIN_SNAPSHOT_INTERVAL_MS - self._clock.now()
        )
        return max(0.0, until_due_ms, until_retry_ms)

    def append_if_due(
        self, state: configuration_log.ConfigurationState, first_offset: int
    ) -> None:
        """Appends a snapshot of `state` if one is due.

        Args:
            state: The state at the end of the log.
            first_offset: The oldest offset that the log retains.
        """
        self._schedule_if_missing(first_offset)
        if self.wait_ms() > 0:
            return
        self._last_attempt_ms = self._clock.now()
        snapshot = state.snapshot()
        if snapshot is None:
            return
        try:
            self._platform_log.append(
                configuration_log.STREAM, msgspec.json.encode(snapshot)
            )
        except errors.PlatformError as exc:
            self._log.warning("snapshot_failed", error=str(exc))

    def _schedule_if_missing(self, first_offset: int) -> None:
        """Makes a snapshot due soon if the log has none to start from."""
        if math.isinf(self._age_ms):
            self._due_unix_ms = self._age_ms
        elif (
            self._due_unix_ms is None
            or first_offset > self._replay_start_offset
        ):
            delay_ms = self._rng.uniform(0, MAX_FIRST_SNAPSHOT_DELAY_MS)
            self._due_unix_ms = self._clock.unix() + delay_ms
            self._replay_start_offset = first_offset
