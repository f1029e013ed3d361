"""Records of streams on several VMs: losses, restarts, bounds."""

import msgspec
import testtools

from hornbeampier import errors
from hornbeampier.peers import hash_ring
from hornbeampier.peers import origin_messages
from hornbeampier.routing import origin_history
from hornbeampier.routing import stream_origins
from tests import origin_network

VERSIONS = ("v1", "v2")
SIZES = (9, 60, 195)
STREAMS = 400
KILLED = 0.6


class LostRecordsTest(testtools.TestCase):
    def begin_streams(self, network):
        """Begins streams at all VMs; returns VM and version by request id."""
        begun = {}
        for number in range(STREAMS):
            host = network.hosts[number % len(network.hosts)]
            version = VERSIONS[number % 3 == 0]
            network.vms[host].begin(f"a{number}", version)
            begun[f"a{number}"] = (host, version)
        return begun

    def find_all(self, network, begun, gone):
        """Returns the streams with a wrong origin, and the share lost."""
        survivors = sorted(network.vms)
        wrong, lost = [], []
        broken = {id_: at for id_, at in begun.items() if at[0] in gone}
        for number, (id_, (_, version)) in enumerate(broken.items()):
            vm = network.vms[survivors[number % len(survivors)]]
            found = vm.find(id_)
            if found is None:
                lost.append(id_)
            elif found != version:
                wrong.append(id_)
        self.assertNotEqual({}, broken)
        return wrong, len(lost) / len(broken)

    def test_no_stream_is_lost_when_one_vm_goes(self):
        for size in SIZES:
            network = origin_network.OriginNetwork(size, VERSIONS)
            network.loss = 0.03
            begun = self.begin_streams(network)
            gone = network.kill(1 / size)
            self.assertEqual(([], 0.0), self.find_all(network, begun, gone))

    # New streams begin at all VMs that are left. Of the old ones, all those
    # are to go on that one of the few VMs with their record survives.
    def test_few_streams_are_lost_when_most_vms_are_killed_at_once(self):
        for size in SIZES:
            network = origin_network.OriginNetwork(size, VERSIONS)
            begun = self.begin_streams(network)
            gone = network.kill(KILLED)
            wrong, lost = self.find_all(network, begun, gone)
            self.assertEqual([], wrong)
            self.assertLess(lost, 2 * KILLED**5)

    def test_streams_survive_restarts_of_all_vms_in_turn_but_few(self):
        for size in SIZES:
            network = origin_network.OriginNetwork(size, VERSIONS)
            begun = self.begin_streams(network)
            gone = set(network.hosts[: size // 2])
            for host in sorted(gone):
                network.start(host, VERSIONS)
            wrong, lost = self.find_all(network, begun, gone)
            self.assertEqual([], wrong)
            self.assertLess(lost, 2 * 0.5**5)

    def test_nothing_is_sent_while_one_version_serves(self):
        network = origin_network.OriginNetwork(9, VERSIONS[:1])
        self.begin_streams(network)
        self.assertEqual({0}, set(network.bytes_sent.values()))

    def test_vm_alone_knows_its_own_streams(self):
        network = origin_network.OriginNetwork(1, VERSIONS)
        begun = self.begin_streams(network)
        vm = network.vms[network.hosts[0]]
        for id_, (_, version) in begun.items():
            self.assertEqual(version, vm.find(id_))


class HistoryTest(testtools.TestCase):
    def test_vm_that_starts_learns_of_a_version_that_has_left(self):
        network = origin_network.OriginNetwork(9, VERSIONS)
        for vm in network.vms.values():
            vm.catalog.remove_endpoint("v1-1")
        network.clock.advance(1_000.0)
        vm = network.start(network.hosts[0], VERSIONS[1:])
        self.assertTrue(vm.is_unambiguous())
        vm.exchange.lookup(None, lambda: True)
        self.assertFalse(vm.is_unambiguous())

    def test_version_is_forgotten_once_no_stream_of_it_is_left(self):
        network = origin_network.OriginNetwork(1, VERSIONS)
        vm = network.vms[network.hosts[0]]
        vm.catalog.remove_endpoint("v1-1")
        vm.history.expire()
        network.clock.advance(origin_network.CALLER_TIMEOUT_MS - 1.0)
        vm.history.expire()
        self.assertFalse(vm.is_unambiguous())
        network.clock.advance(1.0)
        vm.history.expire()
        self.assertTrue(vm.is_unambiguous())


class BoundsTest(testtools.TestCase):
    def test_number_of_records_is_bounded(self):
        network = origin_network.OriginNetwork(1, VERSIONS)
        vm = network.vms[network.hosts[0]]
        for number in range(stream_origins.MAX_STREAMS + 10):
            vm.begin(f"a{number}", "v1")
        self.assertEqual(stream_origins.MAX_STREAMS, len(vm.origins))
        self.assertIsNone(vm.find("a0"))
        self.assertEqual("v1", vm.find("a10"))

    def test_number_of_streams_to_announce_is_bounded(self):
        network = origin_network.OriginNetwork(2, VERSIONS[:1])
        vm = network.vms[network.hosts[0]]
        for number in range(stream_origins.MAX_STREAMS + 10):
            vm.begin(f"a{number}", "v1")
        self.assertEqual(
            stream_origins.MAX_STREAMS, len(vm.exchange._unannounced)
        )

    def test_number_of_versions_that_have_left_is_bounded(self):
        network = origin_network.OriginNetwork(1, VERSIONS[:1])
        vm = network.vms[network.hosts[0]]
        vm.history.merge(
            {
                stream_origins.Origin("s", f"v{number}"): float(number)
                for number in range(origin_history.MAX_ENDED + 10)
            }
        )
        kept = [o for o in vm.history.ages() if o.service == "s"]
        self.assertEqual(origin_history.MAX_ENDED, len(kept))
        self.assertIn(stream_origins.Origin("s", "v0"), kept)

    def test_records_expire_when_their_callers_have_given_up(self):
        network = origin_network.OriginNetwork(2, VERSIONS[:1])
        vm, other = network.vms.values()
        vm.begin("a0", "v1")
        other.add_version("v2")
        vm.add_version("v2")
        vm.begin("a1", "v1")
        self.assertEqual("v1", other.find("a1"))
        network.clock.advance(origin_network.CALLER_TIMEOUT_MS)
        for each in (vm, other):
            each.exchange.expire()
            self.assertEqual(0, len(each.origins))
        self.assertEqual({}, vm.exchange._unannounced)

    def test_unreadable_datagrams_are_reported_as_such(self):
        for data in (b"", b"\x91\x01", b"\x92\x09\x00", b"\xff" * 20):
            self.assertRaises(errors.PeerError, origin_messages.decode, data)


class HashRingTest(testtools.TestCase):
    def test_replicas_stay_when_another_vm_joins(self):
        hosts = [f"10.0.0.{number}" for number in range(20)]
        before = hash_ring.HashRing(hosts)
        after = hash_ring.HashRing([*hosts, "10.0.0.99"])
        for number in range(100):
            key = stream_origins.digest_id(str(number))
            lost = set(before.successors(key, 5)) - set(
                after.successors(key, 5)
            )
            self.assertLessEqual(len(lost), 1)

    def test_replicas_are_on_different_vms(self):
        ring = hash_ring.HashRing(["a", "b", "c"])
        key = stream_origins.digest_id("x")
        self.assertEqual({"a", "b", "c"}, set(ring.successors(key, 5)))


class ProcessTest(testtools.TestCase):
    # Guards against a record whose version nobody can prove any more: the VMs
    # that hold it do not know which process has begun the stream.
    def test_records_on_other_vms_name_the_process(self):
        network = origin_network.OriginNetwork(9, VERSIONS)
        key = stream_origins.digest_id("a0")
        process = ("i-7f3a91c2", 1_764_900_000_000)
        stream = stream_origins.RecordedStream(
            key,
            stream_origins.Origin("service", "v1"),
            network.clock.now() + origin_network.CALLER_TIMEOUT_MS,
            process,
        )
        network.vms[network.hosts[0]].exchange.record(stream, True)
        for vm in network.vms.values():
            result = vm.exchange.lookup(key, lambda: False)
            self.assertEqual(
                (stream.origin, process), (result.origin, result.process)
            )

    # Guards against announcements of earlier releases being dropped.
    def test_announcements_without_processes_are_understood(self):
        old = msgspec.msgpack.encode([1, [[["s", "v1"], [[b"k" * 8, 500]]]]])
        (group,) = origin_messages.decode(old).groups
        self.assertIsNone(group.streams[0].process)


class UnreadOriginTest(testtools.TestCase):
    def test_origin_of_an_unread_process_names_it(self):
        for process in (("i-1", 2), ("a/b/3", 0), ("", 5)):
            origin = stream_origins.of_unread_process("s", process)
            self.assertEqual(process, origin.unread_process)

    # Guards against odd versions in the messages of other VMs.
    def test_other_versions_name_no_process(self):
        self.assertIsNone(stream_origins.Origin("s", "v1").unread_process)
        odd = stream_origins.Origin("s", stream_origins.UNREAD_PREFIX + "x")
        self.assertEqual(("", 0), odd.unread_process)
