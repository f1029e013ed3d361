"""Plain requests through a node, seen from the caller and the endpoint."""

import gevent

from tests import nodes
from tests import store_standin


class PlainRequestTest(nodes.NodeTestCase):
    def test_request_and_response_pass_unchanged(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.answer(b"body"))
        node = self.start_ready_node()
        response = self.call(
            node, "POST", "/unsafe/a%2Fb?q=%20x", body=b"bytes"
        )
        self.assertEqual((200, b"body"), (response.status, response.body))
        self.assertEqual("seal", response.headers["x-hornbeampier-server-seal"])
        arrival = server.arrivals[0]
        self.assertEqual("POST /unsafe/a%2Fb?q=%20x HTTP/1.1", arrival.line)
        self.assertEqual(b"bytes", arrival.body)
        headers = arrival.headers
        self.assertEqual(server.id, headers["x-hornbeampier-expect-instance"])
        self.assertEqual("account-1", headers["x-hornbeampier-tenant"])
        self.assertNotIn("authorization", headers)

    def test_platform_headers_of_callers_are_dropped(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.answer())
        node = self.start_ready_node()
        forged = {
            "X-Hornbeampier-Tenant": "other",
            "X-Hornbeampier-Expect-Instance": "i-0",
            "X-Hornbeampier-Pin-Ms": "100",
            "Kv-From": "10.0.0.1:1/x",
            "Connection": "X-Hornbeampier-Attempt-Id, X-Extra",
            "X-Extra": "1",
        }
        self.assertEqual(200, self.call(node, headers=forged).status)
        headers = server.arrivals[0].headers
        self.assertEqual("account-1", headers["x-hornbeampier-tenant"])
        self.assertEqual(server.id, headers["x-hornbeampier-expect-instance"])
        for name in ("x-hornbeampier-pin-ms", "kv-from", "x-extra"):
            self.assertNotIn(name, headers)

    def test_chunked_body_is_forwarded_with_a_length(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.answer())
        node = self.start_ready_node()
        caller = self.connect(node)
        caller.send("POST", "/safe/x", {"Transfer-Encoding": "chunked"})
        caller.sock.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(200, caller.read().status)
        self.assertEqual(b"abcde", server.arrivals[0].body)

    def test_caller_connection_is_kept_alive(self):
        self.start_server(nodes.PLAIN, lambda a: a.answer(a.line.encode()))
        node = self.start_ready_node()
        caller = self.connect(node)
        for name in ("one", "two", "three"):
            caller.send("GET", f"/safe/{name}")
            self.assertIn(name.encode(), caller.read().body)

    def test_connections_to_endpoints_are_reused(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.answer())
        node = self.start_ready_node()
        for _ in range(3):
            self.call(node)
        self.assertEqual(1, len({a.sock for a in server.arrivals}))

    def test_requests_that_are_not_allowed_reach_no_endpoint(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.answer())
        node = self.start_ready_node()
        self.assertEqual(404, self.call(node, path="/none/x").status)
        self.assertEqual(401, self.call(node, key="wrong").status)
        self.assertEqual(401, self.call(node, key=None).status)
        large = self.call(node, "POST", "/safe/x", body=b"x" * 20_000)
        self.assertEqual(413, large.status)
        self.assertEqual([], server.arrivals)

    def test_oversized_head_is_refused(self):
        node = self.start_ready_node()
        response = self.call(node, headers={"X-Large": "x" * 9_000})
        self.assertEqual(431, response.status)

    def test_caller_disconnect_cancels_the_request_at_the_endpoint(self):
        server = self.start_server(nodes.PLAIN, lambda a: gevent.sleep(5))
        node = self.start_ready_node()
        caller = self.connect(node)
        caller.send("GET", "/safe/x")
        store_standin.wait_until(lambda: server.arrivals)
        caller.close()
        self.assertTrue(server.arrivals[0].wait_closed(0.4))

    def test_request_is_refused_at_the_timeout_of_its_route(self):
        self.start_server(nodes.PLAIN, lambda a: gevent.sleep(5))
        slow = nodes.route("s", "/safe/", "safe", nodes.PLAIN, timeoutMs=200)
        node = self.start_ready_node(nodes.configuration(routes=[slow]))
        self.assertEqual(504, self.call(node).status)


