"""Streams through a node, seen from the caller and from the engine."""

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
    def stream(self, node, path="/stream/x"):
        caller = self.connect(node)
        caller.send("POST", path, PROMPT, body=b"{}")
        return caller

    def test_events_are_passed_on_without_buffering(self):
        def behave(arrival):
            arrival.begin_stream()
            arrival.send_event(1)
            may_continue.wait()
            arrival.send_event(2)
            arrival.end_stream()

        may_continue = gevent_event.Event()
        server = self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        caller = self.stream(node)
        status, _ = caller.read_head()
        self.assertEqual(200, status)
        self.assertIn(b"piece-1", caller.read_until(b"piece-1"))
        may_continue.set()
        self.assertIn(b"piece-2", caller.read_until(b"0\r\n\r\n"))
        headers = server.arrivals[0].headers
        # Rank 1: one account is more urgent, and all routes have one tier.
        self.assertEqual("1", headers["x-hornbeampier-request-urgency"])
        self.assertEqual(
            PROMPT["X-Hornbeampier-Prompt-Prefix"],
            headers["x-hornbeampier-prompt-prefix"],
        )

    def test_interrupted_stream_is_not_completed(self):
        def behave(arrival):
            arrival.begin_stream()
            arrival.send_event(1)
            arrival.reset()

        server = self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        response = self.stream(node).read()
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertEqual(1, len(server.arrivals))

    def test_stream_interrupted_before_its_first_event_gives_502(self):
        def behave(arrival):
            arrival.begin_stream()
            arrival.send_chunk(b"id: 1\nda")
            gevent.sleep(0.05)
            arrival.reset()

        self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        self.assertEqual(502, self.stream(node).read().status)

    def test_interrupted_stream_is_resumed_at_another_engine(self):
        def behave(arrival):
            arrival.begin_stream()
            if len(first.arrivals + second.arrivals) == 1:
                arrival.send_event(1)
                arrival.send_event(2)
                arrival.send_chunk(b"id: 3\nda")
                arrival.reset()
                return
            last = int(arrival.headers["last-event-id"])
            for number in range(last + 1, 5):
                arrival.send_event(number)
            arrival.end_stream()

        first = self.start_server(nodes.ENGINES, behave)
        second = self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        response = self.stream(node, "/resume/x").read()
        self.assertTrue(response.complete)
        self.assertEqual(b"".join(event(n) for n in range(1, 5)), response.body)

    def test_event_with_a_non_numeric_id_is_passed_on(self):
        def behave(arrival):
            arrival.begin_stream()
            arrival.send_event(1)
            arrival.send_chunk(b"id: \xb2\ndata: odd\n\n")
            arrival.end_stream()

        self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        response = self.stream(node).read()
        self.assertTrue(response.complete)
        self.assertIn(b"odd", response.body)

    def test_caller_disconnect_cancels_the_stream_at_the_engine(self):
        def behave(arrival):
            arrival.begin_stream()
            arrival.send_event(1)
            gevent.sleep(5)

        server = self.start_server(nodes.ENGINES, behave)
        node = self.start_ready_node()
        caller = self.stream(node)
        caller.read_head()
        caller.close()
        self.assertTrue(server.arrivals[0].wait_closed(0.4))
