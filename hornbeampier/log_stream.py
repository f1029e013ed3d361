"""A stream for log lines that never blocks and has a bounded volume."""

import collections
import errno
import json
import os

import gevent
from gevent import socket

from hornbeampier import application
from hornbeampier import clock as clocks

# Lines that a process writes in a second at the most, in the long run.
LINES_PER_S = 300.0
# Lines that may come at once after a quiet time.
BURST_LINES = 1_500.0
# Lines that wait for a slow reader.
MAX_WAITING = 2_000


class LogStream(application.BaseComponent):
    """Queues lines and writes them to a file descriptor in the background.

    Lines beyond the budget, or beyond what a slow reader leaves room for, are
    left out; the next line written after them says how many.
    """

    def __init__(self, fd: int, clock: clocks.Clock):
        self._fd = fd
        self._clock = clock
        self._allowance = BURST_LINES
        self._at_ms = clock.now()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._suppressed = 0
        self._task: gevent.Greenlet | None = None

    def write(self, text: str) -> int:
        """Queues a line, or counts it as left out."""
        if not self._take_allowance() or len(self._waiting) >= MAX_WAITING:
            self._suppressed += 1
            return len(text)
        if self._suppressed:
            self._waiting.append(self._describe_suppressed())
            self._suppressed = 0
        self._waiting.append(text.encode(errors="replace"))
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._drain_queue)
        return len(text)

    def flush(self) -> None:
        """Does nothing: lines are written in the background."""

    def start(self) -> None:
        """Lets writes return at once when the reader is slow."""
        os.set_blocking(self._fd, False)

    def stop(self) -> None:
        """Writes what is left as far as the reader takes it at once."""
        if self._task is not None:
            self._task.kill()
        while self._waiting and self._write_some():
            pass

    def _take_allowance(self) -> bool:
        now_ms = self._clock.now()
        earned = (now_ms - self._at_ms) / clocks.MS_PER_SECOND * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._at_ms = now_ms
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _describe_suppressed(self) -> bytes:
        line = {"event": "log_lines_suppressed", "count": self._suppressed}
        return json.dumps(line).encode() + b"\n"

    def _drain_queue(self) -> None:
        while self._waiting:
            if not self._write_some():
                socket.wait_write(self._fd)

    def _write_some(self) -> bool:
        """Writes the first line; returns False if the reader is slow."""
        line = self._waiting.popleft()
        try:
            written = os.write(self._fd, line)
        except OSError as exc:
            if exc.errno != errno.EAGAIN:
                # Nobody reads any more, so there is nowhere to tell it.
                self._waiting.clear()
                return True
            written = 0
        if written < len(line):
            self._waiting.appendleft(line[written:])
            return False
        return True
