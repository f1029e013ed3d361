"""Random faults over days must not make VMs accept different versions."""

import functools

import testtools

from hornbeampier.operators import configuration_log
from hornbeampier.operators import schema
from tests import configurations


class SeededConfigurationTest(testtools.TestCase):
    """Many VMs over days of publishes, races, trims, restarts and outages."""

    TICK_MS = 600_000.0
    TICKS = 432
    VMS = 9

    def test_all_vms_accept_the_same_versions_in_order(self):
        self.patch(schema, "parse", functools.cache(schema.parse))
        for seed in range(6):
            run = _SeededRun(self, seed)
            for _ in range(self.TICKS):
                run.tick()
            run.end_faults()


class _SeededRun:
    def __init__(self, case, seed):
        self.case = case
        self.cluster = configurations.ConfigurationCluster(
            vms=case.VMS, seed=seed
        )
        self.rng = self.cluster.rng
        self.frozen_ticks = {}
        self.text_by_version = {}
        self.newest_versions = {}
        self.publish_count = 0
        self.results = []
        self.decisions = {}
        self.oracle = self.cluster.start_vm()
        self.oracle.subscribe_decisions(self.record_decision)

    def record_decision(self, decision):
        self.decisions.setdefault(decision.publish_id, decision)

    def tick(self):
        rng = self.rng
        if rng.random() < 0.3:
            self.publish()
        if rng.random() < 0.05:
            data = rng.choice(["{", configurations.record(-1, "bad", "x")])
            self.cluster.append(data)
        for index in range(len(self.cluster.vms)):
            self.disturb(index)
        for vm in rng.sample(self.cluster.vms, len(self.cluster.vms)):
            if self.frozen_ticks.get(vm, 0) <= 0:
                vm.poll_log() or vm.adopt_from_peers()
            self.frozen_ticks[vm] = self.frozen_ticks.get(vm, 0) - 1
            self.check(vm)
        self.oracle.poll_log()
        self.cluster.clock.advance(self.case.TICK_MS)

    def publish(self):
        """One or two operators publish; some responses are lost."""
        known_version = self.oracle.state.version
        for _ in range(self.rng.choice([1, 1, 2])):
            self.publish_count += 1
            log = self.cluster.log()
            log.lose_answers = self.rng.randrange(2)
            publisher = self.cluster.publisher(log)
            if self.rng.random() < 0.3:
                racing_record = configurations.record(
                    known_version,
                    configurations.text(self.publish_count),
                    f"r{self.publish_count}",
                )
                log.before_append = lambda data=racing_record: (
                    self.cluster.append(data)
                )
            self.results.append(
                publisher.publish(configurations.text(self.publish_count))
            )

    def disturb(self, index):
        """Restarts, freezes or disconnects a VM from the log, at random."""
        vm = self.cluster.vms[index]
        draw = self.rng.random()
        if draw < 0.01:
            self.cluster.vms[index] = vm = self.cluster.start_vm()
            vm.log.down = self.rng.random() < 0.5
        elif draw < 0.015 and index % 2:
            self.frozen_ticks[vm] = self.rng.choice([10, 200])
        elif draw < 0.05:
            vm.log.down = not vm.log.down and index > 0
        others = [v for v in self.cluster.vms if v is not vm]
        vm.peers.followers = self.rng.sample(others, 3)

    def check(self, vm):
        version = vm.state.version
        self.case.assertGreaterEqual(version, self.newest_versions.get(vm, -1))
        self.newest_versions[vm] = version
        if vm.accepted:
            known_text = self.text_by_version.setdefault(
                version, vm.accepted.text
            )
            self.case.assertEqual(known_text, vm.accepted.text)

    def end_faults(self):
        for vm in self.cluster.vms:
            vm.log.down = False
            for _ in range(20):
                vm.poll_log()
        self.oracle.poll_log()
        final_version = self.oracle.state.version
        self.case.assertGreater(final_version, 50)
        self.case.assertEqual({final_version}, set(self.cluster.versions()))
        for result in self.results:
            decision = self.decisions[result.publish_id]
            self.case.assertEqual(decision.accepted_version, result.version)
            is_accepted = (
                decision.outcome is configuration_log.RecordOutcome.ACCEPTED
            )
            self.case.assertEqual(is_accepted, result.outcome == "accepted")
