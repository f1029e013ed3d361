"""Counts the requests that endpoints began to run for callers of this VM."""

import dataclasses
from typing import Protocol

from hornbeampier import clock as clocks
from hornbeampier.duties import usage_clock

# How long the counts of a window are kept after its end.
RETENTION_MS = 60_000.0
# A plain request that is unanswered for this long after the end of its window
# counts: endpoints decline requests sooner.
DECISION_MS = 1_500.0
# Requests of further accounts in a window are not counted.
MAX_ACCOUNTS = 2_000
# Bound on the requests that are kept until the time is settled.
MAX_UNSETTLED = 100_000


class UndecidedRequest(Protocol):
    """A plain request of which it is not known yet whether it was run.

    Attributes:
        sent_ms: When it was sent, on the monotonic clock; None before.
    """

    sent_ms: float | None

    def count(self) -> None:
        """Counts the request, unless it was counted before."""
        ...


@dataclasses.dataclass(slots=True)
class WindowCounts:
    """The requests of one window on this VM.

    Attributes:
        revision: Grows with each change.
        is_final: Whether this VM expects no more requests of the window.
    """

    window: int
    revision: int = 0
    is_final: bool = False
    counts: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _UnsettledRequest:
    """A request that was counted before the time was settled."""

    account: str
    at_ms: float


class UsageCounts:
    """The requests of recent windows on this VM, cumulative by account.

    Until the time is settled, requests are kept and belong to no window.

    Attributes:
        first_whole_window: The first window throughout which this VM was up.
    """

    def __init__(
        self,
        window_ms: float,
        true_time: usage_clock.UsageClock,
        clock: clocks.Clock,
    ):
        self._window_ms = window_ms
        self._time = true_time
        self._clock = clock
        self._windows: dict[int, WindowCounts] = {}
        self._undecided: set[UndecidedRequest] = set()
        self._revision = 0
        self._started_ms = clock.now()
        self._unsettled: list[_UnsettledRequest] | None = []
        self._next_final = self.current_window()
        self.first_whole_window = self._next_final + 1

    def current_window(self) -> int:
        """Returns the window that the current time belongs to."""
        return int(self._time.now() // self._window_ms)

    def record(self, account: str, at_ms: float) -> None:
        """Counts a request of an account at a monotonic time."""
        if self._unsettled is not None:
            if len(self._unsettled) < MAX_UNSETTLED:
                self._unsettled.append(_UnsettledRequest(account, at_ms))
            return
        window = int(self._time.at(at_ms) // self._window_ms)
        if window <= self.current_window() - self._kept_windows():
            return
        row = self._row(window)
        if account in row.counts or len(row.counts) < MAX_ACCOUNTS:
            row.counts[account] = row.counts.get(account, 0) + 1
            self._touch(row)

    def settle(self) -> None:
        """Assigns the kept requests to windows, as the time is settled."""
        if self._unsettled is None:
            return
        unsettled, self._unsettled = self._unsettled, None
        started_ms = self._time.at(self._started_ms)
        self._next_final = int(started_ms // self._window_ms)
        self.first_whole_window = self._next_final + 1
        for req in unsettled:
            self.record(req.account, req.at_ms)

    def add_undecided(self, req: UndecidedRequest) -> None:
        """Adds a request that is about to be sent to an endpoint."""
        self._undecided.add(req)

    def remove_undecided(self, req: UndecidedRequest) -> None:
        """Removes a request of which it is known whether it was run."""
        self._undecided.discard(req)

    def windows(self) -> list[WindowCounts]:
        """Returns the recent windows in order, after closing ended ones."""
        if self._unsettled is not None:
            return []
        self._close_ended()
        return [self._windows[window] for window in sorted(self._windows)]

    def close_all(self) -> None:
        """Marks all windows as final; this VM counts no more requests."""
        self.settle()
        for req in list(self._undecided):
            req.count()
        self._row(self.current_window())
        for row in self._windows.values():
            if not row.is_final:
                row.is_final = True
                self._touch(row)

    def restart_windows(self) -> None:
        """Starts over with the current window after the time was set."""
        if self._unsettled is not None:
            return
        current = self.current_window()
        self._next_final = min(self._next_final, current)
        self.first_whole_window = current + 1
        self._windows = {
            window: row
            for window, row in self._windows.items()
            if window <= current
        }

    def _close_ended(self) -> None:
        current = self.current_window()
        oldest = current - self._kept_windows()
        self._windows = {
            window: row
            for window, row in self._windows.items()
            if window > oldest
        }
        self._next_final = max(self._next_final, oldest + 1)
        while self._next_final < current and self._is_decided(self._next_final):
            row = self._row(self._next_final)
            row.is_final = True
            self._touch(row)
            self._next_final += 1

    def _is_decided(self, window: int) -> bool:
        """Whether no request of a window is undecided any more."""
        end_ms = (window + 1) * self._window_ms
        undecided = [
            req
            for req in self._undecided
            if req.sent_ms is not None and self._time.at(req.sent_ms) < end_ms
        ]
        if undecided and self._time.now() < end_ms + DECISION_MS:
            return False
        for req in undecided:
            req.count()
        return True

    def _kept_windows(self) -> int:
        return int(RETENTION_MS // self._window_ms) + 1

    def _row(self, window: int) -> WindowCounts:
        return self._windows.setdefault(window, WindowCounts(window))

    def _touch(self, row: WindowCounts) -> None:
        self._revision += 1
        row.revision = self._revision
