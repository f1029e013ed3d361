"""Records that raise an error nobody expects cost no other record anything."""

import base64
import struct

import gevent
from gevent import socket
import msgspec
from structlog import testing
import testtools

from hornbeampier import application
from hornbeampier import errors
from hornbeampier.http1 import client
from hornbeampier.http1 import messages as http
from hornbeampier.peers import udp_transport
from hornbeampier.platform import store
from hornbeampier.replication import messages
from hornbeampier.replication import relay
from hornbeampier.replication import replica
from hornbeampier.routing import registration_log
from tests import nodes
from tests import store_standin

VM_HOSTS = ("127.0.0.2", "127.0.0.3")


class FaultError(Exception):
    """An error that no code expects."""


def fail(*args, **kwargs):
    raise FaultError("unexpected")


class FailingTask(application.TaskComponent):
    """Fails the first times that it runs."""

    def __init__(self, failures):
        super().__init__()
        self.failures = failures
        self.runs = 0

    def run(self):
        self.runs += 1
        if self.runs <= self.failures:
            fail()


class TaskTest(testtools.TestCase):
    def start(self, failures):
        task = FailingTask(failures)
        self.addCleanup(task.stop)
        task.start()
        return task

    # Guards against LOST: a task that ended by an error left a VM running that
    # no longer followed the list, gossiped or acted on its duties.
    def test_task_runs_again_after_an_unexpected_error(self):
        self.patch(application, "RESTART_DELAY_MS", 1.0)
        with testing.capture_logs() as rows:
            task = self.start(failures=3)
            store_standin.wait_until(lambda: task.runs == 4)
        failed = [r for r in rows if r["event"] == "task_failed"]
        self.assertEqual(["FailingTask"] * 3, [r["component"] for r in failed])

    def test_task_that_ends_is_not_run_again(self):
        self.patch(application, "RESTART_DELAY_MS", 1.0)
        task = self.start(failures=0)
        gevent.sleep(0.05)
        self.assertEqual(1, task.runs)

    def test_task_can_be_stopped_while_it_waits(self):
        task = self.start(failures=1_000)
        store_standin.wait_until(lambda: task.runs == 1)
        task.stop()
        gevent.sleep(0.01)
        self.assertEqual(1, task.runs)


class FailingApplier:
    """Fails to apply the key `odd`."""

    def __init__(self):
        self.applied = []

    def apply_record(self, record):
        if record.key == "odd":
            fail()
        self.applied.append(record.key)
        return True

    def supersedes(self, record, current):
        return self.apply_record(record)

    def on_source_lost(self):
        pass

    def on_source_regained(self):
        pass


class ReplicaTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.applier = FailingApplier()
        self.replica = replica.TopicReplica("t", self.applier)

    def records(self, era=0):
        keys = enumerate(("first", "odd", "last"))
        return tuple(messages.Record(k, b"x", i, era) for i, k in keys)

    def assert_skipped(self, rows, count=1):
        skipped = [r for r in rows if r["event"] == "record_skipped"]
        self.assertEqual(["odd"] * count, [r["key"] for r in skipped])

    # Guards against LOST: an error in one record kept the position, so that the
    # rest was never applied.
    def test_rest_of_a_batch_is_applied(self):
        with testing.capture_logs() as rows:
            self.replica.apply_batch(messages.Batch(self.records(), 3))
        self.assertEqual(["first", "last"], self.applier.applied)
        self.assertEqual(3, self.replica.offset)
        self.assert_skipped(rows)

    def test_rest_of_a_snapshot_is_applied(self):
        with testing.capture_logs() as rows:
            self.replica.apply_snapshot(messages.Snapshot(self.records(), 3))
        self.assertEqual(["first", "last"], self.applier.applied)
        self.assert_skipped(rows)

    def test_rest_of_a_later_era_is_applied(self):
        self.replica.apply_batch(messages.Batch(self.records(), 3))
        self.applier.applied.clear()
        with testing.capture_logs() as rows:
            self.replica.apply_snapshot(
                messages.Snapshot(self.records(1), 3, 1)
            )
        self.assertEqual({"first", "last"}, set(self.applier.applied))
        self.assert_skipped(rows, count=2)


