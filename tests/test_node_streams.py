"""Streams through a node, as callers and engines see them."""

import gevent
from gevent import event as gevent_event

from tests import nodes

PROMPT = {
    "X-Hornbeampier-Model": "m",
    "X-Hornbeampier-Token-Usage": "1000,50",
    "X-Hornbeampier-Prompt-Prefix": "aa:600,bb:400",
}


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


class StreamTest(nodes.NodeTestCase):
    def stream(self, router, path="/stream/x"):
        caller = self.connect(router)
        caller.send("POST", path, PROMPT, body=b"{}")
        return caller

    def test_events_arrive_as_they_are_made(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            go_on.wait()
            req.send_event(2)
            req.end_stream()

        go_on = gevent_event.Event()
        server = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        caller = self.stream(router)
        status, _ = caller.read_head()
        self.assertEqual(200, status)
        self.assertIn(b"piece-1", caller.read_until(b"piece-1"))
        go_on.set()
        self.assertIn(b"piece-2", caller.read_until(b"0\r\n\r\n"))
        headers = server.received[0].headers
        # A more urgent account comes first, and all routes are alike.
        self.assertEqual("1", headers["x-hornbeampier-request-urgency"])
        self.assertEqual(
            PROMPT["X-Hornbeampier-Prompt-Prefix"],
            headers["x-hornbeampier-prompt-prefix"],
        )

    def test_broken_stream_stays_incomplete(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            req.reset()

        server = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        response = self.stream(router).read()
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertEqual(1, len(server.received))

    def test_stream_that_breaks_before_its_first_event(self):
        def handler(req):
            req.begin_stream()
            req.send_chunk(b"id: 1\nda")
            gevent.sleep(0.05)
            req.reset()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        self.assertEqual(502, self.stream(router).read().status)

    def test_broken_stream_goes_on_at_another_engine(self):
        def handler(req):
            req.begin_stream()
            if len(first.received + second.received) == 1:
                req.send_event(1)
                req.send_event(2)
                req.send_chunk(b"id: 3\nda")
                req.reset()
                return
            last = int(req.headers["last-event-id"])
            for number in range(last + 1, 5):
                req.send_event(number)
            req.end_stream()

        first = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        second = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        response = self.stream(router, "/resume/x").read()
        self.assertTrue(response.complete)
        self.assertEqual(b"".join(event(n) for n in range(1, 5)), response.body)

    def test_event_id_that_is_no_number_is_passed_on(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            req.send_chunk(b"id: \xb2\ndata: odd\n\n")
            req.end_stream()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        response = self.stream(router).read()
        self.assertTrue(response.complete)
        self.assertIn(b"odd", response.body)

    def test_caller_that_leaves_cancels_its_stream(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            gevent.sleep(5)

        server = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        caller = self.stream(router)
        caller.read_head()
        caller.close()
        self.assertTrue(server.received[0].wait_closed(0.4))
