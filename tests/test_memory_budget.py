"""What clients make a process hold: who gives it up, and what is kept."""

import random

import gevent
from gevent import event
from gevent import queue
from gevent import socket
import testtools

from hornbeampier import clock as clocks
from hornbeampier import connection_places
from hornbeampier import memory_budget
from hornbeampier import memory_usage
from hornbeampier import response_room
from hornbeampier import vm_memory
from hornbeampier.http1 import server

KIB = memory_budget.KIB
MIB = memory_budget.MIB
CONNECTION = memory_budget.CONNECTION_BYTES


class BudgetCase(testtools.TestCase):
    limit_bytes = 4 * MIB

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.budget = memory_budget.MemoryBudget(
            self.limit_bytes, self.clock, random.Random(1)
        )

    def receive(self, size):
        """Returns the holder of a connection that has sent `size` bytes."""
        holder = self.budget.open()
        holder.begin_request()
        holder.grow(size)
        return holder

    def held_bytes(self):
        usage = self.budget.usage()
        return usage.connection_bytes + usage.request_bytes


class ReclaimTest(BudgetCase):
    # Guards against a process that runs out of memory for bodies that stop
    # short of their end, and against ordinary callers that pay for them.
    def test_body_held_longest_gives_way_to_a_new_one(self):
        stalled = self.receive(2 * MIB)
        self.clock.advance(1_000.0)
        newer = self.receive(MIB)
        ordinary = self.receive(MIB)
        self.assertTrue(stalled.is_reclaimed)
        self.assertFalse(newer.is_reclaimed)
        self.assertFalse(ordinary.is_reclaimed)
        self.assertLessEqual(self.held_bytes(), self.limit_bytes)

    # Guards against clients that keep a large body alive byte by byte.
    def test_progress_in_small_steps_does_not_keep_a_large_body(self):
        dripping = self.receive(2 * MIB)
        for _ in range(10):
            self.clock.advance(100.0)
            dripping.grow(1)
        fresh = self.receive(2 * MIB)
        self.assertTrue(dripping.is_reclaimed)
        self.assertFalse(fresh.is_reclaimed)

    # Guards against a sent request that is dropped, or run again, for memory.
    def test_request_that_is_served_keeps_its_memory(self):
        served = [self.receive(MIB) for _ in range(3)]
        for holder in served:
            holder.begin_serving()
        self.clock.advance(60_000.0)
        self.assertRaises(memory_budget.ReclaimedError, self.receive, MIB)
        self.assertEqual({False}, {h.is_reclaimed for h in served})

    # Guards against large requests that shut small ones out.
    def test_small_body_is_taken_beside_large_ones(self):
        while self.fits(256 * KIB):
            pass
        self.receive(memory_budget.SMALL_BODY_BYTES).begin_serving()

    def fits(self, size):
        try:
            self.receive(size).begin_serving()
        except memory_budget.ReclaimedError:
            return False
        return True

    # Guards against a well-behaved client that loses its idle connection to
    # one that has sent nothing.
    def test_idle_connections_of_earlier_requests_come_last(self):
        idle = self.budget.open()
        idle.begin_request()
        idle.begin_serving()
        idle.end_request()
        self.clock.advance(10_000.0)
        silent = self.budget.open()
        self.clock.advance(1_000.0)
        large = 3 * MIB
        self.receive(large).begin_serving()
        while not silent.is_reclaimed:
            self.budget.open()
        self.assertFalse(idle.is_reclaimed)

    def test_body_that_is_reclaimed_is_freed_at_once(self):
        blocks = [bytearray(2 * MIB)]
        holder = self.receive(2 * MIB)
        holder.hold_body(blocks.clear)
        self.clock.advance(1_000.0)
        self.receive(2 * MIB)
        self.assertEqual([], blocks)
        self.assertRaises(memory_budget.ReclaimedError, holder.grow, 1)
        self.assertRaises(memory_budget.ReclaimedError, holder.begin_serving)

    def test_nothing_is_counted_once_all_connections_have_closed(self):
        holders = [self.receive(MIB) for _ in range(8)]
        for holder in holders:
            holder.close()
        self.assertEqual(0, self.held_bytes())
        self.assertEqual(5, self.budget.usage().reclaimed["memory"])


