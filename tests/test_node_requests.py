"""Plain requests through a node, as callers and servers see them."""

import gevent

from tests import nodes
from tests import store_standin


class PlainRequestTest(nodes.NodeTestCase):
    def test_request_and_answer_pass_unchanged(self):
        server = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda a: a.respond(b"body")
        )
        router = self.start_ready_node()
        response = self.call(
            router, "POST", "/unsafe/a%2Fb?q=%20x", body=b"bytes"
        )
        self.assertEqual((200, b"body"), (response.status, response.body))
        self.assertEqual("seal", response.headers["x-hornbeampier-server-seal"])
        req = server.received[0]
        self.assertEqual("POST /unsafe/a%2Fb?q=%20x HTTP/1.1", req.line)
        self.assertEqual(b"bytes", req.body)
        headers = req.headers
        self.assertEqual(server.id, headers["x-hornbeampier-expect-instance"])
        self.assertEqual("account-1", headers["x-hornbeampier-tenant"])
        self.assertNotIn("authorization", headers)

    def test_headers_of_the_system_are_not_taken_from_callers(self):
        server = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        router = self.start_ready_node()
        forged = {
            "X-Hornbeampier-Tenant": "other",
            "X-Hornbeampier-Expect-Instance": "i-0",
            "X-Hornbeampier-Pin-Ms": "100",
            "Kv-From": "10.0.0.1:1/x",
            "Connection": "X-Hornbeampier-Attempt-Id, X-Extra",
            "X-Extra": "1",
        }
        self.assertEqual(200, self.call(router, headers=forged).status)
        headers = server.received[0].headers
        self.assertEqual("account-1", headers["x-hornbeampier-tenant"])
        self.assertEqual(server.id, headers["x-hornbeampier-expect-instance"])
        for name in ("x-hornbeampier-pin-ms", "kv-from", "x-extra"):
            self.assertNotIn(name, headers)

    def test_chunked_body_is_forwarded_with_a_length(self):
        server = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.send("POST", "/safe/x", {"Transfer-Encoding": "chunked"})
        caller.sock.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(200, caller.read().status)
        self.assertEqual(b"abcde", server.received[0].body)

    def test_connection_serves_one_request_after_another(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda a: a.respond(a.line.encode())
        )
        router = self.start_ready_node()
        caller = self.connect(router)
        for name in ("one", "two", "three"):
            caller.send("GET", f"/safe/{name}")
            self.assertIn(name.encode(), caller.read().body)

    def test_connections_to_servers_are_reused(self):
        server = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        router = self.start_ready_node()
        for _ in range(3):
            self.call(router)
        self.assertEqual(1, len({a.sock for a in server.received}))

    def test_requests_that_are_not_allowed(self):
        server = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        router = self.start_ready_node()
        self.assertEqual(404, self.call(router, path="/none/x").status)
        self.assertEqual(401, self.call(router, key="wrong").status)
        self.assertEqual(401, self.call(router, key=None).status)
        large = self.call(router, "POST", "/safe/x", body=b"x" * 20_000)
        self.assertEqual(413, large.status)
        self.assertEqual([], server.received)

    def test_large_head_is_refused(self):
        router = self.start_ready_node()
        response = self.call(router, headers={"X-Large": "x" * 9_000})
        self.assertEqual(431, response.status)

    def test_caller_that_leaves_ends_the_request_at_the_server(self):
        server = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda a: gevent.sleep(5)
        )
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.send("GET", "/safe/x")
        store_standin.wait_until(lambda: server.received)
        caller.close()
        self.assertTrue(server.received[0].wait_closed(0.4))

    def test_request_ends_at_its_route_timeout(self):
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: gevent.sleep(5))
        slow = nodes.route(
            "s", "/safe/", "safe", nodes.PLAIN_SERVICE, timeoutMs=200
        )
        router = self.start_ready_node(nodes.configuration(routes=[slow]))
        self.assertEqual(504, self.call(router).status)


