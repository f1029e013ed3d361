"""Records that VMs fetch from each other, over slow links too."""

import json
import random

import gevent

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.ingress import control
from hornbeampier.ingress import listener
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.replication import messages
from hornbeampier.replication import relay
from hornbeampier.replication import replica
from tests import nodes
from tests import store_standin

HOST = "127.0.0.1"
TOPIC = names.OPERATOR_TOPIC
ROUTES = 900


def random_name(rng):
    return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=8))


def large_configuration(seed=1):
    """Returns the text of a configuration with many routes."""
    rng = random.Random(seed)
    routes = [
        nodes.route(
            random_name(rng),
            f"/{random_name(rng)}/",
            "safe",
            nodes.PLAIN_SERVICE,
            host=f"{random_name(rng)}.example",
        )
        for _ in range(ROUTES)
    ]
    return json.dumps(nodes.configuration(routes=routes)).encode()


class IgnoringApplier:
    def apply_record(self, record):
        pass


class RelayTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        self.replica = replica.TopicReplica(TOPIC, IgnoringApplier())
        self.record = messages.Record("config", large_configuration(), 0)
        self.replica.apply_batch(messages.Batch((self.record,), 1))
        handler = relay.RelayHandler({TOPIC: self.replica})
        self.listener = listener.Listener(
            settings.Address(HOST, 0),
            control.ControlHandler(handler),
            self.clock,
            100,
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def fetch(self):
        return relay.fetch(HOST, self.listener.port, TOPIC, 0, self.clock)

    def connect(self):
        caller = nodes.Caller(settings.Address(HOST, self.listener.port))
        self.addCleanup(caller.close)
        return caller

    # Guards against CONFIG: a configuration of many routes that all VMs of a
    # deployment fetch from the same VM over its slow link.
    def test_large_configuration_is_sent_compressed(self):
        caller = self.connect()
        caller.send(
            "GET",
            f"{relay.PATH}?topic={TOPIC}&from=0",
            {"Accept-Encoding": "deflate"},
        )
        self.assertLess(len(caller.read().body), len(self.record.value) / 4)
        self.assertEqual((self.record,), self.fetch().records)

    def test_peer_of_an_earlier_version_gets_it_uncompressed(self):
        caller = self.connect()
        caller.send("GET", f"{relay.PATH}?topic={TOPIC}&from=0")
        response = caller.read()
        self.assertNotIn("content-encoding", response.headers)
        self.assertIn(self.record.value, response.body)

    def test_peers_beyond_the_limit_of_transfers_are_told_to_ask_again(self):
        callers = [self.connect() for _ in range(relay.MAX_TRANSFERS)]
        for caller in callers:
            caller.send("GET", f"{relay.PATH}?topic={TOPIC}&from=0")
        # They do not read, as over a slow link.
        gevent.sleep(0.2)
        self.assertRaises(relay.PeerBusyError, self.fetch)
        for caller in callers:
            caller.close()
        gevent.sleep(0.2)
        self.assertEqual((self.record,), self.fetch().records)

    def test_body_that_is_too_large_or_cut_is_unreadable(self):
        self.patch(relay, "MAX_BODY_BYTES", 1_000)
        self.assertRaises(errors.PlatformError, self.fetch)

    def test_busy_peer_stays_a_source(self):
        control_port, peer_port = nodes.free_port(), nodes.free_port()
        vms = [
            self.start_ready_node(
                host=host,
                control=settings.Address(host, control_port),
                seeds=(settings.Address("127.0.0.2", control_port),),
                peer_port=peer_port,
            )
            for host in ("127.0.0.2", "127.0.0.3")
        ]
        catch_up = vms[1]._catch_up
        busy = [True]
        fetch = relay.fetch

        def fetch_later(*args):
            if busy:
                busy.pop()
                raise relay.PeerBusyError("busy")
            return fetch(*args)

        self.patch(relay, "fetch", fetch_later)
        catch_up.record_peer("127.0.0.2", {TOPIC: 1_000})
        store_standin.wait_until(lambda: not busy)
        self.assertIn("127.0.0.2", catch_up._peer_offsets[TOPIC])