class WaitingTest(BudgetCase):
    # Guards against a reclaimed connection that stays until its time limit.
    def test_wait_for_input_ends_when_its_memory_is_reclaimed(self):
        holder = self.receive(2 * MIB)
        arrived = event.Event()

        def read():
            with holder.waiting():
                arrived.wait()

        task = gevent.spawn(read)
        gevent.sleep(0)
        self.clock.advance(1_000.0)
        self.receive(2 * MIB)
        self.assertRaises(memory_budget.ReclaimedError, task.get, timeout=5)

    # Guards against an error that reaches a task which no longer waits.
    def test_task_that_has_resumed_is_not_interrupted(self):
        holder = self.receive(2 * MIB)
        arrived = event.Event()

        def read():
            with holder.waiting():
                arrived.wait()
            gevent.sleep(0.01)
            return "resumed"

        task = gevent.spawn(read)
        gevent.sleep(0)
        arrived.set()
        # Its task resumes before what `reclaim` has scheduled.
        gevent.sleep(0)
        holder.reclaim(memory_usage.Reason.MEMORY)
        self.assertEqual("resumed", task.get(timeout=5))


class SlowReaderTest(BudgetCase):
    """A client that does not read its response."""

    RESPONSE = bytes(2 * MIB)

    # Guards against responses that a process holds without counting them.
    def test_response_counts_until_its_client_has_read_it(self):
        ours, client = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(client.close)
        holder = self.budget.open()
        conn = server.ServerConnection(ours, self.clock, 4_096, holder)
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        conn.read_head(1_000.0, 1_000.0, 4_096)
        conn.discard_body(0, 1_000.0, 1_000.0)
        length = (b"Content-Length", b"%d" % len(self.RESPONSE))
        task = gevent.spawn(conn.respond, 200, [length], self.RESPONSE)
        gevent.sleep(0)
        self.assertGreater(self.held_bytes(), len(self.RESPONSE))
        self.assertRaises(
            memory_budget.ReclaimedError, self.receive, len(self.RESPONSE)
        )
        while not task.ready():
            client.recv(65_536)
        task.get()
        holder.close()
        self.assertEqual(0, self.budget.usage().request_bytes)

    # Guards against a process that runs out of memory for responses that their
    # clients do not read.
    def test_client_that_does_not_read_gives_way_to_another_response(self):
        slow, other = (self.receive(KIB) for _ in range(2))
        for holder in (slow, other):
            holder.begin_serving()
            self.clock.advance(1.0)
        task = gevent.spawn(self.write, slow)
        gevent.sleep(0)
        other.reserve_response(2 * MIB, 1_000.0)
        self.assertTrue(slow.is_reclaimed)
        self.assertRaises(memory_budget.ReclaimedError, task.get, timeout=5)
        for holder in (slow, other):
            holder.close()
        self.assertEqual(0, self.held_bytes())

    def write(self, holder, may_end=None):
        """Writes to a client that does not read; then ends if it may."""
        with holder.writing(len(self.RESPONSE)):
            try:
                event.Event().wait()
            finally:
                if may_end is not None:
                    may_end.wait()

    # Guards against memory that is given away before it is free.
    def test_memory_of_a_response_is_given_away_once_its_task_has_ended(self):
        slow, other = (self.receive(KIB) for _ in range(2))
        for holder in (slow, other):
            holder.begin_serving()
        may_end = event.Event()
        gevent.spawn(self.write, slow, may_end)
        gevent.sleep(0)
        self.assertRaises(TimeoutError, other.reserve_response, 2 * MIB, 0.05)
        self.assertTrue(slow.is_reclaimed)
        may_end.set()
        other.reserve_response(2 * MIB, 1_000.0)

    # Guards against responses that wait for each other's requests.
    def test_one_large_response_is_taken_if_bodies_fill_the_budget(self):
        holders = [self.receive(MIB) for _ in range(3)]
        for holder in holders:
            holder.begin_serving()
        holders[0].reserve_response(2 * MIB, 0.0)
        self.assertRaises(
            TimeoutError, holders[1].reserve_response, 2 * MIB, 0.0
        )
        holders[0].close()
        holders[1].reserve_response(2 * MIB, 1_000.0)

    # Guards against a budget that counts less than is held, ever after.
    def test_response_of_a_reclaimed_connection_is_counted_once(self):
        holder = self.receive(MIB)
        with holder.writing(MIB):
            holder.reclaim(memory_usage.Reason.MEMORY)
            self.assertEqual(MIB, self.budget.usage().request_bytes)
        self.assertEqual(0, self.budget.usage().request_bytes)
        self.assertEqual(0, holder.response_bytes)


