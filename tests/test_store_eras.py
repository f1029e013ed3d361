"""A store that returns from a copy some seconds old, under a later era.

What it has acknowledged since is lost, and offsets are given out again.
"""

import json
import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.platform import names
from hornbeampier.replication import appliers
from hornbeampier.replication import follower
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from hornbeampier.routing import catalog
from tests import nodes
from tests import store_standin

CONFIG = names.CONFIGURATION_KEY
REVOKED_KEY = "key-0"


def config_value(version, **overrides):
    return json.dumps(nodes.configuration(version, **overrides)).encode()


def entry(**overrides):
    address = overrides.pop("address", "10.0.0.1:80")
    record = nodes.endpoint_record("service", address, **overrides)
    return json.dumps(record).encode()


class Vm:
    """The replicas of one VM, with their real appliers."""

    def __init__(self, clock):
        self.catalog = catalog.Catalog()
        self.endpoints = appliers.EndpointApplier(self.catalog, clock)
        self.replicas = {
            names.OPERATOR_TOPIC: replica.TopicReplica(
                names.OPERATOR_TOPIC,
                appliers.ConfigurationApplier(self.catalog, CONFIG),
            ),
            names.ENDPOINT_TOPIC: replica.TopicReplica(
                names.ENDPOINT_TOPIC, self.endpoints
            ),
        }

    def fetch_from(self, peer):
        """Fetches what a peer has and this VM has not."""
        for topic, own in self.replicas.items():
            theirs = peer.replicas[topic]
            if theirs.position is None:
                continue
            if own.position is None or theirs.position > own.position:
                since = own.position or positions.START
                own.apply_batch(theirs.records_since(since))


class Store:
    """The records of both topics, which can be lost back to a copy."""

    def __init__(self):
        self.era = 1
        self.records = {names.OPERATOR_TOPIC: [], names.ENDPOINT_TOPIC: []}

    def put(self, topic, key, value):
        offset = len(self.records[topic])
        self.records[topic].append(
            messages.Record(key, value, offset, self.era)
        )

    def copy(self):
        return {topic: list(rows) for topic, rows in self.records.items()}

    def restore(self, copy):
        self.era += 1
        self.records = {topic: list(rows) for topic, rows in copy.items()}

    def snapshot(self, topic):
        newest = {record.key: record for record in self.records[topic]}
        return messages.Snapshot(
            tuple(
                messages.Record(r.key, r.value, r.offset, self.era)
                for r in newest.values()
                if r.value is not None
            ),
            len(self.records[topic]),
            self.era,
        )

    def batch(self, topic, offset):
        rows = tuple(
            messages.Record(r.key, r.value, r.offset, self.era)
            for r in self.records[topic][offset:]
        )
        return messages.Batch(rows, len(self.records[topic]), self.era)

    def serve(self, vm):
        """Lets a VM read what it has not, as its follower does."""
        for topic, own in vm.replicas.items():
            if own.position is None or own.era != self.era:
                own.apply_snapshot(self.snapshot(topic))
            else:
                own.apply_batch(self.batch(topic, own.position.offset))


class VmTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.store = Store()
        self.vm = Vm(self.clock)

    def put_config(self, version, **overrides):
        self.store.put(
            names.OPERATOR_TOPIC, CONFIG, config_value(version, **overrides)
        )

    def put_entry(self, endpoint_id, **overrides):
        self.store.put(names.ENDPOINT_TOPIC, endpoint_id, entry(**overrides))

    def remove_entry(self, endpoint_id):
        self.store.put(names.ENDPOINT_TOPIC, endpoint_id, None)


class ConfigurationTest(VmTestCase):
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
        started = Vm(self.clock)
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
        late = Vm(self.clock)
        self.store.serve(late)
        self.store.restore(copy)
        self.store.serve(self.vm)
        self.vm.fetch_from(late)
        self.assertEqual(1, self.vm.catalog.version)
        late.fetch_from(self.vm)
        self.assertEqual(2, late.catalog.version)


class EndpointTest(VmTestCase):
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
        reader = Vm(self.clock)
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


class PeersTest(VmTestCase):
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
        self.store = Store()
        self.version = 0
        self.sequences = {}
        self.leaving = set()
        self.publish()
        copies = [self.store.copy()]
        vms = [Vm(self.clock) for _ in range(self.VMS)]
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
                vms[rng.randrange(self.VMS)] = Vm(self.clock)
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


class FakeSource:
    def __init__(self, *results):
        self.results = list(results)

    def read_snapshot(self, topic):
        return self._next(messages.Snapshot)

    def read(self, topic, offset, wait_ms):
        return self._next(messages.Batch)

    def close(self):
        pass

    def _next(self, kind):
        result = self.results.pop(0)
        if isinstance(result, BaseException):
            raise result
        if not isinstance(result, kind):
            raise AssertionError(f"{kind.__name__} asked for, not {result}")
        return result


