"""Responses with neither a length nor chunks, which end with their connection.

A stream that ends within an event, or a response whose endpoint has gone down
at its end, is not complete.
"""

import struct

from gevent import server
from gevent import socket

from tests import endpoint_standin
from tests import nodes
from tests import store_standin

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
EVENTS = [f"id: {n}\ndata: piece-{n}\n\n" for n in range(1, 4)]


def send_head(req):
    lines = [
        "HTTP/1.1 200 OK",
        endpoint_standin.SEAL,
        f"X-Hornbeampier-Attempt-Id: {req.id}",
        "Content-Type: text/event-stream",
    ]
    req.send("\r\n".join(lines) + "\r\n\r\n")


class UnframedTestCase(nodes.NodeTestCase):
    def close(self, req):
        req.close_connection()

    def reset(self, req):
        req.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        req.sock.close()

    def crash(self, req):
        [endpoint] = [e for e in self.endpoints if req in e.received]
        endpoint.stop()
        req.close_connection()

    def start(self, service, first, *rest):
        """Starts endpoints; the first request gets the parts of `first`.

        A part is text to send or a function of the request. Later requests get
        those of `rest`, or of `first` again.
        """

        def handler(req):
            count = sum(len(e.received) for e in self.endpoints)
            parts = (first, *rest)[min(count - 1, len(rest))]
            send_head(req)
            for part in parts:
                part(req) if callable(part) else req.send(part)

        self.endpoints = [self.start_endpoint(service, handler) for _ in "12"]
        return self.start_ready_node()

    def received(self):
        return sum(len(endpoint.received) for endpoint in self.endpoints)


class UnframedStreamTest(UnframedTestCase):
    def stream(self, path, *parts_of_requests):
        router = self.start(nodes.ENGINE_SERVICE, *parts_of_requests)
        return self.call(router, "POST", path)

    def check_complete(self, response):
        self.assertTrue(response.complete)
        self.assertEqual("".join(EVENTS).encode(), response.body)

    def test_closed_connection_ends_the_stream(self):
        response = self.stream("/stream/x", [*EVENTS, self.close])
        self.check_complete(response)
        self.assertEqual(1, self.received())

    def test_closed_connection_ends_a_resumable_stream(self):
        response = self.stream("/resume/x", [*EVENTS, self.close])
        self.check_complete(response)
        self.assertEqual(1, self.received())

    # Guards against a stream that broke off passing for a complete one.
    def test_stream_that_ends_within_an_event_is_not_complete(self):
        response = self.stream("/stream/x", [*EVENTS, "id: 4\nda", self.close])
        self.assertFalse(response.complete)
        self.assertEqual(1, self.received())

    def test_stream_that_is_reset_is_not_complete(self):
        response = self.stream("/stream/x", [*EVENTS, self.reset])
        self.assertFalse(response.complete)

    # Guards against the streams of a crashed engine passing for complete ones.
    def test_stream_whose_engine_went_down_is_not_complete(self):
        response = self.stream("/stream/x", [*EVENTS, self.crash])
        self.assertFalse(response.complete)

    def test_engine_that_went_down_before_the_first_event_gives_an_error(self):
        response = self.stream("/stream/x", [self.crash])
        self.assertEqual(502, response.status)

    def check_resumed(self, *end):
        response = self.stream(
            "/resume/x", [EVENTS[0], *end], [*EVENTS[1:], self.close]
        )
        self.check_complete(response)
        self.assertEqual(2, self.received())

    def test_stream_whose_engine_went_down_is_resumed(self):
        self.check_resumed(self.crash)

    def test_stream_that_ends_within_an_event_is_resumed(self):
        self.check_resumed("id: 2\nda", self.close)

    def test_stream_that_is_reset_is_resumed(self):
        self.check_resumed(self.reset)

    # Guards against segments that crash engines not being noticed because the
    # response has no framing.
    def test_engine_that_went_down_counts_as_crashed(self):
        router = self.start(nodes.ENGINE_SERVICE, [self.crash])
        self.call(router, "POST", "/stream/x")
        self.assertEqual(1, len(router._crashes.to_gossip()))


