"""Datagrams with values that no VM of ours sends, from a peer.

Whatever a datagram holds, it is unreadable or can be applied, and the VM goes
on to send what it knows.
"""

import random

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from hornbeampier import errors
from hornbeampier.peers import messages
from hornbeampier.peers import origin_messages
from hornbeampier.peers import usage_messages
from hornbeampier.routing import prompt_kinds
from tests import gossip_cluster
from tests import origin_network
from tests import usage_network

EXAMPLES = 300
# Hubs of 26 VMs take longer.
HUB_EXAMPLES = 200
HUB_VMS = 26
ODD_HOST = "10.9.9.9"
# Encodes what the decoders do not take, too.
_encoder = msgspec.msgpack.Encoder()

ODD_INTEGERS = (-(2**63), -1, 2**31, 2**53, 2**63 - 1, 2**64 - 1)
integers = strategies.sampled_from(ODD_INTEGERS) | strategies.integers(0, 9)
floats = strategies.sampled_from(
    (-1.0, 0.0, 7.5, 1e308, float("inf"), float("-inf"), float("nan"))
)
# Hosts, names and ids alike, as either may come where the other belongs.
ODD_TEXTS = ("", "a..b", "a" * 300, "host.example", "a\0b", "\u0660.1", "1.2")
texts = strategies.sampled_from((*ODD_TEXTS, "e0", "vm-9", "10.0.0.1", "topic"))
digests = strategies.sampled_from((b"", b"\0", b"x" * 8, b"y" * 40))


def tables(values):
    return strategies.dictionaries(texts, values, max_size=3)


def rows(*fields):
    return strategies.lists(strategies.tuples(*fields), max_size=3)


