"""Requests whose handling raises an error that nobody expected.

The caller gets an answer by what is known of its request: 503 if it was not
sent to an endpoint, 502 if it was. A response that has begun is cut off.
"""

from gevent import event
from structlog import testing

from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import process_check
from hornbeampier.forwarding import selection
from hornbeampier.forwarding import sse
from hornbeampier.http1 import client
from hornbeampier.platform import headers
from hornbeampier.routing import route_table
from tests import log_levels
from tests import nodes
from tests import store_standin

OWN_ID = {"X-Hornbeampier-Attempt-Id": "me"}


class FaultError(Exception):
    """An error that no code expects."""


def fail(*args, **kwargs):
    raise FaultError("unexpected")


class UnexpectedErrorTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        log_levels.log_all(self)

    def start(self, handler=lambda attempt: attempt.respond(), count=1):
        """Starts endpoints of both services and a router."""
        self.endpoints = [
            self.start_endpoint(service, handler)
            for service in (nodes.PLAIN_SERVICE, nodes.ENGINE_SERVICE)
            for _ in range(count)
        ]
        return self.start_ready_node()

    def received(self):
        return sum(len(e.received) for e in self.endpoints)

    def logged_call(self, router, **send_args):
        """Returns the response; the log must name the request and the error."""
        with testing.capture_logs() as rows:
            response = self.call(router, headers=OWN_ID, **send_args)
        rows = [r for r in rows if r["event"] == "internal_error"]
        self.assertEqual(["me"], [r["request_id"] for r in rows])
        self.assertIsInstance(rows[0]["exc_info"], FaultError)
        return response

    def assert_refused(self, status, response):
        self.assertEqual(status, response.status)
        self.assertTrue(response.complete)
        self.assertIn(b'"internal"', response.body)
        self.assertEqual(status == 503, "retry-after" in response.headers)

    # Guards against RESET: the request was not sent, and the caller was not
    # told so.
    def test_error_before_an_endpoint_is_chosen_gives_503(self):
        router = self.start()
        self.patch(selection.EndpointSelector, "select", fail)
        for path in ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x"):
            response = self.logged_call(router, method="POST", path=path)
            self.assert_refused(503, response)
        self.assertEqual(0, self.received())

    def test_error_before_the_request_is_sent_gives_503(self):
        router = self.start()
        self.patch(headers, "encode_request", fail)
        response = self.logged_call(router, method="POST", path="/unsafe/x")
        self.assert_refused(503, response)
        self.assertEqual(0, self.received())

    # Guards against RESET in the handler itself, also for a body that has not
    # been read: closing then would reset the connection.
    def test_error_before_the_body_is_read_gives_503(self):
        router = self.start()
        caller = self.connect(router)
        self.patch(router._handler, "_admission", None)
        caller.send("POST", "/unsafe/x", body=b"x" * 9_000)
        self.assert_refused(503, caller.read())
        self.assertEqual(0, self.received())

    # Guards against REFUSED: once it was sent it may have run.
    def test_error_after_the_request_was_sent_gives_502(self):
        router = self.start()
        read_head = client.ClientConnection.read_head

        def fail_after_request(conn, *args):
            # A process is asked who it is before it gets a resumable stream.
            if conn._request.target == b"/report":
                return read_head(conn, *args)
            return fail()

        self.patch(client.ClientConnection, "read_head", fail_after_request)
        for path in ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x"):
            response = self.logged_call(router, method="POST", path=path)
            self.assert_refused(502, response)
        # The endpoint may read the last one later.
        store_standin.wait_until(lambda: self.received() >= 4)
        self.assertEqual(4, self.received())

    # Guards against REFUSED: nothing is sent until the process was asked.
    def test_error_while_the_process_is_asked_gives_503(self):
        router = self.start()
        self.patch(process_check, "ask", fail)
        response = self.logged_call(router, method="POST", path="/resume/x")
        self.assert_refused(503, response)
        self.assertEqual(0, self.received())

    # Guards against REFUSED: an earlier attempt may have run.
    def test_error_after_an_earlier_attempt_gives_502(self):
        def handler(attempt):
            self.patch(endpoint_attempt.EndpointAttempt, "_connect", fail)
            attempt.close_connection()

        router = self.start(handler, count=2)
        response = self.logged_call(router)
        self.assert_refused(502, response)
        self.assertEqual(1, self.received())

    # Guards against MIXED: a response that ends early must not look complete.
    def test_error_within_a_stream_cuts_it_off(self):
        def handler(attempt):
            attempt.begin_stream()
            attempt.send_event(1)
            self.assertTrue(is_passed_on.wait(5))
            self.patch(sse.EventSplitter, "feed", fail)
            attempt.send_event(2)
            attempt.end_stream()

        is_passed_on = event.Event()
        router = self.start(handler)
        caller = self.connect(router)
        with testing.capture_logs() as rows:
            caller.send("POST", "/resume/x", headers=OWN_ID)
            caller.read_until(b"piece-1")
            is_passed_on.set()
            response = caller.read()
        self.assertFalse(response.complete)
        events = {r["event"] for r in rows if r.get("request_id") == "me"}
        self.assertLessEqual({"internal_error", "stream_broken"}, events)

    # Guards against LOST: a complete response was reset by an error after it.
    def test_error_after_the_response_keeps_the_connection(self):
        router = self.start()
        caller = self.connect(router)
        self.patch(router._metrics, "record_response", fail)
        for _ in range(2):
            caller.send("GET", "/safe/x")
            response = caller.read()
            self.assertEqual((200, b"done"), (response.status, response.body))
        self.assertEqual(2, self.received())

    # Guards against REFUSED: a refusal that cannot be logged keeps its status.
    def test_error_while_a_request_is_refused_keeps_its_status(self):
        router = self.start(lambda attempt: attempt.close_connection())
        self.patch(router._handler, "_metrics", None)
        self.assertEqual(502, self.call(router, path="/unsafe/x").status)

    # Guards against RESET: a response that cannot be composed leaves the
    # connection's state machine unusable.
    def test_error_while_a_response_is_composed_gives_502(self):
        router = self.start()
        self.patch(
            headers,
            "response_headers_to_forward",
            lambda head: [(b"x", b"a\r\nb")],
        )
        response = self.call(router, path="/unsafe/x")
        self.assert_refused(502, response)

    # The request is unaffected by what the test patches elsewhere.
    def test_requests_after_an_error_are_served(self):
        router = self.start()
        match = route_table.RouteTable.match
        self.patch(route_table.RouteTable, "match", fail)
        self.assert_refused(503, self.call(router))
        self.patch(route_table.RouteTable, "match", match)
        self.assertEqual(200, self.call(router).status)
        self.assertEqual(0, router._handler.open_requests)