class RestartedEndpointTest(UnframedTestCase):
    """The endpoint accepts connections again when this VM reads the end."""

    def crash_and_restart(self, req, born=2):
        [endpoint] = [e for e in self.endpoints if req in e.received]
        port = endpoint._server.server_port
        endpoint.stop()
        req.close_connection()
        endpoint.born = born
        endpoint._server = server.StreamServer(
            (endpoint_standin.HOST, port), endpoint._serve
        )
        endpoint._server.start()

    def crash_and_lose_address(self, req):
        """Another endpoint has the address next; it turns all calls away."""
        [endpoint] = [e for e in self.endpoints if req in e.received]
        endpoint.handler = lambda other: other.respond(
            b"", "421 Misdirected Request", seal=False
        )
        self.crash_and_restart(req, born=None)

    # Guards against ORDER: the process that has the address next being taken
    # for the one whose stream broke off.
    def test_stream_whose_engine_has_restarted_is_not_complete(self):
        router = self.start(
            nodes.ENGINE_SERVICE, [EVENTS[0], self.crash_and_restart]
        )
        response = self.call(router, "POST", "/stream/x")
        self.assertFalse(response.complete)

    def register_again(self, req, version, born=2):
        """A process that has the address next wrote its entry.

        `born` is the start of the process that has it by now.
        """
        self.crash_and_restart(req, born)
        [endpoint] = [e for e in self.endpoints if req in e.received]
        record = nodes.endpoint_record(
            nodes.ENGINE_SERVICE, endpoint.address, born=2, version=version
        )
        self.store.put_endpoint(endpoint.id, record)

    def resume_after(self, fault):
        router = self.start(
            nodes.ENGINE_SERVICE, [EVENTS[0], fault], [*EVENTS[1:], self.close]
        )
        return self.call(router, "POST", "/resume/x")

    # Guards against streams that break off whenever an engine starts again.
    def test_stream_whose_engine_has_restarted_unchanged_is_resumed(self):
        response = self.resume_after(lambda req: self.register_again(req, "v1"))
        self.assertTrue(response.complete)
        self.assertEqual("".join(EVENTS).encode(), response.body)

    # Guards against ORDER: which of the two processes began the stream is not
    # known, and their versions differ, or may differ.
    def test_stream_whose_engine_has_another_version_is_not_resumed(self):
        response = self.resume_after(lambda req: self.register_again(req, "v2"))
        self.assertFalse(response.complete)

    def test_stream_whose_engine_has_restarted_twice_is_not_resumed(self):
        response = self.resume_after(
            lambda req: self.register_again(req, "v1", born=3)
        )
        self.assertFalse(response.complete)

    def test_stream_whose_engine_has_not_registered_again_is_not_resumed(self):
        response = self.resume_after(self.crash_and_restart)
        self.assertFalse(response.complete)

    # Guards against ORDER and MIXED: another endpoint, which turns the question
    # away, proving that the one that responded is up.
    def test_stream_whose_engine_lost_its_address_is_not_complete(self):
        router = self.start(
            nodes.ENGINE_SERVICE, [EVENTS[0], self.crash_and_lose_address]
        )
        response = self.call(router, "POST", "/stream/x")
        self.assertFalse(response.complete)

    def test_body_whose_endpoint_lost_its_address_is_not_complete(self):
        router = self.start(
            nodes.PLAIN_SERVICE, ["who", self.crash_and_lose_address]
        )
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual(502, response.status)

    # Guards against MIXED: the same for a body that is not a stream.
    def test_body_whose_endpoint_has_restarted_is_not_complete(self):
        router = self.start(
            nodes.PLAIN_SERVICE, ["who", self.crash_and_restart]
        )
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual(502, response.status)


class EndingProcessTest(UnframedTestCase):
    """The address of a killed process accepts connections a moment longer."""

    def end_slowly(self, req, lost_reports=1, ends=True):
        """Its connections close first; some more are accepted, and reset."""
        [endpoint] = [e for e in self.endpoints if req in e.received]
        lost = []
        send_report = endpoint._send_report

        def lose_report(report):
            if len(lost) >= lost_reports:
                send_report(report)
                return
            lost.append(report)
            self.reset(report)
            if ends and len(lost) == lost_reports:
                endpoint.stop()

        endpoint._send_report = lose_report
        req.close_connection()

    # Guards against MIXED and ORDER: a stream that broke off being ended as
    # complete, as the killed process still accepted a connection.
    def test_stream_of_a_process_that_is_ending_is_not_complete(self):
        self.check_stream(lost_reports=1)

    # The same if it accepts another connection after that.
    def test_stream_of_a_process_that_ends_later_is_not_complete(self):
        self.check_stream(lost_reports=2)

    def check_stream(self, lost_reports):
        router = self.start(
            nodes.ENGINE_SERVICE,
            [EVENTS[0], lambda req: self.end_slowly(req, lost_reports)],
        )
        response = self.call(router, "POST", "/stream/x")
        self.assertFalse(response.complete)

    # Guards against MIXED: the same for a body that is not a stream.
    def test_body_of_a_process_that_is_ending_is_not_complete(self):
        router = self.start(nodes.PLAIN_SERVICE, ["who", self.end_slowly])
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual(502, response.status)

    # Guards against whole responses that are cut off as a report was lost.
    def test_response_is_complete_if_the_process_replies_later(self):
        router = self.start(
            nodes.PLAIN_SERVICE,
            ["whole", lambda req: self.end_slowly(req, ends=False)],
        )
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual((200, b"whole"), (response.status, response.body))


