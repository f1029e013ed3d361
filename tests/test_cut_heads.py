"""A response whose head is cut short is no response, however it is cut."""

import functools
import struct

import gevent
from gevent import server
from gevent import socket
import testtools

from hornbeampier import errors
from hornbeampier import http_client
from tests import endpoint_standin
from tests import nodes

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A head is cut at this many places; the last one lacks only its last byte.
PARTS = 24
INTERIM = (
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
)
FRAMINGS = (
    ("Content-Length: 5", b"hello"),
    ("Transfer-Encoding: chunked", b"5\r\nhello\r\n0\r\n\r\n"),
    ("Connection: close", b"hello"),
)


def head_of(req, framing, interim=""):
    lines = [
        "HTTP/1.1 200 OK",
        framing,
        endpoint_standin.SEAL,
        f"X-Hornbeampier-Attempt-Id: {req.id}",
        "Content-Type: text/plain",
    ]
    return (interim + "\r\n".join(lines) + "\r\n\r\n").encode()


def reset(req):
    """Ends the connection by a reset."""
    req.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    req.close_connection()


def close(req):
    """Ends the connection in good order."""
    req.close_connection()


def send_part(part, framing, end, interim, req):
    """Sends a part of a head and ends the connection."""
    head = head_of(req, framing, interim)
    req.send(head[: (len(head) - 1) * part // PARTS])
    end(req)


class CutHeadTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.handler = None
        for _ in range(2):
            self.start_endpoint(
                nodes.PLAIN_SERVICE, lambda req: self.handler(req)
            )
        self.router = self.start_ready_node()

    def responses(self, framing, end, path, interim="", body=b""):
        """Yields the response to each length of a head that is cut."""
        for part in range(1, PARTS + 1):
            self.handler = functools.partial(
                send_part, part, framing, end, interim
            )
            yield self.call(self.router, "POST", path, body=body)

    def assert_failed(self, responses, status=502):
        statuses = {response.status for response in responses}
        self.assertEqual({status}, statuses)

    # Guards against MIXED: a success without the body of its endpoint.
    def test_head_that_ends_with_its_connection_is_no_success(self):
        for framing, _ in FRAMINGS:
            self.assert_failed(self.responses(framing, close, "/unsafe/x"))

    def test_head_that_ends_with_a_reset_is_no_success(self):
        for framing, _ in FRAMINGS:
            self.assert_failed(self.responses(framing, reset, "/unsafe/x"))

    def test_head_that_is_cut_in_the_retry_is_no_success(self):
        for framing, _ in FRAMINGS:
            self.assert_failed(self.responses(framing, close, "/safe/x"))

    def test_head_that_is_cut_after_interim_responses_is_no_success(self):
        framing, _ = FRAMINGS[0]
        self.assert_failed(self.responses(framing, close, "/unsafe/x", INTERIM))

    def test_head_that_is_cut_while_a_long_body_is_sent_is_no_success(self):
        framing, _ = FRAMINGS[0]
        self.assert_failed(
            self.responses(framing, reset, "/unsafe/x", body=b"x" * 9_000)
        )

    def test_head_that_is_followed_by_silence_is_a_timeout(self):
        def handler(req):
            head = head_of(req, FRAMINGS[0][0])
            req.send(head[: len(head) // 2])
            gevent.sleep(5.0)

        self.handler = handler
        headers = {"X-Hornbeampier-Deadline-Ms": "300"}
        response = self.call(self.router, "POST", "/unsafe/x", headers=headers)
        self.assertEqual(504, response.status)

    # Guards against MIXED: the rest of an earlier response on a kept connection
    # makes a head that was cut whole.
    def test_head_that_is_cut_on_a_kept_connection_is_no_success(self):
        served = []

        def handler(req):
            served.append(req)
            if len(served) % 2:
                req.respond(b"first")
                return
            send_part(len(served), FRAMINGS[0][0], close, "", req)

        self.handler = handler
        statuses = [
            self.call(self.router, "POST", "/unsafe/x").status
            for _ in range(PARTS)
        ]
        self.assertEqual([200, 502] * (PARTS // 2), statuses)


class ClientTest(testtools.TestCase):
    """The client of the product's own interface."""

    def serve(self, data, end):
        def handle(sock, _):
            sock.recv(65_536)
            sock.sendall(data)
            if end is reset:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            sock.close()

        standin = server.StreamServer((nodes.HOST, 0), handle)
        standin.start()
        self.addCleanup(standin.stop)
        return standin.server_port

    # Guards against MIXED: a success without the body of its endpoint.
    def test_response_whose_head_is_cut_is_an_error(self):
        for framing, _ in FRAMINGS:
            head = f"HTTP/1.1 200 OK\r\n{framing}\r\nX-A: b\r\n\r\n".encode()
            for length in range(0, len(head), 9):
                for end in (close, reset):
                    port = self.serve(head[:length], end)
                    client = http_client.HttpClient(nodes.HOST, port, 2_000.0)
                    self.assertRaises(
                        errors.AttemptError,
                        client.call,
                        http_client.OutgoingRequest("GET", "/"),
                    )
