"""Endpoints that send bytes without end, in the head or the body."""

import contextlib

import gevent
from gevent import event

from tests import endpoint_standin
from tests import nodes

BLOCK = b"x" * 16_384
# More than the router may read of anything before it gives up.
MAX_SENT_BYTES = 24 * 1024 * 1024
HEAD = f"HTTP/1.1 200 OK\r\n{endpoint_standin.SEAL}\r\n"
CHUNKED = f"{HEAD}Transfer-Encoding: chunked\r\n"


class EndlessEndpoint:
    """Sends a text, then a block again and again until the caller closes.

    Attributes:
        sent: Bytes sent; None until the caller has closed.
    """

    def __init__(self, text, block=BLOCK, names_request=True):
        self.text = text
        self.block = block
        self.names_request = names_request
        self.sent = None

    def __call__(self, req):
        attempt_id = f"X-Hornbeampier-Attempt-Id: {req.id}\r\n\r\n"
        req.send(self.text.replace("{end}", attempt_id))
        sent = 0
        with contextlib.suppress(OSError):
            while sent < MAX_SENT_BYTES:
                req.send(self.block)
                sent += len(self.block)
                gevent.sleep(0)
        self.sent = sent


class EndlessBytesTest(nodes.NodeTestCase):
    def ask(self, path, *args, **kwargs):
        service = (
            nodes.PLAIN_SERVICE if "safe" in path else nodes.ENGINE_SERVICE
        )
        self.endpoint = EndlessEndpoint(*args, **kwargs)
        self.start_endpoint(service, self.endpoint)
        router = self.start_ready_node()
        return self.call(router, "POST", path, body=b"b")

    def check_refused(self, response):
        self.assertEqual(502, response.status)
        self.check_closed()

    def check_closed(self):
        with gevent.Timeout(2):
            while self.endpoint.sent is None:
                gevent.sleep(0.01)
        self.assertLess(self.endpoint.sent, MAX_SENT_BYTES)

    # Guards against a faulty endpoint that operators cannot find.
    def test_endpoint_is_named_and_gets_nothing_for_a_moment(self):
        self.endpoint = EndlessEndpoint(HEAD, b"X-Field: value\r\n")
        endpoint_id = self.start_endpoint(nodes.PLAIN_SERVICE, self.endpoint).id
        router = self.start_ready_node()
        self.check_refused(self.call(router, "POST", "/unsafe/x", body=b"b"))
        state = router._fleet.get(endpoint_id)
        self.assertEqual(1, state.failures)
        self.assertIn(
            f'oversized_responses_total{{endpoint="{endpoint_id}"}} 1',
            router._render_metrics().decode(),
        )

    def test_line_of_a_head_without_end(self):
        self.check_refused(self.ask("/unsafe/x", HEAD + "X-Long: "))

    def test_header_lines_without_end(self):
        self.check_refused(self.ask("/unsafe/x", HEAD, b"X-Field: value\r\n"))

    def test_interim_responses_without_end(self):
        self.check_refused(
            self.ask("/unsafe/x", "", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 9)
        )

    def test_empty_lines_without_end(self):
        self.check_refused(self.ask("/unsafe/x", "", b"\r\n" * 999))

    def test_bytes_that_are_no_response(self):
        self.check_refused(self.ask("/unsafe/x", "\0\1\2"))

    def test_body_without_end(self):
        self.check_refused(self.ask("/unsafe/x", HEAD + "{end}"))

    def test_chunks_without_end(self):
        block = b"4000\r\n" + BLOCK + b"\r\n"
        self.check_refused(self.ask("/unsafe/x", CHUNKED + "{end}", block))

    def test_chunk_size_without_end(self):
        self.check_refused(self.ask("/unsafe/x", CHUNKED + "{end}", b"0" * 999))

    def test_trailer_without_end(self):
        self.check_refused(
            self.ask("/unsafe/x", CHUNKED + "{end}0\r\n", b"X-Field: value\r\n")
        )

    def test_event_without_end(self):
        response = self.ask("/stream/x", HEAD + "{end}data: ")
        self.check_refused(response)

    def test_event_without_end_after_the_first_one(self):
        response = self.ask("/stream/x", HEAD + "{end}data: 1\n\ndata: ")
        self.assertEqual(
            (b"data: 1\n\n", False), (response.body, response.complete)
        )
        self.check_closed()

    # Guards against memory of an event that is held once it was passed on.
    def test_large_event_is_passed_on_and_held_no_longer(self):
        data = b"data: " + b"x" * 900_000 + b"\n\n"

        def handler(req):
            req.begin_stream()
            for start in range(0, len(data), len(BLOCK)):
                req.send_chunk(data[start : start + len(BLOCK)])
            arrived.wait()
            held.append(router._client_memory.responses.held_bytes)
            req.end_stream()

        held, arrived = [], event.Event()
        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.send("POST", "/stream/x", body=b"b")
        caller.read_until(b"x\n\n")
        arrived.set()
        response = caller.read()
        self.assertEqual((data, True), (response.body, response.complete))
        self.assertEqual([0], held)

    def test_copy_of_another_response_without_end(self):
        other = "X-Hornbeampier-Attempt-Id: other\r\n\r\n"
        self.check_refused(self.ask("/unsafe/x", HEAD + other))

    def test_copies_of_other_responses_without_end(self):
        other = (
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            "X-Hornbeampier-Attempt-Id: other\r\n\r\n"
        )
        self.check_refused(self.ask("/unsafe/x", "", other.encode() * 9))
