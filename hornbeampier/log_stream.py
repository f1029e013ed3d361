"""A non-blocking, rate-limited output stream for log lines."""

import collections
import errno
import json
import os

import gevent
from gevent import socket

from hornbeampier import application
from hornbeampier import clock as clocks

# Refill rate of the token bucket, the sustained limit of a process.
LINES_PER_S = 300.0
# Capacity of the token bucket: the largest burst after a quiet time.
BURST_LINES = 1_500.0
# Lines queued for a slow reader; bounds the queue's memory.
MAX_WAITING = 2_000


class LogStream(application.BaseComponent):
    """Queues lines and writes them to a file descriptor in the background.

    Lines above the rate limit or beyond a full queue are dropped; the next
    line that is queued comes after one with their number.
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
        """Queues a line, or drops and counts it."""
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
        """Makes the descriptor non-blocking, so a slow reader blocks nobody."""
        os.set_blocking(self._fd, False)

    def stop(self) -> None:
        """Writes as many queued lines as the descriptor accepts at once."""
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
        """Writes the oldest line; returns False if the reader is slow."""
        line = self._waiting.popleft()
        try:
            written = os.write(self._fd, line)
        except OSError as exc:
            if exc.errno != errno.EAGAIN:
                # The reader is gone, so this error cannot be logged either.
                self._waiting.clear()
                return True
            written = 0
        if written < len(line):
            self._waiting.appendleft(line[written:])
            return False
        return True
