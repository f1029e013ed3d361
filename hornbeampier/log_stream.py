"""A non-blocking, rate-limited output stream for log lines."""

import collections
import errno
import json
import os

import gevent
from gevent import socket

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import token_bucket

# Refill rate of the token bucket: sustained rate of a process's log lines.
LINES_PER_S = 300.0
# Capacity of the token bucket: largest burst of log lines.
BURST_LINES = 1_500.0
# Lines that may wait for a slow reader; bounds the memory of the queue.
MAX_QUEUED_LINES = 2_000


class LogStream(application.BaseComponent):
    """Queues lines and writes them to a file descriptor in the background.

    Lines above the rate limit and lines that find the queue full are
    suppressed. Their number is logged before the next line that is queued.
    """

    def __init__(self, fd: int, clock: clocks.Clock):
        self._fd = fd
        self._bucket = token_bucket.TokenBucket(LINES_PER_S, BURST_LINES, clock)
        self._queue: collections.deque[bytes] = collections.deque()
        self._suppressed_count = 0
        self._task: gevent.Greenlet | None = None

    def write(self, text: str) -> int:
        """Queues a line, or suppresses and counts it."""
        is_full = len(self._queue) >= MAX_QUEUED_LINES
        if not self._bucket.try_take() or is_full:
            self._suppressed_count += 1
            return len(text)
        if self._suppressed_count:
            self._queue.append(self._describe_suppressed())
            self._suppressed_count = 0
        self._queue.append(text.encode(errors="replace"))
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._drain_queue)
        return len(text)

    def flush(self) -> None:
        """Does nothing: lines are written in the background."""

    def start(self) -> None:
        """Makes the descriptor non-blocking.

        Otherwise a slow reader would block the whole process.
        """
        os.set_blocking(self._fd, False)

    def stop(self) -> None:
        """Writes the queued lines that fit without blocking."""
        if self._task is not None:
            self._task.kill()
        while self._queue and self._try_write_line():
            pass

    def _describe_suppressed(self) -> bytes:
        line = {
            "event": "log_lines_suppressed",
            "count": self._suppressed_count,
        }
        return json.dumps(line).encode() + b"\n"

    def _drain_queue(self) -> None:
        while self._queue:
            if not self._try_write_line():
                socket.wait_write(self._fd)

    def _try_write_line(self) -> bool:
        """Writes the oldest line; returns False if writing would block."""
        line = self._queue.popleft()
        try:
            written = os.write(self._fd, line)
        except OSError as exc:
            if exc.errno != errno.EAGAIN:
                # The reader is gone, so this error cannot be logged either.
                self._queue.clear()
                return True
            written = 0
        if written < len(line):
            self._queue.appendleft(line[written:])
            return False
        return True