class LeavingEndpointTest(UnframedTestCase):
    def leave(self, req):
        """Writes the entry of an endpoint that leaves; waits until it is read.

        Endpoints that leave go on to serve until they exit.
        """
        [endpoint] = [e for e in self.endpoints if req in e.received]
        record = nodes.endpoint_record(
            self.service, endpoint.address, state="draining", sequence=2
        )
        self.store.put_endpoint(endpoint.id, record)
        store_standin.wait_until(
            lambda: self.router.catalog.endpoints[endpoint.id].leaving
        )

    def start(self, service, first, *rest):
        self.service = service
        self.router = super().start(service, first, *rest)
        return self.router

    def call_leaving(self, service, path, *parts_of_requests):
        router = self.start(service, *parts_of_requests)
        return self.call(router, "POST", path, body=b"b")

    # Guards against ORDER and MIXED: a stream without a length whose endpoint
    # was reclaimed while it left passing for a complete one.
    def test_stream_whose_leaving_engine_went_down_is_not_complete(self):
        response = self.call_leaving(
            nodes.ENGINE_SERVICE,
            "/stream/x",
            [EVENTS[0], self.leave, EVENTS[1], self.crash],
        )
        self.assertFalse(response.complete)

    def test_stream_whose_leaving_engine_went_down_is_resumed(self):
        response = self.call_leaving(
            nodes.ENGINE_SERVICE,
            "/resume/x",
            [EVENTS[0], self.leave, self.crash],
            [*EVENTS[1:], self.close],
        )
        self.assertTrue(response.complete)
        self.assertEqual("".join(EVENTS).encode(), response.body)

    # Guards against MIXED: as above, for a body that is not a stream.
    def test_body_whose_leaving_endpoint_went_down_is_not_complete(self):
        response = self.call_leaving(
            nodes.PLAIN_SERVICE, "/unsafe/x", ["who", self.leave, self.crash]
        )
        self.assertEqual(502, response.status)

    def test_endpoint_that_left_by_removing_its_entry_is_asked_too(self):
        def leave(req):
            [endpoint] = [e for e in self.endpoints if req in e.received]
            self.store.put_endpoint(endpoint.id, None)
            store_standin.wait_until(
                lambda: endpoint.id not in self.router.catalog.endpoints
            )

        response = self.call_leaving(
            nodes.ENGINE_SERVICE, "/stream/x", [EVENTS[0], leave, self.crash]
        )
        self.assertFalse(response.complete)

    def test_stream_of_an_engine_that_still_leaves_is_complete(self):
        response = self.call_leaving(
            nodes.ENGINE_SERVICE,
            "/stream/x",
            [EVENTS[0], self.leave, *EVENTS[1:], self.close],
        )
        self.assertTrue(response.complete)
        self.assertEqual("".join(EVENTS).encode(), response.body)

    def test_body_of_an_endpoint_that_still_leaves_is_complete(self):
        response = self.call_leaving(
            nodes.PLAIN_SERVICE, "/unsafe/x", ["whole", self.leave, self.close]
        )
        self.assertEqual((200, b"whole"), (response.status, response.body))


class UnframedBodyTest(UnframedTestCase):
    def test_closed_connection_ends_the_body(self):
        router = self.start(nodes.PLAIN_SERVICE, ["whole", self.close])
        for _ in range(2):
            response = self.call(router, "POST", "/unsafe/x", body=b"b")
            self.assertEqual((200, b"whole"), (response.status, response.body))

    def test_reset_connection_does_not_end_the_body(self):
        router = self.start(nodes.PLAIN_SERVICE, ["who", self.reset])
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual(502, response.status)

    def test_endpoint_that_went_down_did_not_end_the_body(self):
        router = self.start(nodes.PLAIN_SERVICE, ["who", self.crash])
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        self.assertEqual(502, response.status)

    def test_idempotent_request_is_retried_elsewhere(self):
        router = self.start(
            nodes.PLAIN_SERVICE, ["who", self.crash], ["whole", self.close]
        )
        response = self.call(router, "POST", "/safe/x", body=b"b")
        self.assertEqual((200, b"whole"), (response.status, response.body))
