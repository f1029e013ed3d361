"""Finalizes windows of usage and reports them while this VM has the duty."""

from collections.abc import Collection
import random
from typing import Protocol

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import terms
from hornbeampier.duties import usage_clock
from hornbeampier.duties import usage_counts
from hornbeampier.duties import usage_eras
from hornbeampier.duties import usage_records
from hornbeampier.duties import usage_windows

STEP_INTERVAL_MS = 250.0
QUERY_INTERVAL_MS = 500.0
# A new holder repeats its subscription until it is unlikely to be lost.
FIRST_SUBSCRIPTIONS = 3
SUBSCRIPTION_INTERVAL_MS = 8_000.0
SUBSCRIPTION_BITS = 32
# Wait after a call without success, beside the API client's own spacing.
FIRST_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 2_000.0
# Number of VMs without counts that are named in a log line.
LOGGED_VMS = 5


class CountExchange(Protocol):
    """Gets the counts of other VMs; see `peers.usage_exchange`."""

    def hosts(self) -> Collection[str]:
        """Returns the live VMs, this one included."""
        ...

    def collectors(self) -> Collection[str]:
        """Returns the VMs that hold the counts of all others."""
        ...

    def subscribe(self, number: int) -> None:
        """Asks all VMs for their counts."""
        ...

    def query(self, window: int, hosts: Collection[str]) -> None:
        """Asks some VMs for what they hold of a window."""
        ...

    def announce(self, report: usage_records.UsageReport) -> None:
        """Tells the collectors of a finalized report."""
        ...