class StalledResponseTest(BudgetCase):
    """An endpoint that sends a part of a large response, then nothing."""

    def setUp(self):
        super().setUp()
        self.stalled, self.other = (self.receive(KIB) for _ in range(2))
        for holder in (self.stalled, self.other):
            holder.begin_serving()
        self.arrived = queue.Queue()
        self.may_pass_on = event.Event()
        self.may_pass_on.set()
        self.passed_on = 0
        self.task = gevent.spawn(self.read)
        self.arrived.put(KIB)
        gevent.sleep(0)

    def source(self):
        while True:
            yield bytes(self.arrived.get())

    def read(self):
        with self.stalled.read_response() as reading:
            for block in reading.blocks(self.source()):
                reading.reserve(2 * MIB, 1_000.0)
                self.may_pass_on.wait()
                self.passed_on += len(block)

    def check_kept(self):
        self.assertRaises(
            TimeoutError, self.other.reserve_response, 2 * MIB, 0.0
        )
        self.assertFalse(self.task.ready())
        self.assertEqual(2 * MIB, self.stalled.response_bytes)

    # Guards against sound responses that wait for the memory of those which
    # endpoints never end.
    def test_stalled_response_yields_to_another(self):
        self.clock.advance(response_room.STALLED_MS)
        self.other.reserve_response(2 * MIB, 1_000.0)
        self.assertRaises(
            response_room.StalledResponseError, self.task.get, timeout=5
        )
        self.assertEqual(0, self.stalled.response_bytes)
        for holder in (self.stalled, self.other):
            holder.close()
        self.assertEqual(0, self.held_bytes())

    def test_response_that_goes_on_keeps_its_memory(self):
        self.clock.advance(response_room.STALLED_MS)
        self.arrived.put(response_room.PROGRESS_BYTES)
        gevent.sleep(0)
        self.check_kept()

    # Guards against responses that are kept alive byte by byte.
    def test_response_of_single_bytes_yields(self):
        for _ in range(20):
            self.clock.advance(response_room.STALLED_MS / 10)
            self.arrived.put(1)
            gevent.sleep(0)
        self.other.reserve_response(2 * MIB, 1_000.0)
        self.assertTrue(self.task.ready())

    # Guards against a stream that is broken off while its caller is written to,
    # and goes on at another endpoint.
    def test_task_that_passes_a_block_on_is_not_interrupted(self):
        self.may_pass_on.clear()
        self.arrived.put(KIB)
        gevent.sleep(0)
        self.clock.advance(response_room.STALLED_MS)
        self.check_kept()
        self.may_pass_on.set()
        gevent.sleep(0)
        self.assertEqual(2 * KIB, self.passed_on)


class PlacesTest(BudgetCase):
    def setUp(self):
        super().setUp()
        self.places = connection_places.Places(self.budget, 2)

    # Guards against ordinary callers that get no connection.
    def test_connection_without_a_request_gives_up_its_place(self):
        first = self.places.take()
        self.clock.advance(1.0)
        second = self.places.take()
        self.places.take()
        self.assertEqual(memory_usage.Reason.PLACE, first.reclaimed_for)
        self.assertIsNone(second.reclaimed_for)

    # Guards against an accepted request that is cut off for its place.
    def test_request_that_is_served_keeps_its_place(self):
        holders = [self.places.take() for _ in range(2)]
        for holder in holders:
            holder.begin_request()
            holder.begin_serving()
        self.clock.advance(60_000.0)
        self.places.take()
        self.assertEqual({None}, {h.reclaimed_for for h in holders})

    def test_place_is_free_again_once_its_connection_has_ended(self):
        first, second = (self.places.take() for _ in range(2))
        self.places.leave(first)
        self.places.take()
        self.assertIsNone(second.reclaimed_for)


class VmMemoryTest(testtools.TestCase):
    PROGRAM = vm_memory.ProgramMemory(48 * MIB, 64 * MIB)

    def test_memory_beyond_the_program_is_held_for_clients(self):
        limit = vm_memory.for_vm(150 * MIB, self.PROGRAM, MIB)
        self.assertEqual(43 * MIB, limit)

    # Guards against a process that starts and can hold no request.
    def test_too_little_memory_is_an_error_that_says_how_much(self):
        exc = self.assertRaises(
            vm_memory.TooSmallError,
            vm_memory.for_vm,
            53 * MIB,
            self.PROGRAM,
            MIB,
        )
        self.assertIn("at least 54 MB", str(exc))

    def test_smallest_budget_has_room_for_the_largest_body(self):
        limit = vm_memory.for_vm(54 * MIB, self.PROGRAM, MIB)
        clock = clocks.ManualClock()
        budget = memory_budget.MemoryBudget(limit, clock, random.Random(1))
        holder = budget.open()
        holder.begin_request()
        holder.grow(MIB)
        self.assertFalse(holder.is_reclaimed)
