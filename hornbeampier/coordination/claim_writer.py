"""Appends a VM's claims, releases and outcomes to the log in batches."""

import collections
from collections.abc import Callable
import dataclasses

from gevent import event
import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import platform_log

MAX_BATCH_ENTRIES = 64
# All VMs share the log's append capacity. A VM appends at most once per
# interval on average; after an idle time, `APPEND_BURST` more need not wait.
APPEND_INTERVAL_MS = 25.0
APPEND_BURST = 10
RETRY_MS = 250.0
DRAIN_TIMEOUT_MS = 5_000.0
DRAIN_POLL_MS = 10.0

OnRefused = Callable[[], None]


@dataclasses.dataclass(frozen=True)
class _PendingEntry:
    """An entry to append; one with `on_refused` is not retried."""

    entry: claim_records.Entry
    on_refused: OnRefused | None = None


class ClaimWriter(application.TaskComponent):
    """Appends entries in batches, one append at a time.

    A claim is appended at most once. A release or an outcome is retried until
    the log confirms it; the claim index ignores duplicates.

    Attributes:
        appends: Number of appends so far, failed ones included.
    """

    def __init__(self, vm: str, log: platform_log.Log, clock: clock.Clock):
        super().__init__()
        self._vm = vm
        self._platform_log = log
        self._clock = clock
        self._log = structlog.get_logger(task="claim_writer")
        self._pending: collections.deque[_PendingEntry] = collections.deque()
        self._has_pending = event.Event()
        self._is_appending = False
        self._next_append_ms = 0.0
        self.appends = 0

    @property
    def backlog(self) -> int:
        """The number of entries that wait to be appended."""
        return len(self._pending)

    @property
    def is_idle(self) -> bool:
        """Whether no entry waits to be appended or is being appended."""
        return not self._pending and not self._is_appending

    def submit_claim(
        self, claim: claim_records.Claim, on_refused: OnRefused
    ) -> None:
        """Queues a claim; calls `on_refused` if the log surely lacks it."""
        self._submit(_PendingEntry(claim, on_refused))

    def submit(self, entry: claim_records.Release | claim_records.Outcome):
        """Queues a release or an outcome."""
        self._submit(_PendingEntry(entry))

    def withdraw(self, claim: claim_records.Claim) -> bool:
        """Removes a queued claim; returns False if its append has begun."""
        for pending in self._pending:
            if pending.entry is claim:
                self._pending.remove(pending)
                return True
        return False

    def run(self) -> None:
        """Appends batches until killed."""
        while True:
            self._has_pending.wait()
            self._throttle()
            if not self.append_batch():
                self._clock.sleep(RETRY_MS)

    def append_batch(self) -> bool:
        """Appends one batch, if any; returns False if it was not confirmed."""
        batch = [
            self._pending.popleft()
            for _ in range(min(len(self._pending), MAX_BATCH_ENTRIES))
        ]
        if not self._pending:
            self._has_pending.clear()
        if not batch:
            return True
        self._is_appending = True
        try:
            return self._append(batch)
        finally:
            self._is_appending = False

    def drain(self) -> None:
        """Waits up to `DRAIN_TIMEOUT_MS` until the log has all entries."""
        end_ms = self._clock.now() + DRAIN_TIMEOUT_MS
        while not self.is_idle:
            if self._clock.now() > end_ms:
                self._log.error("claims_not_flushed", entries=self.backlog)
                return
            self._clock.sleep(DRAIN_POLL_MS)

    def _throttle(self) -> None:
        """Limits the rate of appends; more entries queue up meanwhile."""
        now_ms = self._clock.now()
        burst_start_ms = now_ms - APPEND_BURST * APPEND_INTERVAL_MS
        self._next_append_ms = max(self._next_append_ms, burst_start_ms)
        if self._next_append_ms > now_ms:
            self._clock.sleep(self._next_append_ms - now_ms)
        self._next_append_ms += APPEND_INTERVAL_MS

    def _submit(self, pending: _PendingEntry) -> None:
        self._pending.append(pending)
        self._has_pending.set()

    def _append(self, batch: list[_PendingEntry]) -> bool:
        record = claim_records.ClaimBatch(
            self._vm, tuple(p.entry for p in batch)
        )
        self.appends += 1
        try:
            self._platform_log.append(
                claim_records.STREAM, msgspec.json.encode(record)
            )
        except errors.AppendOutcomeUnknownError as exc:
            self._log.warning("claim_append_unknown", error=str(exc))
        except errors.PlatformError as exc:
            self._log.warning("claim_append_refused", error=str(exc))
            for pending in batch:
                if pending.on_refused:
                    pending.on_refused()
        else:
            return True
        self._requeue([p for p in batch if p.on_refused is None])
        return False

    def _requeue(self, batch: list[_PendingEntry]) -> None:
        self._pending.extendleft(reversed(batch))
        if batch:
            self._has_pending.set()
