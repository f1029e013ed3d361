"""A store that returns from copies, and the replicas of VMs that read it."""

import json

import testtools

from hornbeampier import clock as clocks
from hornbeampier.platform import names
from hornbeampier.replication import appliers
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from hornbeampier.routing import catalog
from tests import nodes

CONFIG = names.CONFIGURATION_KEY


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
        self.endpoints = appliers.EndpointApplier(
            self.catalog, nodes.HEARTBEAT_MS, clock
        )
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