class NodeTest(nodes.NodeTestCase):
    # Guards against LOST: on a VM that follows the store, and on one that gets
    # the records from it, the task that follows the list had ended.
    def test_list_is_followed_past_an_entry_that_cannot_be_applied(self):
        routers = self.start_vms(VM_HOSTS)
        for router in routers:
            apply = router.catalog.apply_endpoint

            def apply_some(endpoint, apply=apply):
                if endpoint.id == "i-odd":
                    fail()
                return apply(endpoint)

            self.patch(router.catalog, "apply_endpoint", apply_some)
        self.start_endpoint(nodes.PLAIN_SERVICE, None, "i-odd")
        later = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        for router in routers:
            store_standin.wait_until(
                lambda router=router: later.id in router.catalog.endpoints
            )
            self.assertEqual(200, self.call(router).status)

    # Guards against LOST: the first snapshot waits for the log to be read.
    def test_node_gets_ready_if_the_log_cannot_be_summarized(self):
        self.patch(registration_log, "summarize", fail)
        self.start_ready_node()

    # Guards against LOST: any error while the store was read ended the task.
    def test_node_reads_on_after_an_unexpected_error(self):
        decode = store._decode_batch
        router = self.start_ready_node()
        with testing.capture_logs() as rows:
            self.patch(store, "_decode_batch", fail)
            self.store.put_configuration(nodes.configuration(2))
            store_standin.wait_until(
                lambda: any(r["event"] == "read_failed" for r in rows)
            )
        self.assertFalse(router._reads_store())
        self.patch(store, "_decode_batch", decode)
        store_standin.wait_until(lambda: router.catalog.version == 2)

    # Guards against LOST: one odd key or value made the whole page unreadable,
    # so that a VM that started was never ready.
    def test_node_starts_from_a_page_with_odd_items(self):
        newest = self.store._newest

        def odd_newest(topic):
            page = newest(topic)
            value = base64.b64encode(b"{}").decode()
            odd = (("\ud800", value), ("\udcff", value), ("i-odd", "?"))
            page["items"][:0] = [
                {"key": key, "value": value, "offset": 0} for key, value in odd
            ]
            return page

        self.store._newest = odd_newest
        sound = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        routers = self.start_vms(VM_HOSTS)
        for router in routers:
            self.assertIn(sound.id, router.catalog.endpoints)
            self.assertEqual(200, self.call(router).status)


class BatchTest(testtools.TestCase):
    def decode(self, *parts):
        batch, log_end = store._decode_batch(
            struct.pack(">QQ", 9, 0) + b"".join(parts), 5, 1
        )
        self.assertEqual(9, log_end)
        return batch

    def part(self, record, length=None):
        length = len(record) if length is None else length
        return struct.pack(">I", length) + record

    # Guards against LOST: a record without a key made each read of its offset
    # fail, so that the list was not followed past it.
    def test_record_without_a_key_is_passed_over(self):
        batch = self.decode(self.part(b""), self.part(b"\x01kvalue"))
        self.assertEqual(7, batch.end)
        self.assertEqual(["", "k"], [r.key for r in batch.records])

    def test_record_with_an_odd_key_is_passed_over(self):
        batch = self.decode(self.part(b"\xffk"), self.part(b"\x02\xff\xfev"))
        self.assertEqual(["k", "\ufffd\ufffd"], [r.key for r in batch.records])

    # Guards against an endpoint that is removed because its entry was cut.
    def test_incomplete_record_is_left_for_the_next_read(self):
        cut = self.part(b"\x01kval", length=20)
        batch = self.decode(self.part(b"\x01kvalue"), cut)
        self.assertEqual((6, 1), (batch.end, len(batch.records)))
        self.assertRaises(errors.PlatformError, self.decode, cut)
        self.assertRaises(errors.PlatformError, self.decode, b"\0\0")


class PeerBatchTest(testtools.TestCase):
    def decode(self, record, end):
        keys = ("key", "value", "offset", "era")
        fields = dict(zip(keys, record, strict=True))
        body = msgspec.msgpack.encode(
            {"records": [fields], "end": end, "era": 0, "carried": False}
        )
        head = http.ResponseHead(200, (), len(body))
        return relay._decode("peer", client.CompleteResponse(head, body))

    # Guards against VMs that no longer gossip, and whose records peers cannot
    # fetch: an offset that a peer passed on did not fit their own messages.
    def test_offsets_out_of_bounds_make_records_of_a_peer_unreadable(self):
        for offset, era, end in (
            (2**64 - 1, 0, 1),
            (0, 2**63, 1),
            (0, 0, 2**64 - 1),
            (0, 0, -(2**63)),
        ):
            self.assertRaises(
                errors.PlatformError, self.decode, ("k", b"", offset, era), end
            )

    # The tombstone of a topic without records has the offset before the first.
    def test_tombstone_before_the_first_offset_is_read(self):
        batch = self.decode(("k", None, -1, 0), 0)
        self.assertEqual([-1], [r.offset for r in batch.records])


class DatagramTest(testtools.TestCase):
    # Guards against VMs that hear nobody any more: an error in one datagram
    # ended the task that receives them.
    def test_datagrams_are_received_after_one_that_raises_an_error(self):
        port = nodes.free_port()
        transport = udp_transport.UdpTransport(nodes.HOST, port)
        received = []

        def receive(host, data):
            received.append(data)
            if data == b"odd":
                fail()

        transport.receiver = receive
        transport.start()
        self.addCleanup(transport.stop)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        with testing.capture_logs() as rows:
            for data in (b"odd", b"next"):
                sock.sendto(data, (nodes.HOST, port))
            store_standin.wait_until(lambda: len(received) == 2)
        self.assertIn("datagram_skipped", [r["event"] for r in rows])
        transport.send("a..b", b"to nobody")
