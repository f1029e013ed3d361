"""Replicas of a store that returns from a copy some seconds old."""

import random

from hornbeampier.platform import names
from hornbeampier.replication import appliers
from hornbeampier.replication import positions
from tests import era_fakes


class ConfigurationTest(era_fakes.VmTestCase):
    def test_record_under_a_lower_offset_is_applied(self):
        for version in (1, 2, 3):
            self.put_config(version)
        copy = self.store.copy()
        for version in (4, 5, 6):
            self.put_config(version)
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.put_config(7)
        self.store.serve(self.vm)
        self.assertEqual(7, self.vm.catalog.version)

    def test_configuration_in_force_outlasts_the_older_copy(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.store.serve(self.vm)
        self.assertEqual(2, self.vm.catalog.version)

    def test_vm_that_read_only_the_copy_gets_it_from_a_peer(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.store.serve(self.vm)
        started = era_fakes.Vm(self.clock)
        self.store.serve(started)
        self.assertEqual(1, started.catalog.version)
        started.fetch_from(self.vm)
        self.assertEqual(2, started.catalog.version)

    def test_rewritten_configuration_replaces_the_carried_one(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.store.serve(self.vm)
        self.put_config(3)
        self.store.serve(self.vm)
        self.assertEqual(3, self.vm.catalog.version)
        position = self.vm.replicas[names.OPERATOR_TOPIC].position
        self.assertEqual(positions.Position(2, 2), position)

    def test_lost_configuration_of_a_late_peer_is_not_taken(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        late = era_fakes.Vm(self.clock)
        self.store.serve(late)
        self.store.restore(copy)
        self.store.serve(self.vm)
        self.vm.fetch_from(late)
        self.assertEqual(1, self.vm.catalog.version)
        late.fetch_from(self.vm)
        self.assertEqual(2, late.catalog.version)


class EndpointTest(era_fakes.VmTestCase):
    def leave_and_restore(self, lost):
        """Restores a copy in which the endpoint `e` is still ready."""
        self.put_entry("e", sequence=5)
        copy = self.store.copy()
        self.store.serve(self.vm)
        lost()
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.store.serve(self.vm)

    def test_endpoint_that_was_draining_stays_so(self):
        self.leave_and_restore(
            lambda: self.put_entry("e", sequence=9, state="draining")
        )
        self.assertTrue(self.vm.catalog.endpoints["e"].leaving)

    def test_endpoint_that_was_removed_does_not_return_with_the_copy(self):
        self.leave_and_restore(lambda: self.remove_entry("e"))
        self.assertEqual({}, self.vm.catalog.endpoints)

    def test_endpoint_that_writes_again_is_used(self):
        self.leave_and_restore(lambda: self.remove_entry("e"))
        self.put_entry("e", sequence=7)
        self.store.serve(self.vm)
        self.assertIn("e", self.vm.catalog.endpoints)

    def test_restarted_endpoint_is_used_whatever_its_sequence(self):
        self.leave_and_restore(lambda: self.remove_entry("e"))
        self.put_entry("e", sequence=1, born=2)
        self.store.serve(self.vm)
        self.assertEqual(2, self.vm.catalog.endpoints["e"].started_ms)

    def test_endpoint_that_the_copy_lacks_has_time_to_write_again(self):
        copy = self.store.copy()
        self.put_entry("e")
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.store.serve(self.vm)
        self.assertIn("e", self.vm.catalog.endpoints)
        self.clock.advance(appliers.REREGISTER_MS + 1.0)
        self.vm.endpoints.expire()
        self.assertEqual({}, self.vm.catalog.endpoints)

    def test_endpoint_that_only_a_standby_vm_knows_is_removed(self):
        copy = self.store.copy()
        self.put_entry("lost")
        self.store.serve(self.vm)
        self.store.restore(copy)
        reader = era_fakes.Vm(self.clock)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.assertIn("lost", self.vm.catalog.endpoints)
        self.clock.advance(appliers.REREGISTER_MS + 1.0)
        self.vm.endpoints.expire()
        self.assertEqual({}, self.vm.catalog.endpoints)

    def test_other_endpoint_under_the_same_offset_is_not_missed(self):
        copy = self.store.copy()
        self.put_entry("lost")
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.put_entry("new", address="10.0.0.2:80")
        self.store.serve(self.vm)
        self.assertIn("new", self.vm.catalog.endpoints)


class PeersTest(era_fakes.VmTestCase):
    """Random histories of a store and VMs, some of which are cut off."""

    SEEDS = 60
    STEPS = 120
    VMS = 6
    ENDPOINTS = 5

    def test_versions_never_fall_and_all_vms_agree_in_the_end(self):
        for seed in range(self.SEEDS):
            try:
                self.play(random.Random(seed))
            except Exception as exc:
                exc.add_note(f"seed {seed}")
                raise

    def play(self, rng):
        self.rng = rng
        self.store = era_fakes.Store()
        self.version = 0
        self.sequences = {}
        self.leaving = set()
        self.publish()
        copies = [self.store.copy()]
        vms = [era_fakes.Vm(self.clock) for _ in range(self.VMS)]
        for _ in range(self.STEPS):
            self.clock.advance(200.0)
            event = rng.random()
            if event < 0.1:
                self.publish()
            elif event < 0.3:
                self.write_entry()
            elif event < 0.35:
                copies.append(self.store.copy())
            elif event < 0.38:
                self.store.restore(copies[-1])
            elif event < 0.4:
                vms[rng.randrange(self.VMS)] = era_fakes.Vm(self.clock)
            elif event < 0.6:
                self.store.serve(rng.choice(vms))
            else:
                self.exchange(*rng.sample(vms, 2))
        self.settle(vms)

    def publish(self):
        self.version += 1
        self.put_config(self.version)

    def write_entry(self):
        """Some endpoints leave; what they have said before holds then."""
        endpoint_id = f"e{self.rng.randrange(self.ENDPOINTS)}"
        sequence = self.sequences.get(endpoint_id, 0) + 1
        self.sequences[endpoint_id] = sequence
        if self.rng.random() < 0.1:
            self.leaving.add(endpoint_id)
        state = "draining" if endpoint_id in self.leaving else "ready"
        self.put_entry(endpoint_id, sequence=sequence, state=state)

    def exchange(self, vm, peer):
        version = vm.catalog.version
        known_leaving = {
            e.id for e in vm.catalog.endpoints.values() if e.leaving
        }
        vm.fetch_from(peer)
        self.assertLessEqual(version, vm.catalog.version)
        for endpoint_id in known_leaving:
            endpoint = vm.catalog.endpoints.get(endpoint_id)
            self.assertTrue(endpoint is None or endpoint.leaving)

    def settle(self, vms):
        """All write again what the store lost; then every VM hears of it."""
        self.publish()
        for number in range(self.ENDPOINTS):
            endpoint_id = f"e{number}"
            if endpoint_id in self.sequences:
                self.sequences[endpoint_id] += 1
                self.put_entry(
                    endpoint_id,
                    sequence=self.sequences[endpoint_id],
                    state="draining"
                    if endpoint_id in self.leaving
                    else "ready",
                )
        self.store.serve(vms[0])
        for vm in vms[1:]:
            vm.fetch_from(vms[0])
        self.clock.advance(appliers.REREGISTER_MS + 1.0)
        for vm in vms:
            vm.endpoints.expire()
            self.assertEqual(self.version, vm.catalog.version)
            self.assertEqual(vms[0].catalog.endpoints, vm.catalog.endpoints)
            leaving = {e.id for e in vm.catalog.endpoints.values() if e.leaving}
            self.assertEqual(self.leaving, leaving)
