"""Crashes and blocks among many VMs that gossip, without a network."""

import random

import testtools

from hornbeampier.peers import hub_rounds
from hornbeampier.routing import crashes
from tests import crashing_engines
from tests import gossip_cluster

# The platform's rules on crashing segments.
COUNTED_CRASHES = 5
STABLE_MS = 3_000.0
MAX_LATER_ARRIVALS = 3


class FleetTest(testtools.TestCase):
    """Crashing prompts through any of many VMs that gossip."""

    def start(self, vm_count, seed=1):
        self.rng = random.Random(seed)
        self.cluster = gossip_cluster.Cluster(vm_count, 3, self.rng)
        self.cluster.run(8)
        self.crashed_ms = []
        self.arrivals_ms = []
        self.refused = 0

    def vm(self):
        return self.rng.choice(list(self.cluster.vms.values()))

    def send(self, *names):
        """Sends a prompt to any VM; it crashes an engine if it is bad."""
        vm = self.vm()
        number = self.rng.getrandbits(64)
        suspects = {f"{number:032x}", *crashing_engines.suspects_of(*names)}
        if vm.crashes.is_blocked(suspects):
            self.refused += 1
            return
        if "bad" not in names:
            vm.crashes.record_success(suspects)
            return
        self.arrivals_ms.append(self.cluster.clock.now())
        self.crashed_ms.append(self.cluster.clock.now())
        incarnation = f"i-{number:x}/1"
        for suspect in suspects:
            vm.crashes.record(crashes.Crash(suspect, incarnation))
        # Another VM's sound prompt had just begun there as well.
        other = self.vm()
        for suspect in crashing_engines.suspects_of(
            "first", f"seg-{self.rng.randrange(9)}"
        ):
            other.crashes.record(crashes.Crash(suspect, incarnation))

    def play(self, seconds, interval_s):
        """Sends crashing prompts and as many sound ones by turns."""
        for number in range(round(seconds / interval_s)):
            self.send("first", f"seg-{number % 9}", "bad")
            self.send("first", f"seg-{number % 9}")
            self.cluster.run(interval_s)

    def later_arrivals(self):
        if len(self.crashed_ms) < COUNTED_CRASHES:
            return 0
        from_ms = self.crashed_ms[COUNTED_CRASHES - 1] + STABLE_MS
        return sum(at_ms > from_ms for at_ms in self.arrivals_ms)

    def refused_sound(self):
        """Sends sound prompts only and counts those that are refused."""
        self.refused = 0
        for number in range(100):
            self.send("first", f"seg-{number % 9}")
        return self.refused

    def test_nine_vms_block_the_segment_together(self):
        self.start(9)
        self.play(20, 0.5)
        self.assertLessEqual(len(self.arrivals_ms), COUNTED_CRASHES)
        self.assertEqual(0, self.refused_sound())

    def test_195_vms_with_hubs_block_the_segment_together(self):
        self.start(195)
        self.play(7, 0.2)
        self.assertLessEqual(self.later_arrivals(), MAX_LATER_ARRIVALS)
        self.assertEqual(0, self.refused_sound())

    def test_lost_datagrams_change_nothing(self):
        self.start(60)
        self.cluster.loss = 0.2
        self.play(12, 0.2)
        self.assertLessEqual(self.later_arrivals(), MAX_LATER_ARRIVALS)

    # Guards against VMs that start later letting the crashes begin again.
    def test_vm_that_starts_later_learns_what_is_blocked(self):
        for vm_count in (9, 60):
            self.start(vm_count)
            self.play(12, 0.2)
            self.cluster.run(crashes.GOSSIP_MS / 1_000 + 1)
            hosts = list(self.cluster.vms)
            started = []
            for number in range(3, 6):
                self.cluster.kill([hosts[number]])
                started.append(self.cluster.start(number, boot=2))
            self.cluster.run(STABLE_MS / 1_000)
            suspects = crashing_engines.suspects_of("other", "bad")
            blocked = [vm.crashes.is_blocked(suspects) for vm in started]
            self.assertEqual([True] * 3, blocked)

    def test_served_trial_ends_the_block_on_all_vms(self):
        self.start(9)
        self.play(6, 0.5)
        self.cluster.run(crashes.GOSSIP_MS / 1_000 + 1)
        vm = self.vm()
        vm.crashes.record_success(crashing_engines.suspects_of("bad"))
        self.cluster.run(3)
        blocked = [
            vm.crashes.is_blocked(crashing_engines.suspects_of("bad"))
            for vm in self.cluster.vms.values()
        ]
        self.assertEqual([False] * 9, blocked)

    def test_vm_that_missed_the_end_of_a_block_does_not_bring_it_back(self):
        self.start(9)
        self.play(6, 0.5)
        hosts = list(self.cluster.vms)
        self.cluster.cut = frozenset(hosts[:1])
        vm = self.cluster.vms[hosts[5]]
        vm.crashes.record_success(crashing_engines.suspects_of("bad"))
        self.cluster.run(10)
        self.cluster.cut = frozenset()
        self.cluster.run(5)
        blocked = [
            vm.crashes.is_blocked(crashing_engines.suspects_of("bad"))
            for vm in self.cluster.vms.values()
        ]
        self.assertEqual([False] * 9, blocked)

    def test_blocks_cost_little_in_each_datagram(self):
        self.start(60)
        self.cluster.run(2)
        before = self.bytes_per_vm_and_s()
        self.play(6, 0.2)
        self.cluster.run(crashes.GOSSIP_MS / 1_000 + 1)
        after = self.bytes_per_vm_and_s()
        # A tenth of the 2 KB a second that a VM may use for control.
        self.assertLess(after - before, 200)

    def bytes_per_vm_and_s(self):
        """Measured over two intervals of the hubs' reports of members."""
        seconds = 2 * hub_rounds.REPORT_INTERVAL_MS / 1_000
        self.cluster.sent.clear()
        self.cluster.run(seconds)
        total = sum(size for _, size in self.cluster.sent.values())
        return total / len(self.cluster.vms) / seconds