class VerdictTest(nodes.NodeTestCase):
    """Retries and refusals after a failed attempt."""

    def test_declined_request_is_refused_as_not_run(self):
        self.start_server(
            nodes.PLAIN,
            lambda a: a.answer(
                status="503 Service Unavailable",
                headers=["X-Hornbeampier-Not-Executed: 1"],
                seal=False,
            ),
        )
        node = self.start_ready_node()
        response = self.call(node, "POST", "/unsafe/x")
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)

    def test_lost_response_of_a_non_idempotent_request_is_not_retried(self):
        server = self.start_server(nodes.PLAIN, lambda a: a.reset())
        other = self.start_server(nodes.PLAIN, lambda a: a.reset())
        # The route allows two attempts, so only the verdict forbids a retry.
        once = nodes.route("u", "/unsafe/", "unsafe", nodes.PLAIN)
        node = self.start_ready_node(nodes.configuration(routes=[once]))
        self.assertEqual(502, self.call(node, "POST", "/unsafe/x").status)
        self.assertEqual(1, len(server.arrivals + other.arrivals))

    def test_lost_response_of_an_idempotent_request_is_retried(self):
        def behave(arrival):
            if len(first.arrivals + second.arrivals) == 1:
                arrival.reset()
            else:
                arrival.answer()

        first = self.start_server(nodes.PLAIN, behave)
        second = self.start_server(nodes.PLAIN, behave)
        node = self.start_ready_node()
        self.assertEqual(200, self.call(node).status)
        self.assertEqual([1, 1], [len(first.arrivals), len(second.arrivals)])

    def test_unsigned_response_is_not_passed_on(self):
        self.start_server(nodes.PLAIN, lambda a: a.answer(seal=False))
        node = self.start_ready_node()
        self.assertEqual(502, self.call(node, "POST", "/unsafe/x").status)

    def test_encoded_response_is_not_passed_on(self):
        self.start_server(
            nodes.PLAIN,
            lambda a: a.answer(headers=["Content-Encoding: gzip"]),
        )
        node = self.start_ready_node()
        self.assertEqual(502, self.call(node, "POST", "/unsafe/x").status)

    def test_503_without_the_not_executed_header_becomes_502(self):
        self.start_server(
            nodes.PLAIN, lambda a: a.answer(status="503 Service Unavailable")
        )
        node = self.start_ready_node()
        self.assertEqual(502, self.call(node, "POST", "/unsafe/x").status)

    def test_response_to_another_request_is_skipped(self):
        def behave(arrival):
            own = arrival.headers["x-hornbeampier-attempt-id"]
            arrival.headers["x-hornbeampier-attempt-id"] = "other"
            arrival.answer(b"late answer of another")
            arrival.headers["x-hornbeampier-attempt-id"] = own
            arrival.answer(b"own")

        self.start_server(nodes.PLAIN, behave)
        node = self.start_ready_node()
        response = self.call(node, "POST", "/unsafe/x", body=b"b")
        self.assertEqual((200, b"own"), (response.status, response.body))

    def test_truncated_response_is_not_passed_on(self):
        def behave(arrival):
            arrival.send(
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                "X-Hornbeampier-Server-Seal: s\r\n\r\nshort"
            )
            arrival.reset()

        self.start_server(nodes.PLAIN, behave)
        node = self.start_ready_node()
        self.assertEqual(502, self.call(node, "POST", "/unsafe/x").status)

    def test_endpoint_may_decline_before_it_has_read_a_long_body(self):
        def behave(arrival):
            arrival.answer(
                status="503 Service Unavailable",
                headers=["X-Hornbeampier-Not-Executed: 1"],
            )

        self.start_server(nodes.PLAIN, behave)
        cfg = nodes.configuration()
        cfg["limits"]["maxBodyBytes"] = 1_000_000
        node = self.start_ready_node(cfg)
        response = self.call(node, "POST", "/unsafe/x", body=b"x" * 500_000)
        self.assertEqual(503, response.status)


class ServerErrorTest(nodes.NodeTestCase):
    """A signed 500 of an endpoint means that the request ran."""

    def test_idempotent_request_is_retried_once(self):
        behave = self.fail_first()
        node = self.start_ready_node()
        self.assertEqual(200, self.call(node).status)
        self.assertEqual(2, len(behave.seen))

    def test_error_of_a_non_idempotent_request_is_passed_on(self):
        behave = self.fail_first()
        node = self.start_ready_node()
        response = self.call(node, "POST", "/unsafe/x")
        self.assertEqual(500, response.status)
        self.assertIn("x-hornbeampier-server-seal", response.headers)
        self.assertEqual(1, len(behave.seen))

    def test_error_is_passed_on_when_the_retry_budget_is_used_up(self):
        behave = self.fail_first()
        node = self.start_ready_node(retry_extra=0.0, retry_ratio=0.0)
        self.assertEqual(500, self.call(node).status)
        self.assertEqual(1, len(behave.seen))

    def fail_first(self):
        def behave(arrival):
            behave.seen.append(arrival)
            if len(behave.seen) == 1:
                arrival.answer(status="500 Internal Server Error")
            else:
                arrival.answer()

        behave.seen = []
        for _ in range(2):
            self.start_server(nodes.PLAIN, behave)
        return behave


class InternalErrorTest(nodes.NodeTestCase):
    def test_internal_error_closes_the_connection_without_a_response(self):
        self.start_server(nodes.PLAIN, lambda a: a.answer())
        node = self.start_ready_node()
        node._handler._forwarder = None
        self.assertRaises(ConnectionResetError, self.call, node)
        self.assertEqual(404, self.call(node, path="/none/x").status)

    def test_malformed_request_gets_400(self):
        node = self.start_ready_node()
        caller = self.connect(node)
        caller.sock.sendall(b"\x16\x03\x01 no request\r\n\r\n")
        self.assertEqual(400, caller.read().status)


class HeadTest(nodes.NodeTestCase):
    def test_response_to_head_declares_the_content_length(self):
        def behave(arrival):
            arrival.send(
                "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n"
                "X-Hornbeampier-Server-Seal: s\r\n\r\n"
            )

        self.start_server(nodes.PLAIN, behave)
        node = self.start_ready_node()
        caller = self.connect(node)
        caller.send("HEAD", "/safe/x")
        status, headers = caller.read_head()
        self.assertEqual((200, "7"), (status, headers["content-length"]))
