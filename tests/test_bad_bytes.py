"""Malformed bytes from callers, endpoints, the log, the VM list and peers.

They must not cause a run, a crash, a leak of another account's data or an
unbounded wait.
"""

import json
import socket

import gevent
from gevent import server as gevent_server
import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.callers import connection
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import records
from hornbeampier.coordination import vm_list
from hornbeampier.endpoints import engine
from hornbeampier.vms import hints
from hornbeampier.vms import messages
from tests import clusters
from tests import processes

FEW_EXAMPLES = hypothesis.settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SECRET = "the-other-account"
AUTH = b"Authorization: Bearer key-1\r\n"
BODY = json.dumps(
    {
        "model": "notes",
        "messages": [{"role": "user", "content": "tokens=1"}],
    }
).encode()
FORBIDDEN_BYTES = (b"Traceback", b'File "', b".py", SECRET.encode())


def send_raw(port, data, half_close=True):
    """Sends bytes and returns all that comes back."""
    with socket.create_connection((processes.HOST, port)) as sock:
        sock.settimeout(20)
        received = b""
        try:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            while block := sock.recv(65_536):
                received += block
        except ConnectionError:
            pass
        return received


def request(body=BODY, headers=AUTH, length=None):
    length = len(body) if length is None else length
    return (
        (
            f"POST {clusters.CHAT} HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {length}\r\n"
        ).encode()
        + headers
        + b"Connection: close\r\n\r\n"
        + body
    )


class CallerBytesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(connection.CallerConnectionHandler, "read_timeout_s", 0.3)
        self.patch(connection, "DISCARD_TIMEOUT_S", 0.1)
        cluster = clusters.Cluster(engines=1)
        self.cluster = cluster.__enter__()
        self.addCleanup(cluster.__exit__, None, None, None)
        self.port = cluster.vm.server.port
        response = cluster.vm.chat(
            SECRET, headers=[("Authorization", "Bearer key-2")]
        )
        self.assertEqual(200, response.status)
        self.runs = len(cluster.runs())

    def check(self, data, half_close=True):
        """Sends bytes that must not reach an endpoint."""
        received = send_raw(self.port, data, half_close)
        for forbidden in FORBIDDEN_BYTES:
            self.assertNotIn(forbidden, received)
        self.assertEqual(self.runs, len(self.cluster.runs()))
        if received:
            self.assertRegex(received, rb"^HTTP/1\.[01] [245]\d\d ")
            self.assertNotIn(b" 500 ", received.split(b"\r\n")[0])
        return received

    def check_still_serves(self):
        processes.wait_until(lambda: not self.cluster.vm.app.open_requests, 10)
        self.assertEqual(0, self.cluster.vm.total_in_flight())
        self.assertEqual(200, self.cluster.vm.chat("tokens=1").status)

    def test_any_bytes(self):
        @FEW_EXAMPLES
        @hypothesis.given(strategies.binary(max_size=400))
        def run(data):
            self.check(data + b"\r\n\r\n")

        run()
        self.check_still_serves()

    def test_any_body(self):
        texts = strategies.text(max_size=30)
        values = strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | texts
            | strategies.integers()
            | strategies.floats(allow_nan=False),
            lambda x: (
                strategies.lists(x, max_size=4)
                | strategies.dictionaries(texts, x, max_size=4)
            ),
            max_leaves=12,
        )
        fields = strategies.fixed_dictionaries(
            {"model": strategies.just("notes") | values},
            optional={
                "messages": values,
                "stream": values,
                "n": values,
                "tools": values,
            },
        )
        bodies = strategies.binary(max_size=200) | fields.map(
            lambda x: json.dumps(x).encode()
        )

        @FEW_EXAMPLES
        @hypothesis.given(bodies)
        def run(body):
            received = send_raw(self.port, request(body))
            for forbidden in FORBIDDEN_BYTES:
                self.assertNotIn(forbidden, received)
            self.assertRegex(received, rb"^HTTP/1\.1 (200|4\d\d) ")

        run()
        self.runs = len(self.cluster.runs())
        self.check_still_serves()

    def test_any_header_value(self):
        values = strategies.binary(max_size=60).filter(lambda v: b"\n" not in v)

        @FEW_EXAMPLES
        @hypothesis.given(
            values,
            strategies.sampled_from(
                [
                    b"Authorization",
                    b"X-Request-Class",
                    b"Transfer-Encoding",
                    b"Content-Length",
                    b"Expect",
                    b"Content-Type",
                ]
            ),
        )
        def run(value, name):
            header = name + b": " + value + b"\r\n"
            received = send_raw(
                self.port, request(headers=AUTH + header, body=b"{}")
            )
            for forbidden in FORBIDDEN_BYTES:
                self.assertNotIn(forbidden, received)
            self.assertNotIn(b" 500 ", received.split(b"\r\n")[0])

        run()
        self.check_still_serves()

    def test_known_attacks(self):
        nested = b"[" * 100_000 + b"]" * 100_000
        deep = BODY[:-1] + b', "x": ' + nested + b"}"
        cases = {
            "400": [
                request(length=-5),
                request(length="1e3"),
                request(deep),
                request(b'{"model": "\xff", "messages": []}'),
                request(headers=AUTH + b"Transfer-Encoding: gzip\r\n"),
                request(headers=AUTH + b"X-A: b\r\n X-B: c\r\n"),
                request(length=10_000),
                request(b"zz\r\n", AUTH + b"Transfer-Encoding: chunked\r\n"),
            ],
            "401": [
                request(headers=b"Authorization: Bearer \xc3\xa9\xff\r\n"),
                request(headers=b"Authorization: Basic a2V5LTE=\r\n"),
            ],
            "404": [request().replace(b"/v1/chat", b"/v1/%00%ff%0d%0a")],
            "405": [request().replace(b"POST", b"BREW")],
            "413": [request(length=2**40)],
        }
        for status, requests in cases.items():
            for data in requests:
                received = self.check(data)
                self.assertIn(status.encode(), received[:20], data[:200])
        self.check(b"GET / HTTP/1.1\r\nX: " + b"a" * 1_000_000)
        self.check_still_serves()

    def test_half_sent_requests_end_in_bounded_time(self):
        full_request = request()
        prefixes = [
            b"",
            b"POST",
            full_request[:60],
            full_request[: len(full_request) - len(BODY)],
        ]
        prefixes.insert(0, request(headers=b"", length=1_000))
        calls = [
            gevent.spawn(send_raw, self.port, prefix, half_close=False)
            for prefix in prefixes
        ]
        gevent.joinall(calls, timeout=15, raise_error=True)
        self.assertIn(b" 401 ", calls[0].value)
        self.assertIn(b" 408 ", calls[-1].value)
        self.assertEqual(self.runs, len(self.cluster.runs()))
        self.check_still_serves()


class RawServer:
    """Responds to each connection with fixed bytes."""

    def __init__(self, case):
        self.data = b""
        self._server = gevent_server.StreamServer(
            (processes.HOST, 0), self._serve
        )
        self._server.start()
        case.addCleanup(self._server.stop)
        self.port = self._server.server_port

    def _serve(self, sock, address):
        sock.recv(65_536)
        sock.sendall(self.data)
        sock.close()


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


NESTED = b'{"x": ' + b"[" * 9_000 + b"]" * 9_000 + b"}"
DEEP = f"HTTP/1.1 200 OK\r\nContent-Length: {len(NESTED)}\r\n\r\n".encode()


