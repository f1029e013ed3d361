"""Responses without a length that arrive while their request is being written.

Only the end of the connection ends them. A connection that was reset has not
ended them, whether the reader or the writer of the request learns of it.
"""

import errno
import struct

import gevent
from gevent import server
from gevent import socket
import testtools

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.http1 import client
from hornbeampier.http1 import messages
from hornbeampier.http1 import sockets
from tests import endpoint_standin
from tests import nodes
from tests import test_misbehaving_callers as callers

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_BODY_BYTES = 16 * 1024 * 1024
# More than the kernel takes while the server reads nothing.
UPLOAD = bytes(8 * 1024 * 1024)
EVENTS = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in (1, 2, 3))
PAUSES_S = (0.0, 0.05)
UPLOADS = 4
TIMEOUT_MS = 5_000.0


def reset(req):
    req.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    req.sock.close()


def close(req):
    """Closes the connection; the kernel resets it if input is unread."""
    req.sock.close()


def read_and_close(req):
    req.read_body()
    req.sock.close()


def close_in_stages(req):
    """Ends the response, and discards input until the client has closed."""
    req.sock.shutdown(socket.SHUT_WR)
    while req.sock.recv(65536):
        pass
    req.sock.close()


def shut_down_and_reset(req):
    """Ends the response, and does not wait for the client."""
    req.sock.shutdown(socket.SHUT_WR)
    reset(req)


