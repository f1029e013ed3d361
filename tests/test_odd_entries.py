"""Entries of another writer that are readable only in part, or not at all.

Such an entry names no endpoint to use. It costs no other endpoint a request,
and the VMs that read it go on to follow the list.
"""

import json

from gevent import event
from structlog import testing
import testtools

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import names
from hornbeampier.platform import records
from hornbeampier.replication import messages
from tests import era_fakes
from tests import log_levels
from tests import nodes
from tests import store_standin

LONG_NUMBER = int("9" * 400)
REQUESTS = 40
VM_HOSTS = ("127.0.0.2", "127.0.0.3")
# What another writer changed in an entry, by name.
ODD_FIELDS = {
    "slots of 400 digits": {"slots": LONG_NUMBER},
    "slots of 64 bits": {"slots": 2**63},
    "slots of 10 digits": {"slots": 10**9},
    "no slots": {"slots": 0},
    "negative slots": {"slots": -8},
    "sequence of 400 digits": {"sequence": LONG_NUMBER},
    "negative sequence": {"sequence": -1},
    "start of 400 digits": {"born": LONG_NUMBER},
    "negative start": {"born": -1},
    "warm-up of 1e308": {"coldLeftMs": 1e308},
    "reclaim in 1e308": {"leaves_ms": 1e308},
    "port of 30 digits": {"address": "127.0.0.1:" + "9" * 30},
    "port 0": {"address": "127.0.0.1:0"},
    "negative port": {"address": "127.0.0.1:-1"},
    "port 70000": {"address": "127.0.0.1:70000"},
    "port that is not ASCII": {"address": "127.0.0.1:\u0668\u0660"},
    "port with a space": {"address": "127.0.0.1: 80"},
    "no port": {"address": "127.0.0.1:"},
    "host name": {"address": "site.example:80"},
    "empty label": {"address": "a..b:80"},
    "label of 300 characters": {"address": "a" * 300 + ":80"},
    "host with a zero byte": {"address": "127.0.0.1\0:80"},
    "short address": {"address": "127.1:80"},
    "lone surrogate": {"version": "\udc00"},
    "surrogate in the service": {"service": "\udc00"},
    "nested deeply": {"extra": json.loads("[" * 400 + "]" * 400)},
    "unknown state": {"state": "gone"},
    "slots as text": {"slots": "8"},
}
# Fields that an entry may have beside those that are known.
HARMLESS = {"nested deeply"}


def odd_entry(name, service=nodes.PLAIN_SERVICE):
    fields = {"address": "127.0.0.9:9", **ODD_FIELDS[name]}
    return nodes.endpoint_record(
        fields.pop("service", service), fields.pop("address"), **fields
    )


class EntryDecoderTest(testtools.TestCase):
    # Guards against RESET: numbers, addresses and names that no other part of
    # a VM can work with raised errors wherever they were used first.
    def test_values_out_of_bounds_make_an_entry_unreadable(self):
        for name in sorted(ODD_FIELDS.keys() - HARMLESS):
            with testtools.ExpectedException(errors.PlatformError):
                records.decode_endpoint(
                    "i-1", json.dumps(odd_entry(name)).encode()
                )
                self.fail(name)

    # Guards against reading less than before: bounds must not exclude what
    # sound endpoints write.
    def test_values_within_bounds_are_read(self):
        for fields in (
            {"slots": 1, "sequence": 0, "born": 0},
            {"slots": 4096, "sequence": 2**53, "born": 1_790_000_000_000},
            {"coldLeftMs": -3.5},
            {"coldLeftMs": 1e7, "leaves_ms": 0},
            {"address": "10.0.0.1:65535", "version": "v\u00e9\U0001f600"},
            {"extra": {"nested": [1, None]}, "zone": ""},
        ):
            address = fields.pop("address", "10.0.0.1:1")
            entry = nodes.endpoint_record("s", address, **fields)
            endpoint = records.decode_endpoint(
                "i-1", json.dumps(entry).encode()
            )
            self.assertEqual("10.0.0.1", endpoint.host)

    # Guards against 421 from each endpoint: its id is sent as a header, so an
    # entry whose id cannot be one names no endpoint.
    def test_id_that_cannot_be_sent_makes_an_entry_unreadable(self):
        entry = json.dumps(nodes.endpoint_record("s", "10.0.0.1:80")).encode()
        for endpoint_id in ("", " i", "i\r\nx: y", "i\0", "\ufffd", "\udc00"):
            with testtools.ExpectedException(errors.PlatformError):
                records.decode_endpoint(endpoint_id, entry)
                self.fail(repr(endpoint_id))


