"""Merges the counts of all VMs and decides when a window is finalized."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from hornbeampier.duties import usage_counts
from hornbeampier.duties import usage_records

# When a window is finalized after its end: with the counts of all live VMs, or
# without some of them.
EARLIEST_MS = 1_000.0
LATEST_MS = 2_500.0
# A VM that takes the duty over gets the counts of the others within this time.
TAKEOVER_MS = 1_500.0
# Limits of what other VMs may make this one keep.
MAX_ROWS = 2_000
MAX_WINDOWS_AHEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A process of a VM that counts requests."""

    host: str
    process: int


@dataclasses.dataclass(slots=True)
class Row:
    """The counts of one process in one window.

    Attributes:
        is_final: Whether the process has confirmed that they will not change.
    """

    is_final: bool = False
    counts: dict[str, int] = dataclasses.field(default_factory=dict)

    def merge(self, counts: Mapping[str, int], is_final: bool) -> None:
        """Takes the maximum: counts only grow, and datagrams are reordered."""
        self.is_final = self.is_final or is_final
        for account, count in counts.items():
            if count > self.counts.get(account, 0):
                self.counts[account] = count


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What this VM knows of its holding of the duty.

    Attributes:
        since_ms: Since when it holds the duty, in true time (ms since the Unix
            epoch; see `usage_clock`).
        first_whole_window: The first window throughout which it was up.
        hosts: The live VMs, this one included.
        collectors: The VMs that hold counts of VMs that have gone.
    """

    since_ms: float
    first_whole_window: int
    hosts: Collection[str]
    collectors: Collection[str]


@dataclasses.dataclass(frozen=True, slots=True)
class DueWindow:
    """A window that is to be finalized now.

    Attributes:
        counts: The requests by account; None if the window is skipped.
        missing: The live VMs that have not confirmed their counts.
        age_ms: Time since the end of the window.
    """

    window: int
    counts: dict[str, int] | None
    missing: frozenset[str]
    age_ms: float


class UsageWindows:
    """The counts of all VMs in recent windows.

    Attributes:
        reports: The finalized reports that holders have sent, by window.
    """

    def __init__(self, window_ms: float, retention_ms: float):
        """Creates an empty store.

        Args:
            window_ms: Length of a window.
            retention_ms: How long a window is kept after its end.
        """
        self._window_ms = window_ms
        self._retention_ms = retention_ms
        self._rows: dict[int, dict[Source, Row]] = {}
        self._replies: dict[int, set[str]] = {}
        self.reports: dict[int, usage_records.UsageReport] = {}

    def end_ms(self, window: int) -> float:
        """Returns when a window ends, in true time."""
        return (window + 1) * self._window_ms

    def last_ended(self, at_ms: float) -> int:
        """Returns the last window that has ended at a time."""
        return int(at_ms // self._window_ms) - 1

    def open_windows(self, now_ms: float) -> range:
        """Returns the windows that are neither too old nor in the future."""
        oldest = math.ceil((now_ms - self._retention_ms) / self._window_ms) - 1
        return range(oldest, int(now_ms // self._window_ms) + 1)

    def merge(
        self,
        source: Source,
        window: int,
        counts: Mapping[str, int],
        is_final: bool,
        now_ms: float,
    ) -> None:
        """Adds cumulative counts of a process."""
        kept = self.open_windows(now_ms)
        if not kept.start <= window < kept.stop + MAX_WINDOWS_AHEAD:
            return
        rows = self._rows.setdefault(window, {})
        if source not in rows:
            if len(rows) >= MAX_ROWS:
                return
            rows[source] = Row()
        rows[source].merge(counts, is_final)

    def record_reply(self, window: int, host: str) -> None:
        """Records that a collector has sent all it holds of a window."""
        if window in self._rows or len(self._replies) < MAX_ROWS:
            self._replies.setdefault(window, set()).add(host)

    def record_report(
        self, report: usage_records.UsageReport, now_ms: float
    ) -> None:
        """Records a finalized report that the holder of the duty has sent."""
        if report.window in self.open_windows(now_ms):
            self.reports.setdefault(report.window, report)

    def forget_replies(self) -> None:
        """Forgets which collectors have replied, as the duty is taken over."""
        self._replies.clear()

    def final_processes(self, window: int) -> frozenset[int]:
        """Returns the processes that have confirmed their counts."""
        rows = self._rows.get(window, {})
        return frozenset(s.process for s, row in rows.items() if row.is_final)

    def held(
        self, window: int, except_processes: Collection[int]
    ) -> dict[Source, Row]:
        """Returns the counts of a window, without those of some processes."""
        return {
            source: row
            for source, row in self._rows.get(window, {}).items()
            if source.process not in except_processes
        }

    def expire(self, now_ms: float) -> None:
        """Drops windows that are too old."""
        oldest = self.open_windows(now_ms).start
        for held in (self._rows, self._replies, self.reports):
            for window in [w for w in held if w < oldest]:
                del held[window]

    def find_due(
        self, now_ms: float, holding: Holding, done: Collection[int]
    ) -> Iterable[DueWindow]:
        """Yields the windows to finalize now, the oldest first.

        Windows are finalized in order, so none is due before those before it.
        """
        for window in self.open_windows(now_ms):
            if window in done:
                continue
            missing = self._missing(window, holding.hosts)
            if not self._is_due(window, now_ms, holding, missing):
                return
            yield DueWindow(
                window,
                self._sum(window, holding),
                missing,
                now_ms - self.end_ms(window),
            )

    def unanswered(
        self, now_ms: float, holding: Holding, done: Collection[int]
    ) -> dict[int, list[str]]:
        """Returns the collectors to ask, by window, before it is finalized."""
        asked = {}
        for window in self.open_windows(now_ms):
            if window in done or now_ms < self.end_ms(window) + EARLIEST_MS:
                continue
            replied = self._replies.get(window, set())
            needs_more = now_ms < self._latest_ms(window, holding) and bool(
                self._missing(window, holding.hosts)
            )
            hosts = [
                host
                for host in holding.collectors
                if needs_more or host not in replied
            ]
            if hosts:
                asked[window] = hosts
        return asked

    def _missing(self, window: int, hosts: Collection[str]) -> frozenset[str]:
        rows = self._rows.get(window, {})
        confirmed = {s.host for s, row in rows.items() if row.is_final}
        return frozenset(hosts) - confirmed

    def _is_due(
        self,
        window: int,
        now_ms: float,
        holding: Holding,
        missing: frozenset[str],
    ) -> bool:
        if now_ms >= self._latest_ms(window, holding):
            return True
        if now_ms < self.end_ms(window) + EARLIEST_MS or missing:
            return False
        return set(holding.collectors) <= self._replies.get(window, set())

    def _latest_ms(self, window: int, holding: Holding) -> float:
        end_ms = self.end_ms(window)
        return max(end_ms + LATEST_MS, holding.since_ms + TAKEOVER_MS)

    def _sum(self, window: int, holding: Holding) -> dict[str, int] | None:
        """Returns the counts, or None if no VM knows whether there were any."""
        totals: dict[str, int] = {}
        for row in self._rows.get(window, {}).values():
            for account, count in row.counts.items():
                totals[account] = totals.get(account, 0) + count
        if not totals and window < holding.first_whole_window:
            return None
        return totals


def retention_ms(window_ms: float, slot_count: int) -> float:
    """Returns how long windows are kept and reports are repeated.

    A record's key must not be reused before.
    """
    return min(usage_counts.RETENTION_MS, (slot_count - 2) * window_ms)