class UploadTestCase(nodes.NodeTestCase):
    def start(self, service, respond):
        """Starts an endpoint that responds while it is sent a request."""
        cfg = nodes.configuration()
        cfg["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.endpoint = self.start_endpoint(service, respond)
        self.endpoint.reads_bodies = False
        self.router = self.start_ready_node(cfg)

    def upload(self, path):
        return self.call(self.router, "POST", path, body=UPLOAD)


def responder(framing, pause_s, end, body=b"whole", content_type="text/plain"):
    """Returns a handler that sends a body and ends it after a pause."""

    def respond(req):
        head = [
            "HTTP/1.1 200 OK",
            endpoint_standin.SEAL,
            f"X-Hornbeampier-Attempt-Id: {req.id}",
            f"Content-Type: {content_type}",
            *([framing] if framing else []),
        ]
        req.send("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        gevent.sleep(pause_s)
        end(req)

    return respond


class ResponseBodyTest(UploadTestCase):
    def responses(self, *ends, path="/unsafe/x", framing="", pauses=PAUSES_S):
        """Yields the response to an upload for each way to end it."""
        self.start(nodes.PLAIN_SERVICE, lambda req: None)
        for end in ends:
            for pause_s in pauses:
                self.endpoint.handler = responder(framing, pause_s, end)
                yield self.upload(path)

    def assert_whole(self, responses):
        for response in responses:
            self.assertEqual((200, b"whole"), (response.status, response.body))

    # Guards against MIXED: the part that a client got before its connection was
    # reset passing for a whole response, as the writer got the error.
    def test_reset_during_the_upload_does_not_end_the_body(self):
        for response in self.responses(reset, close):
            self.assertEqual(502, response.status)

    # The same where the request could be retried, and no endpoint is left.
    def test_reset_during_the_upload_of_a_safe_request_is_refused(self):
        for response in self.responses(reset, close, path="/safe/x"):
            self.assertEqual(502, response.status)

    # Guards against a part in place of the whole response of another endpoint.
    def test_reset_during_the_upload_of_a_safe_request_is_retried(self):
        handlers = [
            responder("", 0.05, reset, body=b"wh"),
            responder("", 0.0, read_and_close),
        ]

        def respond(req):
            handlers.pop(0)(req)

        other = self.start_endpoint(nodes.PLAIN_SERVICE, respond)
        other.reads_bodies = False
        self.start(nodes.PLAIN_SERVICE, respond)
        self.assert_whole([self.upload("/safe/x")])

    # Guards against work that has run being run again.
    def test_request_whose_response_was_reset_is_not_repeated(self):
        for count, _ in enumerate(self.responses(reset, close), 1):
            self.assertEqual(count, len(self.endpoint.received))

    # Guards against whole responses that are refused, as the upload ended with
    # an error after them.
    def test_body_with_a_length_is_whole_before_a_reset(self):
        self.assert_whole(
            self.responses(
                reset,
                close,
                framing="Content-Length: 5",
                pauses=(0.05,),
            )
        )

    # The same for responses that began during the upload.
    def test_body_is_whole_if_the_upload_was_read(self):
        self.assert_whole(self.responses(read_and_close))

    # The same for responses that also ended during the upload.
    def test_body_is_whole_if_the_server_ended_it_before_the_upload(self):
        self.assert_whole(self.responses(close_in_stages, shut_down_and_reset))


class StreamTest(UploadTestCase):
    def streams(self, path, *ends):
        """Yields the response to an upload for each way to end its stream."""
        self.start(nodes.ENGINE_SERVICE, lambda req: None)
        for end in ends:
            self.endpoint.handler = responder(
                "", 0.05, end, EVENTS, "text/event-stream"
            )
            yield self.upload(path)

    # Guards against MIXED: whole events before a reset passing for a stream.
    def test_reset_during_the_upload_does_not_end_the_stream(self):
        for response in self.streams("/stream/x", reset, close):
            self.assertFalse(response.complete)

    # The same on a route where another endpoint may go on with a stream.
    def test_reset_during_the_upload_does_not_end_a_resumable_stream(self):
        for response in self.streams("/resume/x", reset, close):
            self.assertFalse(response.complete)

    # Guards against whole streams that are cut off.
    def test_stream_is_complete_if_the_upload_was_read(self):
        for path in ("/stream/x", "/resume/x"):
            [response] = self.streams(path, read_and_close)
            self.assertEqual((True, EVENTS), (response.complete, response.body))


class ProcessTest(callers.CrowdCase):
    """The node as a process of its own."""

    host = "127.0.0.57"
    max_body_bytes = MAX_BODY_BYTES
    memory_mb = 150

    def upload(self, end):
        """Returns the responses to uploads that come at once."""
        self.endpoint.handler = responder("", 0.05, end)
        self.endpoint.reads_bodies = False
        uploads = [gevent.spawn(self.ask, UPLOAD) for _ in range(UPLOADS)]
        gevent.joinall(uploads, raise_error=True)
        return [upload.value for upload in uploads]

    # Guards against MIXED, as above, where the kernel tells another process.
    def test_reset_during_the_upload_does_not_end_the_body(self):
        for end in (reset, close):
            statuses = [response.status for response in self.upload(end)]
            self.assertEqual([502] * UPLOADS, statuses)

    # Guards against whole responses that are refused.
    def test_body_is_whole_if_the_upload_was_read(self):
        for response in self.upload(read_and_close):
            self.assertEqual((200, b"whole"), (response.status, response.body))


class ClientTestCase(testtools.TestCase):
    def serve(self, end, pause_s):
        """Starts a server that responds to a head and reads no body."""

        def handle(sock, _):
            req = endpoint_standin.ReceivedRequest(sock, b"GET /", b"")
            sock.recv(1024)
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            gevent.sleep(pause_s)
            end(req)

        standin = server.StreamServer((nodes.HOST, 0), handle)
        standin.start()
        self.addCleanup(standin.stop)
        return standin.server_port


class ClientConnectionTest(ClientTestCase):
    """The client of nodes: for endpoints, the store and peers."""

    def call(self, end, pause_s):
        port = self.serve(end, pause_s)
        sock = sockets.connect(nodes.HOST, port, TIMEOUT_MS)
        clock = clocks.SystemClock()
        conn = client.ClientConnection(sock, clock)
        self.addCleanup(conn.close)
        length = b"%d" % len(UPLOAD)
        headers = ((b"Host", b"x"), (b"Content-Length", length))
        return conn.call(
            messages.RequestHead(b"POST", b"/", headers),
            clock.now() + TIMEOUT_MS,
            max_bytes=1024,
            body=UPLOAD,
        )

    # Guards against a part of a response to a call passing for a whole one.
    def test_reset_during_the_upload_is_an_error(self):
        for end in (reset, close):
            for pause_s in PAUSES_S:
                exc = self.assertRaises(OSError, self.call, end, pause_s)
                self.assertEqual(errno.ECONNRESET, exc.errno)


class HttpClientTest(ClientTestCase):
    """The client of `serve`, which writes all of a request first."""

    # Guards against MIXED: a part of a response passing for a whole one.
    def test_reset_during_the_upload_is_an_error(self):
        for end in (reset, close, shut_down_and_reset):
            for pause_s in PAUSES_S:
                port = self.serve(end, pause_s)
                http = http_client.HttpClient(nodes.HOST, port, TIMEOUT_MS)
                request = http_client.OutgoingRequest("POST", "/", body=UPLOAD)
                self.assertRaises(errors.AttemptError, http.call, request)