def settings(max_examples):
    return hypothesis.settings(
        max_examples=max_examples,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


digest_tables = tables(strategies.lists(digests, max_size=2))
KINDS = len(prompt_kinds.PromptKind)
ODD_FIELDS = {
    "is_delta": strategies.booleans(),
    "offsets": tables(integers),
    "loads": tables(strategies.tuples(*[integers] * 4)),
    "workload": tables(strategies.tuples(*[floats] * KINDS)),
    "pools": tables(strategies.tuples(integers, integers)),
    "sent_tokens": tables(integers),
    "placements": rows(texts, texts, integers),
    "crashes": rows(texts, texts),
    "members": strategies.lists(texts, max_size=2),
    "scope": strategies.integers(0, 6) | integers,
    "zone": integers,
    "vm_count": integers,
    "readers": strategies.lists(texts, max_size=2),
    "reports": rows(texts, integers, integers),
    "sources": tables(
        strategies.tuples(
            integers, strategies.lists(texts, max_size=2), integers
        )
    ),
    "notices": rows(
        texts,
        integers,
        strategies.booleans(),
        strategies.none() | floats,
        strategies.none() | integers,
    ),
    "positions": tables(
        strategies.tuples(integers, integers, strategies.booleans())
    ),
    "crash_reports": digest_tables,
    "cleared_reports": digest_tables,
    "crash_ages_ms": tables(integers),
    "blocks": rows(
        strategies.lists(digests, max_size=2), integers, texts, integers
    ),
}
odd_fields = strategies.lists(
    strategies.sampled_from(sorted(ODD_FIELDS)), max_size=3, unique=True
).flatmap(
    lambda keys: strategies.fixed_dictionaries({k: ODD_FIELDS[k] for k in keys})
)


def state_message(sequence, fields):
    """Returns a datagram with some fields other than those of a VM."""
    message = messages.StateMessage("vm-odd", 1, sequence, True, False, {}, {})
    values = msgspec.structs.asdict(message) | fields
    return _encoder.encode(list(values.values()))


class OddGossipTest(testtools.TestCase):
    def check(self, cluster, seconds, max_examples):
        cluster.run(2)
        receivers = list(cluster.vms.values())
        sequence = applied = 0

        @settings(max_examples)
        @hypothesis.given(odd_fields)
        def check(fields):
            nonlocal sequence, applied
            sequence += 1
            data = state_message(sequence, fields)
            try:
                message = messages.decode(data)
            except errors.PeerError:
                return
            receiver = receivers[sequence % len(receivers)]
            receiver.gossip.accept(ODD_HOST, message)
            applied += 1
            cluster.run(seconds)

        check()
        self.assertGreater(applied, max_examples / 4)
        self.assert_gossips(cluster)

    def assert_gossips(self, cluster):
        """A change at the first VM must reach the others."""
        cluster.run(20)
        first, *others = cluster.vms.values()
        first.fleet.get("e3").in_flight += 7
        cluster.run(5)
        for other in others:
            load = other.peer_loads.of(f"vm-{first.host}")
            total = load["e3"].in_flight if "e3" in load else None
            self.assertIn(total, (7, None))
            self.assertGreaterEqual(other.in_flight("e3"), 7)

    # Guards against a VM that no longer gossips: what it had heard did not fit
    # its own datagrams, or could not be sent to.
    def test_vms_gossip_on_after_odd_datagrams(self):
        cluster = gossip_cluster.Cluster(3, 1, random.Random(1))
        self.check(cluster, 0.1, EXAMPLES)

    # Guards against the same for hubs, which send sums over their group.
    def test_hubs_gossip_on_after_odd_datagrams(self):
        cluster = gossip_cluster.Cluster(HUB_VMS, 1, random.Random(1))
        self.check(cluster, 0.25, HUB_EXAMPLES)

    # Guards against bounds that exclude what VMs send.
    def test_largest_values_that_a_vm_sends_are_read(self):
        load = [10_000, 10**9, 10**9, 10**9]
        fields = {
            "loads": {"e0": load},
            "workload": {"s": [1e12] * KINDS},
            "sent_tokens": {"e0": 10**9},
            "reports": [["10.0.0.1", 65_535, 12_000], ["::1", 0, 0]],
            "positions": {"topic": [2**31, 2**40, False]},
            "sources": {"topic": [2**40, ["10.0.0.1"], 1, False]},
            "notices": [["e0", 1_790_000_000_000, True, 1e6, 0]],
        }
        self.assertEqual(1, messages.decode(state_message(1, fields)).sequence)


origins = strategies.tuples(texts, texts)
ages = rows(origins, integers)
origin_datagrams = strategies.one_of(
    strategies.tuples(
        strategies.just(1), rows(origins, rows(digests, integers))
    ),
    strategies.tuples(
        strategies.just(2), integers, strategies.none() | digests
    ),
    strategies.tuples(
        strategies.just(3),
        integers,
        strategies.none() | origins,
        ages,
        integers,
    ),
)


class OddOriginTest(testtools.TestCase):
    # Guards against streams that are refused or reset: what a peer told of
    # them could not be told on.
    def test_streams_are_found_after_odd_datagrams(self):
        network = origin_network.OriginNetwork(4, ["v1", "v2"])
        vm, other, *_ = network.vms.values()
        numbers = iter(range(EXAMPLES))

        @settings(EXAMPLES)
        @hypothesis.given(origin_datagrams)
        def check(fields):
            try:
                message = origin_messages.decode(_encoder.encode(fields))
            except errors.PeerError:
                return
            vm.exchange.accept(other.host, message)
            network.clock.advance(300.0)
            vm.history.expire()
            vm.exchange.expire()
            request_id = f"r{next(numbers)}"
            other.begin(request_id, "v1")
            self.assertEqual("v1", vm.find(request_id))

        check()


counts = tables(integers)
usage_datagrams = strategies.one_of(
    strategies.tuples(
        strategies.just(1),
        integers,
        integers,
        integers,
        strategies.lists(texts, max_size=3),
        rows(
            integers,
            strategies.booleans(),
            strategies.lists(integers, max_size=4),
        ),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.just(2), *[integers] * 3, strategies.booleans(), integers
    ),
    strategies.tuples(strategies.just(3), integers),
    strategies.tuples(
        strategies.just(4), integers, strategies.lists(integers, max_size=3)
    ),
    strategies.tuples(
        strategies.just(5),
        integers,
        strategies.booleans(),
        rows(texts, integers, strategies.booleans(), counts),
    ),
    strategies.tuples(strategies.just(6), integers, counts, integers),
)


class OddUsageTest(testtools.TestCase):
    # Guards against usage that is no longer reported: sums did not fit the
    # datagrams in which VMs exchange them.
    def test_usage_is_exchanged_after_odd_datagrams(self):
        network = usage_network.UsageNetwork(3)
        network.run(6_000)
        vms = list(network.vms.values())
        window = int(vms[0].time.now() // usage_network.WINDOW_MS)
        numbers = iter(range(EXAMPLES))

        @settings(EXAMPLES)
        @hypothesis.given(usage_datagrams, strategies.booleans())
        def check(fields, is_current):
            if is_current and fields[0] in (4, 5, 6):
                fields = (fields[0], window, *fields[2:])
            try:
                message = usage_messages.decode(_encoder.encode(fields))
            except errors.PeerError:
                return
            vm = vms[next(numbers) % len(vms)]
            vm.exchange.accept(vms[0].host, message)
            network.run(200)

        check()
        network.run(6_000)
