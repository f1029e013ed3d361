"""Bounds the memory that clients make a process hold.

Each accepted connection has a `Holder`, which counts what the process holds
for it: the connection itself, the body of its request, and a response that its
client is slow to read. All holders of a process share one `MemoryBudget`. Once
it is used up, connections whose requests have not arrived completely give up
their memory, and then those that do not read their responses; a request that is
being served keeps it. Large responses are read once there is room for them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random

import gevent

from hornbeampier import clock as clocks
from hornbeampier import memory_usage
from hornbeampier import reclaim_order
from hornbeampier import response_room

KIB = 1024
MIB = 1024 * KIB
# Memory of a connection: its task and its parser.
CONNECTION_BYTES = 16 * KIB
# Size of the kernel's buffer for input of a connection; it holds half as much
# more. Connections that wait to be accepted have one and count for nothing.
KERNEL_INPUT_BYTES = 8 * KIB
# What a request adds: its head, and unread input.
REQUEST_BYTES = 32 * KIB
# Larger bodies and responses leave a part of the budget to others.
SMALL_BODY_BYTES = 16 * KIB
SMALL_FRACTION = 0.125
# Reserved for a large response of unknown length, until it is larger.
UNKNOWN_LENGTH_BYTES = 256 * KIB
# Part of the budget that is freed once it is full.
SLACK_FRACTION = 0.0625
# Refused clients come back spread over this range.
MIN_RETRY_MS = 500.0
MAX_RETRY_MS = 2_000.0


class ReclaimedError(Exception):
    """The memory or the place of a connection has been given to another."""


class Holder:
    """What a process holds for one connection.

    Attributes:
        stage: What the connection is doing.
        since_ms: When that began, on the monotonic clock.
        body_bytes: What has arrived of the body of its request.
        response_bytes: What is held of a large response.
        reclaimed_for: Why the connection has to end, or None.
    """

    def __init__(self, budget: "MemoryBudget", now_ms: float):
        self._budget = budget
        self.stage = reclaim_order.Stage.NEW
        self.since_ms = now_ms
        self.body_bytes = 0
        self.response_bytes = 0
        self.reclaimed_for: memory_usage.Reason | None = None
        self._waiter: gevent.Greenlet | None = None
        self._release_body: Callable[[], None] | None = None

    @property
    def held_bytes(self) -> int:
        """The memory of the connection, its request and its response."""
        request_bytes = REQUEST_BYTES if self.is_in_request else 0
        content_bytes = self.body_bytes + self.response_bytes
        return CONNECTION_BYTES + request_bytes + content_bytes

    @property
    def is_reclaimed(self) -> bool:
        """Whether the connection has to give up its memory and end."""
        return self.reclaimed_for is not None

    @property
    def is_in_request(self) -> bool:
        """Whether a request has begun to arrive and is not responded to."""
        return self.stage in reclaim_order.IN_REQUEST

    def begin_request(self) -> None:
        """Records that a request has begun to arrive.

        Raises:
            ReclaimedError: The process cannot hold it.
        """
        self.check()
        self._budget.make_room(REQUEST_BYTES, self)
        self.check()
        self._budget.add(REQUEST_BYTES)
        self._enter(reclaim_order.Stage.RECEIVING)

    def hold_body(self, release: Callable[[], None]) -> None:
        """Sets what frees the memory of the body if it is reclaimed."""
        self._release_body = release

    def grow(self, size: int) -> None:
        """Counts `size` more bytes of a body.

        Raises:
            ReclaimedError: The process cannot hold them.
        """
        self.check()
        self._budget.make_room_for_body(self, size)
        self.check()
        self.body_bytes += size
        self._budget.add(size)

    def reserve_response(self, size: int, timeout_ms: float) -> None:
        """Waits until the process can hold `size` bytes of a response.

        Raises:
            TimeoutError: It cannot within `timeout_ms`.
        """
        more_bytes = size - self.response_bytes
        if size <= SMALL_BODY_BYTES or more_bytes <= 0:
            return
        self._budget.responses.wait(self, more_bytes, timeout_ms)
        self._count_response(more_bytes)

    def read_response(self) -> response_room.ResponseReading:
        """Returns a context in which a task reads a large response."""
        return self._budget.responses.open(self)

    def release_response(self) -> None:
        """Counts nothing of a response any longer."""
        self._count_response(-self.response_bytes)

    @contextlib.contextmanager
    def writing(self, size: int) -> Iterator[None]:
        """Counts `size` bytes of a response while they are written.

        They are written even if there is no room for them. But a client that
        does not read them may lose its connection to others.

        Raises:
            ReclaimedError: Others needed the memory.
        """
        self.check()
        more_bytes = max(0, size - self.response_bytes)
        with contextlib.suppress(ReclaimedError):
            self._budget.make_room(more_bytes)
        self._count_response(more_bytes)
        earlier = self.stage
        self._enter(reclaim_order.Stage.RESPONDING)
        self._waiter = gevent.getcurrent()
        try:
            yield
        finally:
            self._waiter = None
            if self.is_reclaimed:
                self.release_response()
            else:
                self._enter(earlier)
                self._count_response(-size)

    def begin_serving(self) -> None:
        """Records that the request has arrived and keeps its memory."""
        self.check()
        self._release_body = None
        self._enter(reclaim_order.Stage.SERVING)

    def end_request(self) -> None:
        """Releases the memory of the request; the connection stays open."""
        if self.is_in_request:
            self.drop_body()
            if self.stage is not reclaim_order.Stage.RESPONDING:
                # Else it counts until its task has let go of it.
                self.release_response()
            self._budget.add(-REQUEST_BYTES)
            self._enter(reclaim_order.Stage.IDLE)

    def drop_body(self) -> None:
        """Frees the memory of the body and counts it no longer."""
        if self._release_body is not None:
            self._release_body()
            self._release_body = None
        self._budget.add(-self.body_bytes)
        self.body_bytes = 0

    def close(self) -> None:
        """Releases all memory of the connection."""
        self.end_request()
        self._budget.remove(self)

    @property
    def largest_body_bytes(self) -> int:
        """Size of the largest body that the process can ever hold."""
        return self._budget.largest_body_bytes

    @property
    def retry_after_ms(self) -> float:
        """When the client may come back after it was refused."""
        return self._budget.retry_after_ms()

    def check(self) -> None:
        """Raises ReclaimedError if the memory has been reclaimed."""
        if self.is_reclaimed:
            raise ReclaimedError

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Lets `reclaim` end the wait for input in its body.

        Raises:
            ReclaimedError: The memory has been reclaimed.
        """
        self.check()
        self._waiter = gevent.getcurrent()
        try:
            yield
        finally:
            self._waiter = None

    def reclaim(self, reason: memory_usage.Reason) -> None:
        """Frees the body at once, and ends the wait for the client."""
        self.reclaimed_for = reason
        self.end_request()
        gevent.get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        # A task that has resumed since checks by itself.
        if self._waiter is not None:
            self._waiter.throw(ReclaimedError)

    def _count_response(self, size: int) -> None:
        self.response_bytes += size
        self._budget.count_response(size)

    def _enter(self, stage: reclaim_order.Stage) -> None:
        self.stage = stage
        self.since_ms = self._budget.clock.now()


