"""The part of the memory budget that responses of endpoints hold.

What is held of a response until it can be passed on counts here: a whole
response, or an event of a stream, that is large. It is read once there is room
for it. A response of which nothing arrives any more yields to others.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Protocol

import gevent
from gevent import lock

from hornbeampier import clock as clocks

# How often a response that waits for room looks for it.
ROOM_CHECK_MS = 20.0
# A response yields if less than PROGRESS_BYTES of it have arrived in this time.
STALLED_MS = 1_000.0
PROGRESS_BYTES = 16 * 1024


class StalledResponseError(Exception):
    """A response of which nothing arrives has yielded its memory to others."""


class ResponseHolder(Protocol):
    """What holds a response, as `memory_budget.Holder`.

    Attributes:
        response_bytes: What it holds of a response.
    """

    response_bytes: int

    def reserve_response(self, size: int, timeout_ms: float) -> None:
        """Waits until there is room for a response of `size` bytes."""
        ...

    def release_response(self) -> None:
        """Counts nothing of the response any longer."""
        ...


class ResponseReading:
    """A response, or a part of one, that a task reads from an endpoint.

    It may yield in the context; an error releases what it holds.
    """

    def __init__(
        self, room: "ResponseRoom", holder: ResponseHolder, clock: clocks.Clock
    ):
        self._room = room
        self._holder = holder
        self._clock = clock
        # The task, while it waits for the endpoint.
        self._waiter: gevent.Greenlet | None = None
        self._progress_ms = clock.now()
        self._progress_bytes = 0
        self._has_to_yield = False

    def __enter__(self) -> "ResponseReading":
        self._room.add(self)
        return self

    def __exit__(self, exc_type, exc, traceback) -> None:
        self._room.remove(self)
        if exc_type is not None:
            self.release()

    def blocks(self, source: Iterator[bytes]) -> Iterator[bytes]:
        """Yields the blocks of `source` as they arrive.

        Raises:
            StalledResponseError: Nothing arrived, and others need the memory.
        """
        while (block := self._next(source)) is not None:
            self._record(len(block))
            yield block

    def reserve(self, size: int, timeout_ms: float) -> None:
        """Waits until the process can hold `size` bytes.

        Raises:
            TimeoutError: It cannot within `timeout_ms`.
        """
        if size <= self._holder.response_bytes:
            return
        self._holder.reserve_response(size, timeout_ms)
        self._progress_ms = self._clock.now()

    def release(self) -> None:
        """Releases what is held, as it has been passed on or dropped."""
        self._holder.release_response()

    @property
    def yielding_bytes(self) -> int:
        """What it can yield: what it holds, if it has stalled."""
        silent_ms = self._clock.now() - self._progress_ms
        if self._waiter is None or self._has_to_yield or silent_ms < STALLED_MS:
            return 0
        return self._holder.response_bytes

    def end(self) -> None:
        """Interrupts its task, which releases the memory."""
        self._has_to_yield = True
        gevent.get_hub().loop.run_callback(self._interrupt)

    def _next(self, source: Iterator[bytes]) -> bytes | None:
        self._waiter = gevent.getcurrent()
        try:
            return next(source, None)
        finally:
            # Nothing interrupts what the task does with the block.
            self._waiter = None
            self._has_to_yield = False

    def _record(self, size: int) -> None:
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self._progress_ms = self._clock.now()

    def _interrupt(self) -> None:
        if self._waiter is not None and self._has_to_yield:
            self._waiter.throw(StalledResponseError)


class ResponseRoom:
    """The responses that a process holds.

    Attributes:
        held_bytes: What it holds of all of them.
    """

    def __init__(
        self, try_make_room: Callable[[int], bool], clock: clocks.Clock
    ):
        """Creates a room without responses.

        Args:
            try_make_room: Whether the budget has, or now gets, room for a
                number of bytes.
            clock: The clock.
        """
        self._try_make_room = try_make_room
        self._clock = clock
        self._readings: set[ResponseReading] = set()
        # Large responses wait in turn.
        self._turn = lock.BoundedSemaphore()
        self.held_bytes = 0

    def open(self, holder: ResponseHolder) -> ResponseReading:
        """Returns a response that is read for a connection."""
        return ResponseReading(self, holder, self._clock)

    def add(self, reading: ResponseReading) -> None:
        """Adds a response that may yield."""
        self._readings.add(reading)

    def remove(self, reading: ResponseReading) -> None:
        """Removes a response that no task reads any longer."""
        self._readings.discard(reading)

    def wait(
        self, holder: ResponseHolder, size: int, timeout_ms: float
    ) -> None:
        """Waits until there is room for `size` more bytes of a response.

        One large response is always taken, so that requests which hold the
        rest cannot wait for each other.

        Raises:
            TimeoutError: There is none within `timeout_ms`.
        """
        due_ms = self._clock.now() + timeout_ms
        if not self._turn.acquire(timeout=timeout_ms / clocks.MS_PER_SECOND):
            raise TimeoutError("other responses wait for room")
        try:
            self._wait_in_turn(holder, size, due_ms)
        finally:
            self._turn.release()

    def yield_bytes(self, size: int) -> None:
        """Ends stalled responses that hold `size` bytes, the largest first."""
        stalled = [r for r in self._readings if r.yielding_bytes]
        stalled.sort(key=lambda reading: -reading.yielding_bytes)
        for reading in stalled:
            if size <= 0:
                return
            size -= reading.yielding_bytes
            reading.end()

    def _wait_in_turn(
        self, holder: ResponseHolder, size: int, due_ms: float
    ) -> None:
        while not self._has_room(holder, size):
            remaining_ms = due_ms - self._clock.now()
            if remaining_ms <= 0.0:
                raise TimeoutError("there is no room for the response")
            self._clock.sleep(min(ROOM_CHECK_MS, remaining_ms))

    def _has_room(self, holder: ResponseHolder, size: int) -> bool:
        return (
            self._try_make_room(size)
            or self.held_bytes == holder.response_bytes
        )
