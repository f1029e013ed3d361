"""Endpoints that write an earlier refusal once more.

The copy may come on any connection, at any time. A request that may run once
only must neither be reported as not run nor reach a second endpoint if the
refusal may be that of another request.
"""

import itertools

import gevent
from gevent import server

from tests import endpoint_standin
from tests import nodes

NOT_EXECUTED = "X-Hornbeampier-Not-Executed: 1"
PROMISES = (408, 421, 429, 503)
REFUSALS = (
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "408 Request Timeout",
    "400 Bad Request",
)
LONG_BODY = b"x" * 4_000_000
# How much of a long body an endpoint has read when it sends the copy.
READ_BYTES = 1_000
# Time for the copy to be read before the endpoint goes on.
COPY_GAP_S = 0.03
ROUTES = [
    nodes.route(
        "unsafe",
        "/unsafe/",
        "unsafe",
        nodes.PLAIN_SERVICE,
        sloMs=20_000,
        timeoutMs=30_000,
    )
]
LIMITS = {
    "headerBytes": 4096,
    "maxBodyBytes": 10_000_000,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 5000,
}
_numbers = itertools.count(1)


def refusal(request_id, status=REFUSALS[0], headers=()):
    """Returns the bytes of a refusal; without an id if that is None."""
    lines = [f"HTTP/1.1 {status}", "Content-Length: 4", NOT_EXECUTED]
    if request_id is not None:
        lines.append(f"X-Hornbeampier-Attempt-Id: {request_id}")
    lines += [endpoint_standin.SEAL, *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\nfull"


def success(request_id, body=None):
    """Returns the bytes of a response; its body is the id by default."""
    body = request_id if body is None else body
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Length: {len(body)}",
        f"X-Hornbeampier-Attempt-Id: {request_id}",
        endpoint_standin.SEAL,
    ]
    return "\r\n".join([*lines, "", body]).encode()


class CopyTestCase(nodes.NodeTestCase):
    """Endpoints, a node, and the ids of the requests that have run."""

    def setUp(self):
        super().setUp()
        self.ran = []
        # Sent by the endpoints before they run a request.
        self.copy = b""

    def start(self, handler, count=2):
        for _ in range(count):
            self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        self.start_router()

    def start_router(self):
        self.router = self.start_ready_node(
            nodes.configuration(routes=ROUTES, limits=LIMITS)
        )

    def run_request(self, req):
        self.ran.append(req.id)
        req.send(success(req.id))

    def send_copy_and_run(self, req):
        req.send(self.copy)
        gevent.sleep(COPY_GAP_S)
        self.run_request(req)

    def send(self, request_id=None, body=b"x"):
        """Sends a request and checks the response against what has run."""
        if request_id is None:
            request_id = f"id-{next(_numbers)}"
        response = self.call(
            self.router,
            "POST",
            "/unsafe/x",
            headers={
                "X-Hornbeampier-Attempt-Id": request_id,
                "X-Hornbeampier-Deadline-Ms": "20000",
            },
            body=body,
        )
        gevent.sleep(3 * COPY_GAP_S)
        runs = self.ran.count(request_id)
        self.assertLessEqual(runs, 1, "the request ran twice")
        if response.status in PROMISES:
            self.assertEqual(0, runs, f"status {response.status}, but it ran")
        if response.status == 200:
            self.assertEqual(request_id.encode(), response.body)
        return response


class NewConnectionTest(CopyTestCase):
    """The copy is the first that arrives on a new connection."""

    # Guards against TWICE and REFUSED: a copy that names no request is taken
    # for the refusal of the request that waits on a new connection.
    def test_refusal_without_an_id_does_not_count_as_not_run(self):
        self.start(self.send_copy_and_run)
        for status in REFUSALS:
            self.copy = refusal(None, status)
            self.assertEqual(502, self.send().status)

    # Guards against REFUSED: a copy with the id of another request is believed.
    def test_refusal_of_another_request_is_skipped(self):
        self.start(self.send_copy_and_run)
        for status in REFUSALS:
            self.copy = refusal("id-refused", status)
            self.assertEqual(200, self.send().status)

    # Guards against LOST: a copy marks a sound endpoint as leaving, or makes
    # the VM hold back requests for it.
    def test_announcements_of_a_copy_are_ignored(self):
        self.start(self.send_copy_and_run)
        announced = ("Server-Leaving: 1", "Retry-After: 30")
        for copy_id in (None, "id-refused"):
            self.copy = refusal(copy_id, headers=announced)
            self.send()
        for state in self.router._fleet.all():
            announcements = self.router._announcements
            self.assertIsNone(announcements.describe(state.endpoint))

    # Guards against TWICE: without an id, nothing tells the refusal of this
    # request from that of another.
    def test_refusal_of_a_request_without_an_id_is_not_believed(self):
        self.start(self.send_copy_and_run)
        self.copy = refusal(None)
        self.assertEqual(502, self.send("").status)

    # Guards against REFUSED: the probe that tells whether an endpoint is down
    # leaves a connection for the next request, and the copy waits on it.
    def test_copy_on_the_connection_of_a_probe(self):
        def handler(sock, _):
            sock.sendall(self.copy)
            endpoint._serve(sock, _)

        endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, self.send_copy_and_run
        )
        endpoint._server.set_handle(handler)
        self.start_router()
        state = self.router._fleet.get(endpoint.id)
        for copy_id in (None, "id-refused"):
            self.copy = refusal(copy_id)
            self.assertTrue(self.router._connection_pool.probe(state.endpoint))
            self.send()


