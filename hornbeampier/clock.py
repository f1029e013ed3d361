"""Clocks; times are in milliseconds unless their name has another unit."""

import time
from typing import Protocol

import gevent

MS_PER_SECOND = 1000.0


class Clock(Protocol):
    """A source of time that tests can replace."""

    def now(self) -> float:
        """Returns monotonic time in ms, for durations and deadlines."""
        ...

    def unix(self) -> float:
        """Returns ms since the Unix epoch, for records that leave the VM."""
        ...

    def sleep(self, duration_ms: float) -> None:
        """Suspends the calling greenlet for `duration_ms`."""
        ...


# Also counts the time for which the VM is suspended: what was due meanwhile is
# overdue afterwards.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic time in ms, the time of suspensions included."""
        return time.clock_gettime(_CLOCK_ID) * MS_PER_SECOND

    def unix(self) -> float:
        """Returns ms since the Unix epoch."""
        return time.time() * MS_PER_SECOND

    def sleep(self, duration_ms: float) -> None:
        """Suspends the calling greenlet for `duration_ms`."""
        gevent.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


class ManualClock:
    """A clock that moves only when a test advances it."""

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = start_ms

    def now(self) -> float:
        """Returns the time that the test has set, in ms."""
        return self._now_ms

    def unix(self) -> float:
        """Returns the same time as `now`."""
        return self._now_ms

    def sleep(self, duration_ms: float) -> None:
        """Advances the clock and lets other greenlets run."""
        self.advance(duration_ms)
        gevent.sleep(0)

    def advance(self, duration_ms: float) -> None:
        """Moves the clock forward by `duration_ms`."""
        self._now_ms += duration_ms