class VerdictTest(nodes.NodeTestCase):
    """What a failed attempt lets the node say and do."""

    def test_rejected_request_is_refused_with_a_promise(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda a: a.respond(
                status="503 Service Unavailable",
                headers=["X-Hornbeampier-Not-Executed: 1"],
                seal=False,
            ),
        )
        router = self.start_ready_node()
        response = self.call(router, "POST", "/unsafe/x")
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)

    def test_lost_answer_of_a_once_only_request_promises_nothing(self):
        server = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.reset())
        other = self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.reset())
        # Attempts are left, so that only the verdict forbids another one.
        once = nodes.route("u", "/unsafe/", "unsafe", nodes.PLAIN_SERVICE)
        router = self.start_ready_node(nodes.configuration(routes=[once]))
        self.assertEqual(502, self.call(router, "POST", "/unsafe/x").status)
        self.assertEqual(1, len(server.received + other.received))

    def test_lost_answer_of_an_idempotent_request_is_repeated(self):
        def handler(req):
            if len(first.received + second.received) == 1:
                req.reset()
            else:
                req.respond()

        first = self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        second = self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        self.assertEqual(200, self.call(router).status)
        self.assertEqual([1, 1], [len(first.received), len(second.received)])

    def test_answer_without_signature_is_not_passed_on(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda a: a.respond(seal=False)
        )
        router = self.start_ready_node()
        self.assertEqual(502, self.call(router, "POST", "/unsafe/x").status)

    def test_encoded_answer_is_not_passed_on(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda a: a.respond(headers=["Content-Encoding: gzip"]),
        )
        router = self.start_ready_node()
        self.assertEqual(502, self.call(router, "POST", "/unsafe/x").status)

    def test_promise_without_its_header_becomes_a_bad_gateway(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda a: a.respond(status="503 Service Unavailable"),
        )
        router = self.start_ready_node()
        self.assertEqual(502, self.call(router, "POST", "/unsafe/x").status)

    def test_answer_of_another_request_is_skipped(self):
        def handler(req):
            own = req.headers["x-hornbeampier-attempt-id"]
            req.headers["x-hornbeampier-attempt-id"] = "other"
            req.respond(b"late answer of another")
            req.headers["x-hornbeampier-attempt-id"] = own
            req.respond(b"own")

        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual((200, b"own"), (response.status, response.body))

    def test_truncated_answer_never_looks_whole(self):
        def handler(req):
            req.send(
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                "X-Hornbeampier-Server-Seal: s\r\n\r\nshort"
            )
            req.reset()

        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        self.assertEqual(502, self.call(router, "POST", "/unsafe/x").status)

    def test_long_body_that_is_rejected_early(self):
        def handler(req):
            req.respond(
                status="503 Service Unavailable",
                headers=["X-Hornbeampier-Not-Executed: 1"],
            )

        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        cfg = nodes.configuration()
        cfg["limits"]["maxBodyBytes"] = 1_000_000
        router = self.start_ready_node(cfg)
        response = self.call(router, "POST", "/unsafe/x", body=b"x" * 500_000)
        self.assertEqual(503, response.status)


class ServerErrorTest(nodes.NodeTestCase):
    """A server's own 500 says that the request ran."""

    def test_idempotent_request_is_repeated_once(self):
        handler = self.fail_first()
        router = self.start_ready_node()
        self.assertEqual(200, self.call(router).status)
        self.assertEqual(2, len(handler.seen))

    def test_error_of_a_once_only_request_is_passed_on(self):
        handler = self.fail_first()
        router = self.start_ready_node()
        response = self.call(router, "POST", "/unsafe/x")
        self.assertEqual(500, response.status)
        self.assertIn("x-hornbeampier-server-seal", response.headers)
        self.assertEqual(1, len(handler.seen))

    def test_error_is_passed_on_when_the_budget_is_used_up(self):
        handler = self.fail_first()
        router = self.start_ready_node(retry_extra=0.0, retry_ratio=0.0)
        self.assertEqual(500, self.call(router).status)
        self.assertEqual(1, len(handler.seen))

    def fail_first(self):
        def handler(req):
            handler.seen.append(req)
            if len(handler.seen) == 1:
                req.respond(status="500 Internal Server Error")
            else:
                req.respond()

        handler.seen = []
        for _ in range(2):
            self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        return handler


class FaultTest(nodes.NodeTestCase):
    def test_fault_of_the_program_ends_the_connection_without_a_promise(self):
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.respond())
        router = self.start_ready_node()
        router._handler._forwarder = None
        self.assertRaises(ConnectionResetError, self.call, router)
        self.assertEqual(404, self.call(router, path="/none/x").status)

    def test_bytes_that_are_no_request_get_a_bad_request(self):
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.sock.sendall(b"\x16\x03\x01 no request\r\n\r\n")
        self.assertEqual(400, caller.read().status)


class HeadTest(nodes.NodeTestCase):
    def test_answer_to_head_tells_the_length(self):
        def handler(req):
            req.send(
                "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n"
                "X-Hornbeampier-Server-Seal: s\r\n\r\n"
            )

        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.send("HEAD", "/safe/x")
        status, headers = caller.read_head()
        self.assertEqual((200, "7"), (status, headers["content-length"]))
