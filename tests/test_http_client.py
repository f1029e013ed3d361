"""HTTP requests are sent exactly once."""

import gevent
from gevent import server
import geventhttpclient
from geventhttpclient import response
import testtools

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import verdict
from tests import processes

READ_TIMEOUT_MS = 200
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
# What the server writes before it drops the connection.
PARTS_OF_ANSWERS = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-",
)


class DroppingServer:
    """Reads each request, writes a part of an answer and drops it."""

    def __init__(self, part=b"", answer_first=False):
        self._part = part
        self._answer_first = answer_first
        self._server = server.StreamServer((processes.HOST, 0), self._serve)
        self.requests = []
        self.connections = 0

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop()

    @property
    def port(self):
        return self._server.server_port

    def _serve(self, sock, _):
        self.connections += 1
        while data := sock.recv(65_536):
            self.requests.append(data)
            if self._answer_first and len(self.requests) == 1:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            sock.sendall(self._part)
            return


class RepeatsTest(testtools.TestCase):
    def _send(self, peer, method, new_connection=False):
        headers = (("Expect", "100-continue"),)
        req = http_client.OutgoingRequest(
            method, "/x", headers, b"body", new_connection
        )
        return peer.call(req)

    def test_dropped_requests_arrive_once(self):
        for part in PARTS_OF_ANSWERS:
            for method in METHODS:
                with DroppingServer(part) as dropping:
                    peer = http_client.HttpClient(
                        processes.HOST, dropping.port, READ_TIMEOUT_MS
                    )
                    self.addCleanup(peer.close)
                    exc = self.assertRaises(
                        errors.AttemptError, self._send, peer, method
                    )
                self.assertEqual(verdict.Verdict.MAY_HAVE_RUN, exc.verdict)
                self.assertEqual(1, len(dropping.requests))

    def test_request_on_a_dropped_idle_connection_arrives_once(self):
        for method in METHODS:
            with DroppingServer(answer_first=True) as dropping:
                peer = http_client.HttpClient(
                    processes.HOST, dropping.port, READ_TIMEOUT_MS
                )
                self.addCleanup(peer.close)
                self._send(peer, "GET")
                self.assertRaises(errors.AttemptError, self._send, peer, method)
            self.assertEqual(2, len(dropping.requests))

    def test_fresh_request_has_a_connection_of_its_own(self):
        with DroppingServer(answer_first=True) as dropping:
            peer = http_client.HttpClient(
                processes.HOST, dropping.port, READ_TIMEOUT_MS
            )
            self.addCleanup(peer.close)
            self._send(peer, "GET")
            self.assertRaises(
                errors.AttemptError,
                self._send,
                peer,
                "PUT",
                new_connection=True,
            )
        self.assertEqual(2, dropping.connections)

    def test_the_library_alone_would_repeat(self):
        """The control: the server sees the repeats of the library."""
        for method in ("PUT", "DELETE"):
            with DroppingServer() as dropping:
                client = geventhttpclient.HTTPClient(
                    processes.HOST, dropping.port, concurrency=3
                )
                self.addCleanup(client.close)
                self.assertRaises(
                    response.HTTPConnectionClosed,
                    client.request,
                    method,
                    "/x",
                    b"body",
                )
            self.assertGreater(len(dropping.requests), 1)


class SendTest(testtools.TestCase):
    def test_timeout_of_the_caller_is_not_taken_for_a_refused_connection(self):
        peer = http_client.HttpClient("127.0.0.1", 9, read_timeout_ms=1_000)
        peer._pool.get_socket = lambda: gevent.sleep(60)
        req = http_client.OutgoingRequest("GET", "/")
        with gevent.Timeout(0.01) as timeout:
            raised = self.assertRaises(gevent.Timeout, peer.send, req)
        self.assertIs(timeout, raised)