class KeptConnectionTest(CopyTestCase):
    """The copy arrives on a connection that has carried other requests."""

    def start_with_copies(self, send_copy):
        """Starts an endpoint that calls `send_copy` but for first requests."""

        def handler(req):
            if req.sock in socks:
                send_copy(req)
                reused.append(req.id)
            socks.add(req.sock)
            self.run_request(req)

        socks = set()
        reused = self.reused = []
        self.start(handler, count=1)

    # Guards against REFUSED and TWICE, for each id that a copy may bear.
    def test_copies_before_the_response(self):
        self.start_with_copies(
            lambda req: (req.send(self.copy), gevent.sleep(COPY_GAP_S))
        )
        for copy_id in (None, "id-refused"):
            for status in REFUSALS:
                self.copy = refusal(copy_id, status)
                self.send()
                self.send()
        self.assertNotEqual([], self.reused)

    # Guards against REFUSED: two copies in one segment with the response.
    def test_copies_in_one_segment_with_the_response(self):
        def handler(req):
            self.ran.append(req.id)
            req.send(2 * refusal("id-refused") + success(req.id))

        self.start(handler, count=1)
        for _ in range(3):
            self.assertEqual(200, self.send().status)

    # Guards against REFUSED: a copy after the response and before the next
    # request, at once or a moment later.
    def test_copies_after_the_response(self):
        def handler(req):
            self.run_request(req)
            gevent.sleep(self.delay_s)
            req.send(self.copy)

        self.start(handler, count=1)
        for copy_id in (None, "id-refused"):
            self.copy = refusal(copy_id)
            for self.delay_s in (0.0, 0.001, COPY_GAP_S, 4 * COPY_GAP_S):
                for _ in range(3):
                    self.send()

    # Guards against REFUSED: a copy between an interim and the final response.
    def test_copy_after_an_interim_response(self):
        def send_copy(req):
            req.send(b"HTTP/1.1 103 Early Hints\r\n\r\n" + self.copy)
            gevent.sleep(COPY_GAP_S)

        self.start_with_copies(send_copy)
        self.copy = refusal("id-refused")
        for _ in range(3):
            self.assertEqual(200, self.send().status)
        self.copy = refusal(None)
        self.assertEqual(502, self.send().status)

    # Guards against MIXED: a late copy of a response is passed on to a caller
    # that sends the same id again after another request.
    def test_id_that_returns_after_another_request(self):
        def send_copy(req):
            if req.id in self.ran:
                req.send(success(req.id, "old"))
                gevent.sleep(COPY_GAP_S)

        self.start_with_copies(send_copy)
        bodies = []
        for request_id in ("id-a", "id-b", "id-a"):
            response = self.call(
                self.router,
                "POST",
                "/unsafe/x",
                headers={"X-Hornbeampier-Attempt-Id": request_id},
                body=b"x",
            )
            bodies.append(response.body)
        self.assertEqual([b"id-a", b"id-b", b"id-a"], bodies)


class LongBodyTest(CopyTestCase):
    # Guards against REFUSED: a copy is believed while the request is written.
    def test_copy_in_the_middle_of_a_long_body(self):
        def serve(sock, _):
            received = b""
            while b"\r\n\r\n" not in received:
                data = sock.recv(READ_BYTES)
                if not data:
                    return
                received += data
            sock.sendall(self.copy)
            gevent.sleep(COPY_GAP_S)
            length = received.index(b"\r\n\r\n") + 4 + len(LONG_BODY)
            count = len(received)
            while count < length and (data := sock.recv(1 << 20)):
                count += len(data)
            if count == length:
                self.ran.append(request_id)
                sock.sendall(success(request_id))

        listener = server.StreamServer((nodes.HOST, 0), serve)
        listener.start()
        self.addCleanup(listener.stop, timeout=0)
        self.store.put_endpoint(
            "i-long",
            nodes.endpoint_record(
                nodes.PLAIN_SERVICE, f"{nodes.HOST}:{listener.server_port}"
            ),
        )
        self.start_router()
        for copy_id, status in (("id-refused", 200), (None, 502)):
            request_id = f"id-long-{status}"
            self.copy = refusal(copy_id)
            response = self.send(request_id, LONG_BODY)
            self.assertEqual(status, response.status)


class SameIdTest(CopyTestCase):
    """One process sees the same id twice, on two connections."""

    def refuse_and_run_the_second(self, req):
        """Refuses; sends the refusal once more, and runs what comes then."""
        self.received.append(req.id)
        req.send(refusal(req.id))
        if len(self.received) > 1:
            gevent.sleep(COPY_GAP_S)
            self.run_request(req)

    # Guards against REFUSED: a caller sends a refused id again, and the copy of
    # its refusal arrives while the request runs.
    def test_second_refusal_of_the_same_id_is_not_believed(self):
        self.received = []
        self.start(self.refuse_and_run_the_second, count=1)
        self.assertEqual(503, self.send("id-again").status)
        self.assertEqual(502, self.send("id-again").status)

    # Guards against REFUSED: two entries name one address, so that a retry
    # reaches the process that refused.
    def test_two_entries_with_one_address(self):
        self.received = []
        endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, self.refuse_and_run_the_second
        )
        self.store.put_endpoint(
            f"{endpoint.id}-2",
            nodes.endpoint_record(nodes.PLAIN_SERVICE, endpoint.address),
        )
        self.start_router()
        response = self.send("id-again")
        self.assertEqual(["id-again"] * 2, self.received)
        self.assertEqual(502, response.status)
