"""Simulated VMs that share a lease, with faults; nothing waits in real time."""

import dataclasses
import heapq
import itertools
import random

from hornbeampier import clock as clocks
from hornbeampier.duties import lease
from hornbeampier.duties import lease_records
from hornbeampier.duties import lease_steps

LEASE_MS = 3_000.0
STORE_TIMEOUT_MS = LEASE_MS / 5
API_TIMEOUT_MS = 1_000.0
API_INTERVAL_MS = 150.0
DRAIN_MS = 300.0
# How long a VM that has stopped counts as live for others.
MEMBER_TIMEOUT_MS = 12_000.0
CANDIDATE_COUNT = 3
# How late a call without a response may be executed.
MAX_LATE_MS = 3_900.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a VM, the network, the store or the API.

    Attributes:
        kind: What happens; see `World.inject`.
        vm: Number of the VM; None is the one that called the API last.
    """

    at_ms: float
    kind: str
    vm: int | None
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Begun:
    """A call to the API at its beginning."""

    at_ms: float
    vm: int
    process: int
    token: int


class FakeStore:
    """One partition, which can return to how it was at an earlier time."""

    def __init__(self, clock):
        self._clock = clock
        self._rows = []
        self.era = 1

    def read(self):
        holder, records = None, {}
        for _, row_holder, row_records in self._rows:
            holder = row_holder or holder
            records.update(row_records)
        return lease_records.Contents(
            holder, records, len(self._rows), self.era
        )

    def append(self, step):
        if step.at.end != len(self._rows):
            raise lease_records.AppendConflictError("412")
        self._rows.append((self._clock.now(), step.holder, step.records))
        end = len(self._rows)
        return lease_records.Appended(end - 1, end, self.era)

    def return_to_release(self):
        """Returns to a copy that ends with the last release, if any."""
        released = [
            at_ms
            for at_ms, holder, _ in self._rows
            if holder and holder.released
        ]
        if released:
            self.return_to(released[-1])

    def return_to(self, at_ms):
        self.era += 1
        self._rows = [row for row in self._rows if row[0] <= at_ms]


class Vm:
    """One VM with its lease; it calls the API while its term allows.

    Attributes:
        process: Number of its current process, which a restart raises.
        refused: Pairs of process and token that the API refused.
    """

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.process = 0
        self.is_up = False
        self.stopped_ms = -MEMBER_TIMEOUT_MS
        self.paused_until_ms = 0.0
        self.cut_until_ms = 0.0
        self.refused = set()
        self.start()

    def start(self):
        if self.is_up:
            return
        world = self.world
        self.is_up = True
        self.process += 1
        self.lease = lease.Lease(
            "metering",
            f"vm-{self.number}",
            LEASE_MS,
            world.requires_fence,
            world.clock,
            random.Random(world.rng.getrandbits(64)),
        )
        self.is_draining = False
        self.is_reading = False
        self.is_calling = False
        self.unanswered_ms = -LEASE_MS
        self.wake()
        self.act()

    def later(self, delay_ms, callback, *args):
        """Calls back while this process lives, after any pause."""
        self.world.schedule(delay_ms, self._run, self.process, callback, args)

    def _run(self, process, callback, args):
        if not self.is_up or process != self.process:
            return
        pause_ms = self.paused_until_ms - self.world.clock.now()
        if pause_ms > 0:
            self.world.schedule(pause_ms, self._run, process, callback, args)
        else:
            callback(*args)

    def wake(self):
        if self.is_draining:
            return
        if not self.is_reading:
            step = self.lease.next_step(self.world.is_candidate(self))
            if step is not None:
                self.call_store(step)
        due_ms = self.lease.due_ms - self.world.clock.now()
        self.later(min(max(due_ms, 5.0), 250.0), self.wake)

    def act(self):
        """Calls the API, or now and then writes a record, while allowed to."""
        term = self.lease.term()
        if term is not None and not self.is_calling:
            step = None
            if not self.is_reading and self.world.rng.random() < 0.1:
                step = self.lease.begin_record("key", b"value")
            if step is not None:
                self.call_store(step)
            else:
                self.call_api(term)
        self.later(API_INTERVAL_MS, self.act)

    def drain(self, restart_ms):
        self.is_draining = True
        self.lease.drain()
        silent_ms = self.world.clock.now() - self.unanswered_ms
        may_release = not self.is_calling and silent_ms >= LEASE_MS
        if may_release or self.world.requires_fence:
            self.release()
        self.later(DRAIN_MS, self.stop, restart_ms)

    def release(self):
        step = None if self.is_reading else self.lease.begin_release()
        if step is not None:
            self.call_store(step)
        self.later(20.0, self.release)

    def stop(self, restart_ms):
        self.is_up = False
        self.paused_until_ms = 0.0
        self.world.schedule(restart_ms, self.start)
        self.stopped_ms = self.world.clock.now()

    def call_store(self, step):
        self.is_reading = True
        self.call_number = number = next(self.world.numbers)
        self.later(STORE_TIMEOUT_MS, self.finish, number, None, None)
        delay_ms, is_lost = self.world.draw_transfer(self)
        if not is_lost:
            self.world.schedule(delay_ms, self.execute, step, number)

    def execute(self, step, number):
        world = self.world
        if world.clock.now() < world.store_down_until_ms:
            return
        try:
            if isinstance(step, lease_steps.Read):
                result = world.store.read()
            else:
                result = world.store.append(step)
        except lease_records.AppendConflictError as exc:
            result = exc
        delay_ms, is_lost = world.draw_transfer(self)
        if not is_lost:
            self.later(delay_ms, self.finish, number, step, result)

    def finish(self, number, step, result):
        if number != self.call_number or not self.is_reading:
            return
        self.is_reading = False
        match result:
            case None:
                self.lease.on_failed()
            case lease_records.AppendConflictError():
                self.lease.on_conflict()
            case lease_records.Contents():
                self.lease.on_read(result)
            case lease_records.Appended():
                self.lease.on_appended(step, result)

    def call_api(self, term):
        world = self.world
        world.record_begun(self, term.token)
        self.is_calling = True
        self.api_number = number = next(world.numbers)
        timeout_ms = min(term.expires_ms - world.clock.now(), API_TIMEOUT_MS)
        self.later(timeout_ms, self.finish_api, number, term.token, None)
        delay_ms, is_lost = world.draw_transfer(self)
        if world.clock.now() < world.late_until_ms:
            delay_ms = world.rng.uniform(0.0, MAX_LATE_MS)
        if not is_lost:
            world.schedule(delay_ms, self.execute_api, number, term.token)

    def execute_api(self, number, token):
        accepted = self.world.accept(token)
        delay_ms, is_lost = self.world.draw_transfer(self)
        if not is_lost:
            self.later(delay_ms, self.finish_api, number, token, accepted)

    def finish_api(self, number, token, accepted):
        if number != self.api_number or not self.is_calling:
            return
        self.is_calling = False
        if accepted is None:
            self.unanswered_ms = self.world.clock.now()
        elif not accepted:
            self.refused.add((self.process, token))
            self.lease.record_refused(token)


class World:
    """Some VMs, the store and the API.

    Attributes:
        begun: The calls to the API, in the order in which they began.
        executed: The tokens of executed calls, in their order.
        faulty_until_ms: When the last fault ends.
    """

    def __init__(self, seed, faults, vm_count, requires_fence):
        self.rng = random.Random(seed)
        self.requires_fence = requires_fence
        self.clock = clocks.ManualClock()
        self.numbers = itertools.count()
        self._events = []
        self.store = FakeStore(self.clock)
        self.store_down_until_ms = 0.0
        self.slow_until_ms = 0.0
        self.late_until_ms = 0.0
        self.begun = []
        self.executed = []
        self.faulty_until_ms = 0.0
        for fault in faults:
            self.schedule(fault.at_ms, self.inject, fault)
            end_ms = fault.at_ms + fault.duration_ms
            self.faulty_until_ms = max(self.faulty_until_ms, end_ms)
        self.vms = []
        for number in range(vm_count):
            self.vms.append(Vm(self, number))

    def schedule(self, delay_ms, callback, *args):
        at_ms = self.clock.now() + delay_ms
        event = (at_ms, next(self.numbers), callback, args)
        heapq.heappush(self._events, event)

    def run_until(self, end_ms):
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, callback, args = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now())
            callback(*args)

    def inject(self, fault):
        vm = self.find_target(fault)
        end_ms = self.clock.now() + fault.duration_ms
        match fault.kind:
            case "kill" if vm.is_up:
                vm.stop(fault.duration_ms)
            case "drain" if vm.is_up and not vm.is_draining:
                vm.drain(fault.duration_ms / 4)
            case "pause":
                vm.paused_until_ms = end_ms
            case "cut":
                vm.cut_until_ms = end_ms
            case "slow":
                self.slow_until_ms = end_ms
            case "store_down":
                self.store_down_until_ms = end_ms
            case "late_calls":
                self.late_until_ms = end_ms
            case "restore" if self.rng.random() < 0.5:
                self.store.return_to_release()
            case "restore":
                self.store.return_to(self.clock.now() - fault.duration_ms)

    def find_target(self, fault):
        if fault.vm is None and self.begun:
            return self.vms[self.begun[-1].vm]
        return self.vms[(fault.vm or 0) % len(self.vms)]

    def draw_transfer(self, vm):
        """Returns the delay of a message, and whether it is lost."""
        now_ms = self.clock.now()
        if now_ms < self.slow_until_ms and self.rng.random() < 0.5:
            return self.rng.uniform(0.0, MAX_LATE_MS), self.rng.random() < 0.3
        return self.rng.uniform(1.0, 20.0), now_ms < vm.cut_until_ms

    def is_candidate(self, vm):
        now_ms = self.clock.now()
        if now_ms < self.faulty_until_ms and self.rng.random() < 0.1:
            # Membership is not the same everywhere.
            return self.rng.random() < 0.5
        live = [
            other
            for other in self.vms
            if other.is_up or now_ms - other.stopped_ms < MEMBER_TIMEOUT_MS
        ]
        return vm in live[:CANDIDATE_COUNT]

    def record_begun(self, vm, token):
        if (vm.process, token) in vm.refused:
            raise AssertionError(f"vm-{vm.number} uses refused token {token}")
        self.begun.append(Begun(self.clock.now(), vm.number, vm.process, token))

    def accept(self, token):
        """Executes a call; returns whether it was accepted."""
        if self.requires_fence and token < max(self.executed[-1:], default=-1):
            return False
        self.executed.append(token)
        return True