class UsageReporter(application.TaskComponent):
    """Reports usage while this VM holds the lease, and nothing otherwise."""

    def __init__(
        self,
        host: str,
        due_ms: float,
        lease: terms.DutyLease,
        api: terms.DutyApi,
        exchange: CountExchange,
        counts: usage_counts.UsageCounts,
        windows: usage_windows.UsageWindows,
        true_time: usage_clock.UsageClock,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Creates the component.

        Args:
            host: The host of this VM.
            due_ms: Time after the end of a window when its report is due.
            lease: The lease of the duty.
            api: The platform's calls.
            exchange: Gets the counts of other VMs.
            counts: The counts of this VM.
            windows: The counts of all VMs.
            true_time: The time that windows refer to.
            metrics: Where windows and reports are counted.
            clock: The clock.
            rng: Source of the numbers of subscriptions.
        """
        super().__init__()
        self._host = host
        self._due_ms = due_ms
        self._lease = lease
        self._api = api
        self._exchange = exchange
        self._counts = counts
        self._windows = windows
        self._time = true_time
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._holding_since_ms: float | None = None
        self._subscription = 0
        self._subscriptions_sent = 0
        self._next_subscription_ms = 0.0
        self._next_query_ms = 0.0
        self._next_call_ms = 0.0
        self._backoff_ms = FIRST_BACKOFF_MS
        # All finalized reports seen, including those that the store has lost.
        self._reports: dict[int, usage_records.UsageReport] = {}
        self._accepted: set[int] = set()
        self._skipped: set[int] = set()
        self._eras = usage_eras.UsageEras(lease, windows, true_time)
        self._is_draining = False
        self._log = structlog.get_logger(task="usage_reporter")

    def run(self) -> None:
        """Takes steps until drained or killed."""
        while not self._is_draining:
            try:
                self.step()
            except Exception:
                self._log.exception("usage_step_failed")
            self._clock.sleep(STEP_INTERVAL_MS)

    def drain(self) -> None:
        """Begins no more steps; a successor reports what is left."""
        self._is_draining = True

    def step(self) -> None:
        """Does what is due if this VM may act."""
        if self._lease.term() is None:
            self._holding_since_ms = None
            return
        if self._holding_since_ms is None:
            self._begin_holding()
        self._read_records()
        now_ms = self._time.now()
        holding = self._describe_holding()
        self._gather(now_ms, holding)
        if self._restore_records() and self._eras.settle():
            self._skip_doubtful(now_ms)
            self._finalize(now_ms, holding)
        self._send_next()

    def _begin_holding(self) -> None:
        self._holding_since_ms = self._time.now()
        self._subscription = self._rng.getrandbits(SUBSCRIPTION_BITS)
        self._subscriptions_sent = 0
        self._next_subscription_ms = 0.0
        self._windows.forget_replies()
        self._eras.begin_holding()
        self._skipped.clear()
        self._log.info("usage_duty_begun", windows=len(self._reports))

    def _describe_holding(self) -> usage_windows.Holding:
        return usage_windows.Holding(
            since_ms=self._holding_since_ms,
            first_whole_window=self._counts.first_whole_window,
            hosts=self._exchange.hosts(),
            collectors=[
                host
                for host in self._exchange.collectors()
                if host != self._host
            ],
        )

    def _read_records(self) -> None:
        """Adds the reports that the store holds and drops old ones."""
        kept = self._windows.open_windows(self._time.now())
        records = usage_records.decode_all(self._lease.records())
        self._reports = {**self._windows.reports, **self._reports, **records}
        # A VM whose clock is wrong may have finalized windows of the future.
        self._reports = {w: r for w, r in self._reports.items() if w in kept}
        self._accepted = {w for w in self._accepted if w in kept}
        self._skipped = {w for w in self._skipped if w in kept}

    def _gather(self, now_ms: float, holding: usage_windows.Holding) -> None:
        """Asks other VMs for their counts."""
        if self._clock.now() >= self._next_subscription_ms:
            self._exchange.subscribe(self._subscription)
            self._subscriptions_sent += 1
            is_new = self._subscriptions_sent < FIRST_SUBSCRIPTIONS
            self._next_subscription_ms = self._clock.now() + (
                QUERY_INTERVAL_MS if is_new else SUBSCRIPTION_INTERVAL_MS
            )
        if self._clock.now() < self._next_query_ms:
            return
        self._next_query_ms = self._clock.now() + QUERY_INTERVAL_MS
        unanswered = self._windows.unanswered(now_ms, holding, self._done())
        for window, hosts in unanswered.items():
            self._exchange.query(window, hosts)

    def _done(self) -> set[int]:
        """Returns the windows that need not be finalized any more."""
        through = self._accepted_through()
        return {
            *self._reports,
            *self._skipped,
            *range(
                self._windows.open_windows(self._time.now()).start, through + 1
            ),
        }

    def _accepted_through(self) -> int:
        return max(
            (report.accepted_through for report in self._reports.values()),
            default=-1,
        )

    def _restore_records(self) -> bool:
        """Appends the reports that the store has lost.

        Without them a successor would finalize their windows again.

        Returns:
            Whether the store has all of them now.
        """
        held = usage_records.decode_all(self._lease.records())
        for window in sorted(self._reports.keys() - held.keys()):
            if not self._append(self._reports[window]):
                return False
        return True

    def _finalize(self, now_ms: float, holding: usage_windows.Holding) -> None:
        skipped = []
        for due in self._windows.find_due(now_ms, holding, self._done()):
            if due.counts is None:
                skipped.append(due.window)
                continue
            report = usage_records.UsageReport(
                due.window, due.counts, self._finished_before(due.window)
            )
            if not self._append(report):
                break
            self._reports[due.window] = report
            self._exchange.announce(report)
            self._record_finalized(due)
        self._record_skipped(skipped, "no_counts")

    def _skip_doubtful(self, now_ms: float) -> None:
        """Skips windows that may have been reported with other counts."""
        done = self._done()
        doubtful = [
            window
            for window in self._windows.open_windows(now_ms)
            if window <= self._eras.doubtful_through and window not in done
        ]
        self._record_skipped(doubtful, "store_era")

    def _append(self, report: usage_records.UsageReport) -> bool:
        return self._lease.append(
            usage_records.key_of(report.window), usage_records.encode(report)
        )

    def _finished_before(self, window: int) -> int:
        """Returns the last window before `window` and all pending ones."""
        return min([window, *self._pending()]) - 1

    def _record_finalized(self, due: usage_windows.DueWindow) -> None:
        self._metrics.record_usage_window(
            "partial" if due.missing else "complete"
        )
        self._log.info(
            "usage_finalized",
            window=due.window,
            accounts=len(due.counts),
            requests=sum(due.counts.values()),
            age_ms=round(due.age_ms),
            missing=len(due.missing),
            missing_vms=sorted(due.missing)[:LOGGED_VMS],
        )

    def _record_skipped(self, windows: list[int], reason: str) -> None:
        if not windows:
            return
        self._skipped.update(windows)
        for _ in windows:
            self._metrics.record_usage_window("skipped")
        self._log.warning(
            "usage_windows_skipped",
            reason=reason,
            first=windows[0],
            last=windows[-1],
            count=len(windows),
        )

    def _pending(self) -> list[int]:
        """Returns the finalized windows to send, those in time first."""
        now_ms = self._time.now()
        through = self._accepted_through()
        pending = [
            window
            for window in self._reports
            if window > through and window not in self._accepted
        ]
        return sorted(
            pending,
            key=lambda w: (
                now_ms > self._windows.end_ms(w) + self._due_ms,
                w,
            ),
        )

    def _send_next(self) -> None:
        """Sends one report; its counts are those of its record."""
        term = self._lease.term()
        pending = self._pending()
        if not pending or term is None:
            return
        if self._clock.now() < self._next_call_ms:
            return
        window = pending[0]
        if not self._is_recorded(window):
            return
        outcome = self._api.report_usage(
            term, window, self._reports[window].counts
        )
        self._record_outcome(term, window, outcome)

    def _is_recorded(self, window: int) -> bool:
        """Whether the store has a record with exactly these counts."""
        held = usage_records.decode_all(self._lease.records())
        report = held.get(window)
        return (
            report is not None and report.counts == self._reports[window].counts
        )

    def _record_outcome(
        self, term: terms.Term, window: int, outcome: terms.Outcome
    ) -> None:
        if outcome is terms.Outcome.ACCEPTED:
            self._accepted.add(window)
            self._backoff_ms = FIRST_BACKOFF_MS
        else:
            self._next_call_ms = self._clock.now() + self._backoff_ms
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        if outcome is terms.Outcome.REFUSED:
            self._lease.record_refused(term.token)
        self._log.info(
            "usage_reported",
            window=window,
            outcome=outcome.value,
            token=term.token,
            age_ms=round(self._time.now() - self._windows.end_ms(window)),
        )
