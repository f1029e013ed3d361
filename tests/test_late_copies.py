"""Endpoints that send a second copy of a response, late.

It arrives on a connection on which the response to another request is due.
"""

import gevent

from tests import endpoint_standin
from tests import nodes

SERVER = endpoint_standin.SEAL


class LateCopyTest(nodes.NodeTestCase):
    def start(self, copy_headers=(), copy_status="200 OK", echo_id=True):
        """Starts an endpoint that sends a copy before its second response."""

        def handler(req):
            body = req.headers["x-caller"].encode()
            if len(endpoint.received) > 1 and req.sock is first.sock:
                lines = [f"HTTP/1.1 {copy_status}", "Content-Length: 5"]
                if echo_id and first.id:
                    lines.append(f"X-Hornbeampier-Attempt-Id: {first.id}")
                lines += [SERVER, *copy_headers]
                req.send("\r\n".join(lines).encode() + b"\r\n\r\nfirst")
                gevent.sleep(0.1)
            if req.id:
                req.respond(body)
                return
            length = f"Content-Length: {len(body)}"
            req.send(f"HTTP/1.1 200 OK\r\n{length}\r\n{SERVER}\r\n\r\n")
            req.send(body)

        endpoint = self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        self.send(router, "first", "id-first")
        first = endpoint.received[0]
        self.endpoint = endpoint
        return router

    def send(self, router, name, request_id, path="/unsafe/x"):
        headers = {"X-Caller": name, "X-Hornbeampier-Attempt-Id": request_id}
        if not request_id:
            headers["X-Hornbeampier-Attempt-Id"] = ""
        return self.call(router, "POST", path, headers=headers, body=b"x")

    # Guards against MIXED: the response to another caller's request.
    def test_copy_with_the_id_of_its_request_is_skipped(self):
        router = self.start()
        response = self.send(router, "second", "id-second")
        self.assertEqual((200, b"second"), (response.status, response.body))

    def test_copy_without_an_id_is_not_passed_on(self):
        router = self.start(echo_id=False)
        response = self.send(router, "second", "id-second")
        self.assertNotIn(b"first", response.body)

    def test_copy_that_declines_does_not_make_a_request_count_as_unrun(self):
        router = self.start(
            ["X-Hornbeampier-Not-Executed: 1"],
            "503 Service Unavailable",
            echo_id=False,
        )
        response = self.send(router, "second", "id-second")
        self.assertNotEqual(503, response.status)

    def test_callers_that_send_the_same_id_do_not_share_a_connection(self):
        router = self.start()
        response = self.send(router, "second", "id-first")
        self.assertEqual((200, b"second"), (response.status, response.body))
        first, second = self.endpoint.received
        self.assertIsNot(first.sock, second.sock)

    def test_requests_without_an_id_get_a_connection_of_their_own(self):
        router = self.start(echo_id=False)
        response = self.send(router, "second", "")
        self.assertEqual((200, b"second"), (response.status, response.body))

    def test_connection_with_a_copy_on_it_is_not_used_again(self):
        def handler(req):
            req.respond(b"own")
            req.respond(b"late")

        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        for _ in range(5):
            response = self.call(router)
            self.assertEqual((200, b"own"), (response.status, response.body))
            gevent.sleep(0.02)

    def test_copy_of_a_stream_is_not_passed_on(self):
        def handler(req):
            if len(engine.received) > 1:
                req.send(b"".join(sent))
                gevent.sleep(0.1)
            copy = [
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\n{SERVER}\r\n"
                f"X-Hornbeampier-Attempt-Id: {req.id}\r\n\r\n".encode()
            ]
            event = f"id: 1\ndata: {req.id}\n\n".encode()
            copy.append(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
            sent[:] = copy
            req.send(b"".join(copy))

        sent = []
        engine = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        for name in ("id-a", "id-b"):
            request_id = {"X-Hornbeampier-Attempt-Id": name}
            response = self.call(
                router, "POST", "/stream/x", headers=request_id, body=b"x"
            )
            self.assertIn(name.encode(), response.body)
