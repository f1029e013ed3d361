"""What a VM holds of the answers to its own calls, to endpoints and peers."""

import contextlib
import json
import tracemalloc
import zlib

import gevent
import msgspec

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import settings
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import relay
from tests import endpoint_standin
from tests import nodes
from tests import store_standin
from tests import test_announced_departures

MIB = 1024 * 1024
# A VM of the smallest deployments has 22 MiB beside what its program needs.
MAX_HELD_BYTES = 22 * MIB
PATIENCE_S = 20.0


@contextlib.contextmanager
def traced():
    """Yields a function that returns the peak since, in bytes."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def send_whole(req, body, headers=()):
    """Sends a response without a copy of its body."""
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers]
    with contextlib.suppress(OSError):
        req.send("\r\n".join(lines) + "\r\n\r\n")
        req.send(body)


def send_endlessly(req, block=bytes(65_536)):
    with contextlib.suppress(OSError):
        for _ in range(1_000):
            req.send(block)
            gevent.sleep(0)


class CacheListTest(nodes.NodeTestCase):
    # Guards against a VM that runs out of memory as it starts, since decoding
    # a list of many small entries costs some ten times its bytes.
    def test_large_list_of_segments_is_given_up(self):
        body = json.dumps(
            {"epoch": 1, "next": 1, "held": [["", "s", 1, "m"]] * 1_500_000}
        ).encode()
        asked = []

        def handler(req):
            asked.append(req)
            send_whole(req, body)
            asked.append(None)

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        with traced() as peak:
            router = self.start_ready_node(
                bootstrap=False,
                control=settings.Address(nodes.HOST, nodes.free_port()),
            )
            store_standin.wait_until(lambda: None in asked, PATIENCE_S)
            gevent.sleep(0.5)
            self.assertLess(peak(), MAX_HELD_BYTES)
        self.assertTrue(asked[0].request_line.startswith("GET /kv-list "))
        text = router._render_metrics().decode()
        self.assertIn("hornbeampier_oversized_responses_total", text)


class HealthCheckTest(test_announced_departures.RestartTestCase):
    # Guards against a health check whose body a VM keeps.
    def test_body_of_a_health_check_is_not_read(self):
        checked = []

        def check(req):
            req.send(
                f"HTTP/1.1 200 OK\r\nX-Hornbeampier-Instance-Id: "
                f"{self.endpoint.id}\r\n\r\n"
            )
            send_endlessly(req)
            checked.append(req)

        self.restarting._check = check
        router = self.start_ready_node()
        self.restarting.leaving = True
        self.call_many(router)
        self.restarting.leaving = False
        with traced() as peak:
            self.put_entry(router)
            store_standin.wait_until(lambda: checked, PATIENCE_S)
            self.assertLess(peak(), 2 * MIB)
        self.wait_serving(router)


class FaultyPeer:
    """Answers a fetch of records with a fixed body."""

    def __init__(self, body, compressed=True):
        self._body = zlib.compress(body, 1) if compressed else body
        self._headers = ["Content-Encoding: deflate"] if compressed else []
        self._standin = endpoint_standin.EndpointStandin(self._respond)
        self.stop = self._standin.stop

    def fetch(self):
        host, _, port = self._standin.address.partition(":")
        return relay.fetch(
            host,
            int(port),
            "topic",
            positions.Position(1, 0),
            clocks.SystemClock(),
        )

    def _respond(self, req):
        send_whole(req, self._body, self._headers)


class RelayTest(nodes.NodeTestCase):
    def check(self, body, compressed=True):
        peer = FaultyPeer(body, compressed)
        self.addCleanup(peer.stop)
        with traced() as peak:
            try:
                batch = peer.fetch()
            except errors.PlatformError:
                batch = None
            self.assertLess(peak(), MAX_HELD_BYTES)
        self.assertTrue(batch is None, "the records were taken")

    # Guards against a body that is small until it is decompressed.
    def test_body_that_inflates_is_given_up(self):
        self.check(bytes(60 * MIB))

    # Guards against a body that is kept before it is looked at.
    def test_large_body_is_given_up(self):
        self.check(bytes(30 * MIB), compressed=False)

    # Guards against records that cost far more than their bytes.
    def test_many_small_records_are_given_up(self):
        record = {"key": "", "value": None, "offset": 1}
        batch = {"records": [record] * 300_000, "end": 1, "era": 1}
        self.check(msgspec.msgpack.encode(batch))

    # Guards against a bound that leaves out the largest deployment.
    def test_records_of_the_largest_deployment_are_taken(self):
        value = json.dumps(
            nodes.endpoint_record(nodes.ENGINE_SERVICE, "10.200.100.100:65535")
        ).encode()
        records = tuple(
            messages.Record(f"i-{n:010d}", value, n, 1) for n in range(12_000)
        )
        batch = messages.Batch(records, 12_000, 1, is_complete=True)
        peer = FaultyPeer(msgspec.msgpack.encode(batch))
        self.addCleanup(peer.stop)
        self.assertEqual(batch, peer.fetch())
