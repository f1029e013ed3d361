"""Keeps the lease of one duty in the platform's store."""

from collections.abc import Callable

import gevent
from gevent import event
from gevent import lock
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.duties import lease
from hornbeampier.duties import lease_records
from hornbeampier.duties import lease_steps
from hornbeampier.duties import terms

# Steps of a release: a lost response makes a read and another append necessary.
MAX_RELEASE_STEPS = 5
# How long a drain waits for the release, which goes on in the background.
RELEASE_WAIT_MS = 500.0
# Shortest wait between two steps, so that other greenlets run.
MIN_WAIT_MS = 1.0


class LeaseKeeper(application.TaskComponent):
    """The component that acquires, renews and releases one lease."""

    def __init__(
        self,
        duty: str,
        decision: lease.Lease,
        store: lease_records.LeaseStore,
        is_candidate: Callable[[], bool],
        end_calls: Callable[[], bool],
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            duty: The name of the duty.
            decision: Decides about the lease.
            store: The duty's partition.
            is_candidate: Whether this VM is to acquire a free lease.
            end_calls: Ends the API's calls for good; returns whether the next
                holder may act at once.
            metrics: Where the lease is shown.
            clock: The clock of `decision`.
        """
        super().__init__()
        self._duty = duty
        self._decision = decision
        self._store = store
        self._is_candidate = is_candidate
        self._end_calls = end_calls
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger(task="lease_keeper", duty=duty)
        # Held during a call of the store.
        self._lock = lock.BoundedSemaphore()
        self._is_due = event.Event()
        self._has_failed = False
        self._is_draining = False
        self._release_task: gevent.Greenlet | None = None

    def run(self) -> None:
        """Keeps the lease until killed."""
        while not self._is_draining:
            self._is_due.clear()
            self._run_due_steps()
            wait_ms = self._decision.due_ms - self._clock.now()
            self._is_due.wait(max(MIN_WAIT_MS, wait_ms) / clocks.MS_PER_SECOND)

    def drain(self) -> None:
        """Ends the term and releases the lease, if the store responds soon."""
        self._is_draining = True
        self._decision.drain()
        self._is_due.set()
        self._release_task = gevent.spawn(self._release)
        self._release_task.join(RELEASE_WAIT_MS / clocks.MS_PER_SECOND)

    def stop(self) -> None:
        """Ends all tasks and closes the connections."""
        super().stop()
        if self._release_task is not None:
            self._release_task.kill()
        self._store.close()

    def term(self) -> terms.Term | None:
        """Returns the permission to act, or None if this VM has none now."""
        return self._decision.term()

    def held_ms(self) -> float | None:
        """Returns for how long this VM has held the lease, or None."""
        return self._decision.held_ms()

    def era(self) -> terms.StoreEra | None:
        """Returns the era that the records are of; None without the lease."""
        return self._decision.era()

    def records(self) -> dict[str, bytes]:
        """Returns the newest record of each key, as last read or appended."""
        return self._decision.records()

    def append(self, key: str, value: bytes) -> bool:
        """Writes a record; returns whether it lasts and the lease still holds.

        If not, the record may have been written all the same.
        """
        with self._lock:
            step = self._decision.begin_record(key, value)
            appended = step is not None and self._execute(step)
        self._is_due.set()
        return appended and self.term() is not None

    def record_refused(self, token: int) -> None:
        """Records that the API refused `token`, having seen a higher one."""
        self._decision.record_refused(token)
        self._is_due.set()

    def _run_due_steps(self) -> None:
        with self._lock:
            step = self._decision.next_step(self._is_candidate())
            if step is not None:
                self._execute(step)
        self._record_metrics()

    def _release(self) -> None:
        if not self._end_calls():
            self._log.warning("lease_kept_for_late_calls")
            return
        with self._lock:
            for _ in range(MAX_RELEASE_STEPS):
                step = self._decision.begin_release()
                if step is None:
                    break
                self._execute(step)
        self._record_metrics()

    def _execute(self, step: lease_steps.Step) -> bool:
        """Calls the store; returns whether it acknowledged an append."""
        appended = False
        try:
            if isinstance(step, lease_steps.Read):
                self._decision.on_read(self._store.read())
            else:
                appended = self._append(step)
        except lease_records.AppendConflictError as exc:
            self._log.info("lease_append_refused", error=str(exc))
            self._decision.on_conflict()
        except errors.PlatformError as exc:
            self._record_failure(exc)
            self._decision.on_failed()
            return False
        except Exception:
            self._decision.on_failed()
            raise
        self._has_failed = False
        return appended

    def _append(self, step: lease_steps.Append) -> bool:
        appended = self._store.append(step.at.end, step.holder, step.records)
        return self._decision.on_appended(step, appended)

    def _record_failure(self, exc: errors.PlatformError) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._log.warning("lease_store_lost", error=str(exc))

    def _record_metrics(self) -> None:
        self._metrics.record_lease(
            self._duty, self._decision.term() is not None, self._decision.token
        )
