"""Responses that are lost or break off after the request has run.

The work is not run again unless that is safe, the caller is not told that it
has not run, and no part of a response passes for a whole one.
"""

import struct

from gevent import socket

from tests import endpoint_standin
from tests import nodes

# To callers, these statuses promise that the request has not run.
PROMISES = {408, 421, 429, 503}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DEADLINE_MS = "700"


def head(req, *headers, status="200 OK"):
    lines = [
        f"HTTP/1.1 {status}",
        endpoint_standin.SEAL,
        f"X-Hornbeampier-Attempt-Id: {req.id}",
        *headers,
    ]
    return "\r\n".join(lines) + "\r\n\r\n"


def reset(req):
    req.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    req.sock.close()


def send_and_close(req, text):
    req.send(text)
    req.close_connection()


def send_and_reset(req, text):
    req.send(text)
    reset(req)


LENGTH = "Content-Length: 10"
CHUNKED = "Transfer-Encoding: chunked"
WAYS = {
    "closed without a response": lambda req: req.close_connection(),
    "reset without a response": reset,
    "half a head": lambda req: send_and_close(req, "HTTP/1.1 200 OK\r\nConte"),
    "interim response alone": lambda req: send_and_close(
        req, "HTTP/1.1 102 Processing\r\n\r\n"
    ),
    "bytes that are no response": lambda req: send_and_close(req, "\0\1junk\n"),
    "half a body": lambda req: send_and_close(req, head(req, LENGTH) + "half"),
    "half a body and a reset": lambda req: send_and_reset(
        req, head(req, LENGTH) + "half"
    ),
    "chunks without an end": lambda req: send_and_close(
        req, head(req, CHUNKED) + "4\r\nhalf\r\n"
    ),
    "half a chunk": lambda req: send_and_close(
        req, head(req, CHUNKED) + "9\r\nhalf"
    ),
    "malformed chunk size": lambda req: send_and_close(
        req, head(req, CHUNKED) + "zz\r\nhalf\r\n0\r\n\r\n"
    ),
    "no length and a reset": lambda req: send_and_reset(
        req, head(req) + "half"
    ),
    "two lengths": lambda req: send_and_close(
        req, head(req, LENGTH, "Content-Length: 4") + "half"
    ),
    "encoded body": lambda req: req.respond(headers=["Content-Encoding: gzip"]),
    "unsigned": lambda req: req.respond(seal=False),
    "503 without a promise": lambda req: req.respond(
        status="503 Service Unavailable"
    ),
    "429 without a promise": lambda req: req.respond(
        status="429 Too Many Requests", headers=["Retry-After: 1"]
    ),
    "408 without a promise": lambda req: req.respond(
        status="408 Request Timeout"
    ),
    "silence": lambda req: None,
}


class BrokenResponseTest(nodes.NodeTestCase):
    def start(self, break_response):
        """Starts two endpoints; the first request is answered brokenly."""

        def handler(req):
            if len(self.received()) == 1:
                break_response(req)
            else:
                req.respond(b"whole")

        self.endpoints = [
            self.start_endpoint(nodes.PLAIN_SERVICE, handler) for _ in range(2)
        ]
        routes = [
            nodes.route("u", "/unsafe/", "unsafe", nodes.PLAIN_SERVICE),
            nodes.route("s", "/safe/", "safe", nodes.PLAIN_SERVICE),
        ]
        return self.start_ready_node(nodes.configuration(routes=routes))

    def received(self):
        return [req for e in self.endpoints for req in e.received]

    def send(self, router, path):
        """Returns the response, or None if the connection was closed."""
        deadline = {"X-Hornbeampier-Deadline-Ms": DEADLINE_MS}
        try:
            return self.call(router, "POST", path, headers=deadline, body=b"x")
        except ConnectionError:
            return None

    def assert_all(self, path, check):
        problems = []
        for name, break_response in WAYS.items():
            router = self.start(break_response)
            problem = check(self.send(router, path))
            problems += [f"{name}: {problem}"] if problem else []
            router.stop()
            for endpoint in self.endpoints:
                self.store.put_endpoint(endpoint.id, None)
        self.assertEqual([], problems)

    # Guards against work that has run being run again, and against callers
    # being told that it has not run.
    def test_request_that_may_have_run_is_neither_repeated_nor_denied(self):
        def check(response):
            if len(self.received()) != 1:
                return f"ran {len(self.received())} times"
            if response and response.status in PROMISES:
                return f"status {response.status} promises that it has not run"
            return None

        self.assert_all("/unsafe/x", check)

    # Guards against a response that broke off reaching the caller as whole.
    def test_part_of_a_response_is_never_a_success(self):
        def check(response):
            if response is None or response.status >= 500:
                return None
            is_whole = response.complete and response.body == b"whole"
            return None if is_whole else f"passed on {response.body!r}"

        for path in ("/unsafe/x", "/safe/x"):
            self.assert_all(path, check)


STREAM_ENDS = {
    "closed": lambda req: req.close_connection(),
    "reset": reset,
    "half an event": lambda req: (
        req.send_chunk(b"id: 2\ndata: half"),
        req.end_stream(),
    ),
    "half a chunk": lambda req: send_and_close(req, "20\r\nid: 2\n"),
    "malformed chunk size": lambda req: send_and_close(req, "zz\r\n"),
    "silence": lambda req: None,
}


class BrokenStreamTest(nodes.NodeTestCase):
    def test_stream_that_broke_off_never_ends_as_complete(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            STREAM_ENDS[names[-1]](req)

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        deadline = {"X-Hornbeampier-Deadline-Ms": DEADLINE_MS}
        names = []
        for name in STREAM_ENDS:
            names.append(name)
            caller = self.connect(router)
            caller.send("POST", "/stream/x", deadline, body=b"x")
            response = caller.read()
            self.assertEqual((name, False), (name, response.complete))