class FollowerTest(VmTestCase):
    def follow(self, *results):
        topic_replica = self.vm.replicas[names.OPERATOR_TOPIC]
        task = follower.TopicFollower(
            topic_replica,
            FakeSource(*results, KeyboardInterrupt()),
            self.clock,
            random.Random(1),
            lambda: 1,
            lambda: True,
        )
        self.assertRaises(KeyboardInterrupt, task.run)
        self.source_lost = task.source_lost
        return topic_replica

    def config(self, version, offset, era):
        return messages.Record(CONFIG, config_value(version), offset, era)

    def test_records_read_in_a_later_era_are_read_again_as_a_snapshot(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 1),), 1, 1),
            messages.Batch((self.config(9, 1, 2),), 2, 2),
            messages.Snapshot((self.config(8, 0, 2),), 1, 2),
        )
        self.assertEqual(positions.Position(2, 1), topic_replica.position)
        self.assertEqual(8, self.vm.catalog.version)

    def test_offset_that_the_store_does_not_have_leads_to_a_snapshot(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 7, 1),), 8, 1),
            messages.RecordsCompactedError("gone"),
            messages.Snapshot((self.config(2, 3, 2),), 4, 2),
        )
        self.assertEqual(positions.Position(2, 4), topic_replica.position)

    def test_two_eras_in_a_few_seconds_are_followed(self):
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 1),), 1, 1),
            messages.Batch((), 1, 2),
            messages.Snapshot((self.config(2, 0, 3),), 1, 3),
            messages.Batch((self.config(3, 1, 3),), 2, 3),
        )
        self.assertEqual(positions.Position(3, 2), topic_replica.position)

    def test_store_of_an_earlier_era_is_not_read(self):
        peer = Vm(self.clock)
        peer.replicas[names.OPERATOR_TOPIC].apply_snapshot(
            messages.Snapshot((self.config(5, 4, 3),), 5, 3)
        )
        self.vm.fetch_from(peer)
        topic_replica = self.follow(
            messages.Snapshot((self.config(1, 0, 2),), 1, 2)
        )
        self.assertEqual(positions.Position(3, 5), topic_replica.position)
        self.assertTrue(self.source_lost)

    def test_standby_vm_learns_of_the_era_from_a_peer(self):
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        reader = Vm(self.clock)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.store.restore(copy)
        self.put_config(3)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.assertEqual(3, self.vm.catalog.version)


class NodeEraTest(nodes.NodeTestCase):
    """Complete nodes before a store that returns from a copy."""

    def revoked_cfg(self, version):
        accounts = [{"name": "account-1", "apiKeys": [nodes.KEY]}]
        return nodes.configuration(version, tenants=accounts)

    def start_in_lost_window(self, **settings):
        """Returns a node; the store has lost that a key was revoked."""
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        router = self.start_ready_node(**settings)
        copy = self.store.copy()
        self.store.put_configuration(self.revoked_cfg(2))
        store_standin.wait_until(lambda: router.catalog.version == 2)
        self.store.restore(copy)
        replicas = router._replicas.values()
        store_standin.wait_until(lambda: all(r.era == 2 for r in replicas))
        return router

    # Guards against a revoked key that is valid again, and against changes
    # that are missed, after the store has returned from an older copy.
    def test_revoked_key_stays_revoked_and_changes_are_followed(self):
        router = self.start_in_lost_window()
        self.assertEqual(401, self.call(router, key=REVOKED_KEY).status)
        self.assertEqual(200, self.call(router).status)
        self.store.put_configuration(self.revoked_cfg(3))
        store_standin.wait_until(lambda: router.catalog.version == 3)
        added = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.respond()
        )
        store_standin.wait_until(lambda: added.id in router.catalog.endpoints)

    def test_vm_that_starts_meanwhile_gets_the_configuration_in_force(self):
        control, peer_port = nodes.free_port(), nodes.free_port()
        seeds = (nodes.settings.Address("127.0.0.2", control),)

        def peer_settings(host):
            return {
                "host": host,
                "control": nodes.settings.Address(host, control),
                "seeds": seeds,
                "peer_port": peer_port,
            }

        self.start_in_lost_window(**peer_settings("127.0.0.2"))
        started = self.start_node(**peer_settings("127.0.0.3"))
        store_standin.wait_until(lambda: started.catalog.version == 2)
        self.assertEqual(401, self.call(started, key=REVOKED_KEY).status)

    def test_malformed_era_counts_as_an_outage(self):
        router = self.start_ready_node()
        self.store.era = "first"
        self.store.put_configuration(nodes.configuration(2))
        store_standin.wait_until(
            lambda: any(f.source_lost for f in router._followers)
        )
        self.store.era = 1
        store_standin.wait_until(lambda: router.catalog.version == 2)

    def test_store_without_eras_is_followed(self):
        self.store.era = None
        router = self.start_ready_node()
        self.store.put_configuration(nodes.configuration(2))
        store_standin.wait_until(lambda: router.catalog.version == 2)