class MemoryBudget:
    """The memory that a process may hold for clients.

    Attributes:
        clock: The clock of the holders.
        responses: The part that responses of endpoints hold.
    """

    def __init__(
        self, limit_bytes: int, clock: clocks.Clock, rng: random.Random
    ):
        self.clock = clock
        self._rng = rng
        self._limit_bytes = limit_bytes
        # Part of it that large bodies and responses may use.
        self._large_limit_bytes = int(limit_bytes * (1.0 - SMALL_FRACTION))
        self._held_bytes = 0
        self._holders: set[Holder] = set()
        # Those that have to end, and whose response has not been let go of.
        self._leaving: set[Holder] = set()
        self._reclaimed = dict.fromkeys(memory_usage.Reason, 0)
        self._shortage = memory_usage.ShortageLog(clock)
        self.responses = response_room.ResponseRoom(
            self._try_make_room_for_response, clock
        )

    def open(self) -> Holder:
        """Returns the holder of a new connection.

        Raises:
            ReclaimedError: There is no room for another connection.
        """
        self.make_room(CONNECTION_BYTES)
        holder = Holder(self, self.clock.now())
        self._holders.add(holder)
        self._held_bytes += CONNECTION_BYTES
        return holder

    @property
    def largest_body_bytes(self) -> int:
        """Size of the largest body that there is room for without others."""
        return self._large_limit_bytes - CONNECTION_BYTES - REQUEST_BYTES

    def make_room_for_body(self, holder: Holder, size: int) -> None:
        """Makes room for `size` more bytes of the body of a request.

        Raises:
            ReclaimedError: All others keep what they hold.
        """
        is_large = holder.body_bytes + size > SMALL_BODY_BYTES
        limit = self._large_limit_bytes if is_large else self._limit_bytes
        self._make_room(size, limit, holder)

    def make_room(self, size: int, requester: Holder | None = None) -> None:
        """Makes room for `size` bytes, or raises ReclaimedError."""
        self._make_room(size, self._limit_bytes, requester)

    def count_response(self, size: int) -> None:
        """Counts `size` more bytes of responses, or fewer if negative."""
        self.responses.held_bytes += size
        self.add(size)

    def _try_make_room_for_response(self, size: int) -> bool:
        try:
            self._make_room(size, self._large_limit_bytes)
        except ReclaimedError:
            return False
        return True

    def add(self, size: int) -> None:
        """Counts `size` more bytes, or fewer if it is negative."""
        self._held_bytes += size

    def remove(self, holder: Holder) -> None:
        """Forgets the holder of a closed connection."""
        self._leaving.discard(holder)
        if holder in self._holders:
            self._holders.remove(holder)
            self._held_bytes -= CONNECTION_BYTES

    def reclaim_place(self, holders: Iterable[Holder]) -> None:
        """Ends the connection that has been without a request for longest.

        Those whose requests are being served stay.
        """
        if victim := reclaim_order.longest_waiting(holders):
            self._reclaim(victim, memory_usage.Reason.PLACE)

    def retry_after_ms(self) -> float:
        """Returns when a client that was refused may come back."""
        return self._rng.uniform(MIN_RETRY_MS, MAX_RETRY_MS)

    def usage(self) -> memory_usage.Usage:
        """Returns what is held."""
        connection_bytes = len(self._holders) * CONNECTION_BYTES
        request_bytes = self._held_bytes - connection_bytes
        reclaimed = dict(self._reclaimed)
        return memory_usage.Usage(
            self._limit_bytes, connection_bytes, request_bytes, reclaimed
        )

    def _make_room(
        self, size: int, limit_bytes: int, requester: Holder | None = None
    ) -> None:
        if self._shortage.is_over():
            self._shortage.record_end(self.usage())
        missing_bytes = self._held_bytes + size - limit_bytes
        if missing_bytes <= 0:
            return
        self._shortage.record(self.usage())
        missing_bytes -= sum(h.response_bytes for h in self._leaving)
        # Some more is freed, so that not every piece of input looks for it.
        wanted_bytes = missing_bytes + int(limit_bytes * SLACK_FRACTION)
        victims, freed_bytes = self._choose_victims(wanted_bytes, requester)
        if freed_bytes < missing_bytes:
            # Their memory is free in a moment only.
            self.responses.yield_bytes(missing_bytes - freed_bytes)
            if requester is not None:
                self._reclaim(requester, memory_usage.Reason.MEMORY)
            raise ReclaimedError
        if missing_bytes > 0:
            for victim in victims:
                self._reclaim(victim, memory_usage.Reason.MEMORY)
        if self._held_bytes + size > limit_bytes:
            # The memory of responses is free in a moment only.
            raise ReclaimedError

    def _choose_victims(
        self, wanted_bytes: int, requester: Holder | None
    ) -> tuple[list[Holder], int]:
        """Returns those that give up their memory, and how much it is.

        They come before `requester` in the order of reclaiming.
        """
        victims = []
        freed_bytes = 0
        for holder in reclaim_order.by_memory(self._holders, self.clock.now()):
            if freed_bytes >= wanted_bytes:
                break
            if holder is requester:
                if holder.is_in_request:
                    break
                continue
            victims.append(holder)
            freed_bytes += holder.held_bytes
        return victims, freed_bytes

    def _reclaim(self, victim: Holder, reason: memory_usage.Reason) -> None:
        self._reclaimed[reason] += 1
        victim.reclaim(reason)
        # It counts no longer, though its connection has yet to close.
        self.remove(victim)
        if victim.response_bytes:
            self._leaving.add(victim)
