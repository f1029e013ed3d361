"""Slow streams, which go on, and stalled ones, which go on elsewhere."""

import time

import gevent
import testtools

from hornbeampier.forwarding import stalls
from tests import nodes
from tests import routing_fakes as fakes

# The routes' streams are late after 0.1 s without an event.
TARGET_MS = 100


def configuration():
    def stream(name, **overrides):
        return nodes.route(
            name,
            f"/{name}/",
            "streaming",
            nodes.ENGINE_SERVICE,
            gapAimMs=TARGET_MS,
            **overrides,
        )

    routes = [
        stream("stream"),
        stream("resume", streamResume=True),
    ]
    return nodes.configuration(routes=routes)


class StallWatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        fixture = fakes.RoutingFixture(1)
        self.clock, self.state = fixture.clock, fixture.states[0]
        self.asked = []
        route = fakes.route(inter_event_target_ms=500.0)
        self.watch = self.make_watch(route)
        self.other = self.make_watch(route)

    def make_watch(self, route, allowed=True):
        def may_resume():
            self.asked.append(allowed)
            return allowed

        return stalls.StallWatch(route, self.state, may_resume, self.clock)

    def test_wait_for_the_first_event_is_no_stall(self):
        self.clock.advance(60_000.0)
        self.assertFalse(self.watch.should_resume())

    def test_pauses_beyond_the_target_are_no_stall(self):
        for _ in range(10):
            self.watch.on_event()
            self.clock.advance(1_900.0)
            self.assertFalse(self.watch.should_resume())

    def test_silent_endpoint_is_a_stall(self):
        self.watch.on_event()
        self.clock.advance(2_000.0)
        self.assertTrue(self.watch.should_resume())

    def test_paused_stream_is_no_stall_while_the_endpoint_serves_others(self):
        self.watch.on_event()
        for _ in range(20):
            self.clock.advance(500.0)
            self.other.on_event()
            self.assertFalse(self.watch.should_resume())

    def test_stream_that_may_not_be_resumed_is_asked_about_once(self):
        watch = self.make_watch(fakes.route(), allowed=False)
        watch.on_event()
        for _ in range(5):
            self.clock.advance(5_000.0)
            self.assertFalse(watch.should_resume())
        self.assertEqual([False], self.asked)


class StalledStreamTest(nodes.NodeTestCase):
    def start(self, *handlers):
        for handler in handlers:
            self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        return self.start_ready_node(configuration())

    def stream(self, router, path, deadline_ms=6_000):
        caller = self.connect(router)
        deadline = {"X-Hornbeampier-Deadline-Ms": str(deadline_ms)}
        caller.send("POST", path, deadline, body=b"x")
        return caller.read()

    def slow(self, req):
        req.begin_stream()
        for number in range(1, 5):
            req.send_event(number)
            gevent.sleep(0.6)
        req.end_stream()

    # Guards against slow but sound streams being cut.
    def test_slow_stream_is_complete(self):
        router = self.start(self.slow, self.slow)
        for path in ("/stream/x", "/resume/x"):
            response = self.stream(router, path)
            self.assertTrue(response.complete)
            self.assertEqual(4, response.body.count(b"data:"))

    def make_trickle(self, received):
        """An engine that stalls after an event and sends bytes now and then."""

        def trickle(req):
            if "last-event-id" in req.headers or received:
                received.append(req)
                req.begin_stream()
                for number in range(2, 4):
                    req.send_event(number)
                req.end_stream()
                return
            received.append(req)
            req.begin_stream()
            req.send_event(1)
            for _ in range(60):
                req.send_chunk(b":")
                gevent.sleep(0.1)

        return trickle

    # Guards against stalled streams that send a byte now and then and never
    # end.
    def test_stalled_stream_goes_on_at_another_engine(self):
        received = []
        trickle = self.make_trickle(received)
        router = self.start(trickle, trickle)
        started = time.monotonic()
        response = self.stream(router, "/resume/x")
        self.assertTrue(response.complete)
        self.assertEqual(3, response.body.count(b"data:"))
        self.assertEqual(2, len(received))
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertTrue(received[0].wait_closed())

    def test_stalled_stream_that_may_not_be_resumed_ends_at_its_deadline(self):
        received = []
        router = self.start(self.make_trickle(received))
        response = self.stream(router, "/stream/x", deadline_ms=1_500)
        self.assertFalse(response.complete)
        self.assertEqual(1, len(received))