class UpstreamBytesTest(testtools.TestCase):
    """Malformed responses of endpoints, the log and the VM list."""

    def responses(self):
        return strategies.binary(max_size=200).flatmap(
            lambda data: strategies.sampled_from(
                [
                    data,
                    HEAD + data,
                    DEEP + NESTED,
                    HEAD + b"data: " + data + b"\n\n",
                    HEAD + b'data: {"id": "req", "choices": ' + data,
                    HEAD + b": ping\n\ndata: [DONE]\n\n" + data,
                    b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n" + data,
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + data,
                    HEAD
                    + b'data: {"id": "req", "x": '
                    + b"[" * 9_000
                    + b"\n\n",
                ]
            )
        )

    def test_engine_response(self):
        server = RawServer(self)
        peer = http_client.HttpClient(processes.HOST, server.port, 1_000)
        client = engine.EngineClient(peer, clock.SystemClock())
        timeouts = engine.Timeouts(1_000.0, 1_000.0)
        req = engine.EngineRequest("req", BODY, 1, timeouts)

        @FEW_EXAMPLES
        @hypothesis.given(self.responses())
        def run(data):
            server.data = data
            try:
                list(client.stream(req))
            except (errors.AttemptError, errors.RefusalError):
                return
            self.fail(f"accepted as a complete response: {data!r}")

        run()

    def test_responses_of_the_log_and_the_vm_list(self):
        server = RawServer(self)
        log_client = platform_log.HttpLog(processes.HOST, server.port, 1_000)
        vm_list_client = vm_list.VmListClient(
            processes.HOST, server.port, 1_000
        )

        @FEW_EXAMPLES
        @hypothesis.given(self.responses())
        def run(data):
            server.data = data
            for call in (
                lambda: log_client.read("configuration", 0),
                lambda: log_client.append("configuration", b"x"),
                vm_list_client.read,
            ):
                self.assertRaises(errors.PlatformError, call)

        run()


class PeerBytesTest(testtools.TestCase):
    def make(self):
        hints_received = []
        exchange = hints.HintExchange(
            "vm-1",
            processes.HOST,
            0,
            clock.SystemClock(),
            lambda n: messages.Hint("vm-1", 1, n, 0, {}, {}, {}),
            hints_received.append,
            100.0,
        )
        exchange.apply_vm_list(
            (records.ListedVm("vm-2", "z", processes.HOST, hint_port=9),)
        )
        exchange.start()
        self.addCleanup(exchange.stop)
        return exchange, hints_received

    def test_any_datagram(self):
        exchange, hints_received = self.make()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        valid_hint = messages.Hint("vm-2", 1, 1, 0, {"e": 3}, {}, {})
        hint_fields = msgspec.to_builtins(valid_hint)
        values = strategies.recursive(
            strategies.none()
            | strategies.integers(-(2**63), 2**64 - 1)
            | strategies.floats()
            | strategies.text(max_size=9),
            lambda x: (
                strategies.lists(x, max_size=3)
                | strategies.dictionaries(
                    strategies.text(max_size=3), x, max_size=3
                )
            ),
            max_leaves=8,
        )

        @FEW_EXAMPLES
        @hypothesis.example(b"", 4, {"e": -5})
        @hypothesis.example(b"", 4, {"e": 2**40})
        @hypothesis.given(
            strategies.binary(max_size=300),
            strategies.integers(0, len(hint_fields) - 1),
            values,
        )
        def run(data, index, value):
            mutated_fields = list(hint_fields)
            mutated_fields[index] = value
            for payload in (data, msgspec.msgpack.encode(mutated_fields)):
                sock.sendto(payload, (processes.HOST, exchange.port))
            gevent.sleep(0)
            self.assertGreaterEqual(exchange.in_flight("e"), 0)
            self.assertLessEqual(exchange.in_flight("e"), 1_000_000)

        run()
        gevent.sleep(0.05)
        hints_received.clear()
        # A wrong sequence number suppresses the peer's hints only briefly.
        gevent.sleep(0.5)
        payload = msgspec.msgpack.encode(valid_hint)
        sock.sendto(payload, (processes.HOST, exchange.port))
        processes.wait_until(lambda: hints_received, 10)
        self.assertEqual(3, exchange.in_flight("e"))