class OddEntryTest(nodes.NodeTestCase):
    """One odd entry beside a sound endpoint, on complete nodes."""

    def put_odd(self, service=nodes.PLAIN_SERVICE):
        for name in ODD_FIELDS:
            self.store.put_endpoint(f"i-{name}", odd_entry(name, service))

    def failures(self, router, path):
        """Returns what callers got instead of a complete 200 response."""
        found = []
        for _ in range(REQUESTS):
            try:
                response = self.call(router, path=path)
            except OSError as exc:
                found.append(repr(exc))
                continue
            if response.status != 200 or not response.complete:
                found.append(response.status)
        return found

    def wait_followed(self, router):
        """Waits until a router has applied an entry that comes later."""
        endpoint = self.start_endpoint("other", lambda a: a.respond())
        store_standin.wait_until(
            lambda: endpoint.id in router.catalog.endpoints
        )

    def check_service(self, service, handler, path):
        self.start_endpoint(service, handler)
        router = self.start_ready_node()
        self.put_odd(service)
        self.wait_followed(router)
        self.assertEqual([], self.failures(router, path))

    # Guards against RESET: slots, ports and host names that raised errors while
    # a plain request was routed ended its caller's connection.
    def test_odd_entry_costs_no_plain_request(self):
        self.check_service(
            nodes.PLAIN_SERVICE, lambda a: a.respond(), "/safe/x"
        )

    # Guards against RESET: the same for streams of a service with engines.
    def test_odd_entry_costs_no_stream(self):
        def stream(attempt):
            attempt.begin_stream()
            attempt.send_event(1)
            attempt.end_stream()

        self.check_service(nodes.ENGINE_SERVICE, stream, "/resume/x")

    # Guards against LOST: an entry that another writer gave a sequence of 400
    # digits ended the task that reads the list, while it read the log.
    def test_node_that_starts_reads_a_list_with_odd_entries(self):
        sound = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        entry = nodes.endpoint_record(nodes.PLAIN_SERVICE, sound.address)
        self.store.put_endpoint(sound.id, {**entry, "sequence": LONG_NUMBER})
        self.put_odd()
        self.store.put_endpoint(sound.id, {**entry, "sequence": 2})
        router = self.start_ready_node()
        self.wait_followed(router)
        self.assertEqual([], self.failures(router, "/safe/x"))

    # Guards against VMs that no longer hear of each other: a start time of 400
    # digits does not fit a datagram, and ended the task that sends them.
    def test_gossip_outlives_an_odd_entry_that_is_announced_about(self):
        is_leaving = ["Server-Leaving: 1"]
        announced = []
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda a: a.respond(headers=is_leaving),
            born=LONG_NUMBER,
        )
        sound = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda a: a.respond(headers=announced)
        )
        routers = self.start_vms(VM_HOSTS)
        for router in routers:
            self.wait_followed(router)
        for _ in range(REQUESTS):
            self.call(routers[0])
        announced += is_leaving
        self.call(routers[0])
        endpoint = routers[1].catalog.endpoints[sound.id]
        store_standin.wait_until(
            lambda: routers[1]._announcements.is_leaving(endpoint)
        )


class RemovalTest(nodes.NodeTestCase):
    """An unreadable entry under the id of an endpoint that serves."""

    def stream(self, attempt):
        attempt.begin_stream()
        attempt.send_event(1)
        self.is_written.wait(5)
        attempt.send_event(2)
        attempt.end_stream()

    def setUp(self):
        super().setUp()
        self.is_written = event.Event()
        self.endpoint = self.start_endpoint(nodes.ENGINE_SERVICE, self.stream)
        self.router = self.start_ready_node()

    def is_known(self):
        return self.endpoint.id in self.router.catalog.endpoints

    # Guards against streams that are cut, and an endpoint that stays unused.
    def test_running_streams_go_on_and_the_next_heartbeat_restores_it(self):
        store_standin.wait_until(self.is_known)
        caller = self.connect(self.router)
        caller.send("POST", "/stream/x")
        caller.read_until(b"piece-1")
        self.store.put_endpoint(self.endpoint.id, b"{")
        store_standin.wait_until(lambda: not self.is_known())
        self.assertEqual(503, self.call(self.router, path="/stream/x").status)
        self.is_written.set()
        response = caller.read()
        self.assertTrue(response.complete)
        self.assertIn(b"piece-2", response.body)
        entry = nodes.endpoint_record(
            nodes.ENGINE_SERVICE, self.endpoint.address, sequence=2
        )
        self.store.put_endpoint(self.endpoint.id, entry)
        store_standin.wait_until(self.is_known)
        self.assertEqual(200, self.call(self.router, path="/stream/x").status)

    def test_unreadable_records_are_counted(self):
        self.store.put_endpoint("i-odd", b"{")
        self.store.put_configuration(b"{")
        metric = "hornbeampier_unreadable_records_total"
        for kind in ("configuration", "endpoint"):
            line = f'{metric}{{kind="{kind}"}} 1'.encode()
            store_standin.wait_until(
                lambda line=line: line in self.router._render_metrics()
            )


class MissedEntryTest(testtools.TestCase):
    # Guards against DRAIN: a peer has only the newest entry of an id, so a VM
    # that catches up from it misses that the endpoint has said it leaves.
    def test_endpoint_is_not_used_if_its_last_sound_entry_was_missed(self):
        first, second = (era_fakes.Vm(clocks.ManualClock()) for _ in "ab")
        replicas = [vm.replicas[names.ENDPOINT_TOPIC] for vm in (first, second)]
        ready = self.batch(0, era_fakes.entry())
        for replica in replicas:
            replica.apply_batch(ready)
        position = replicas[1].position
        leaving = era_fakes.entry(state="draining")
        replicas[0].apply_batch(self.batch(1, leaving))
        replicas[0].apply_batch(self.batch(2, b"{"))
        replicas[1].apply_batch(replicas[0].records_since(position))
        for vm in (first, second):
            self.assertEqual({}, vm.catalog.endpoints)

    def batch(self, offset, value):
        record = messages.Record("i-1", value, offset)
        return messages.Batch((record,), offset + 1)

    # Guards against a log that fills up: another writer may repeat its entry.
    def test_repeated_entry_is_logged_once(self):
        log_levels.log_all(self)
        vm = era_fakes.Vm(clocks.ManualClock())
        replica = vm.replicas[names.ENDPOINT_TOPIC]
        values = [b"{", b"{", era_fakes.entry(), b"{", b"{", None, b"["]
        with testing.capture_logs() as rows:
            for offset, value in enumerate(values):
                replica.apply_batch(self.batch(offset, value))
        logged = [r for r in rows if r["event"] == "entry_unreadable"]
        self.assertEqual([0, 3, 6], [r["offset"] for r in logged])
