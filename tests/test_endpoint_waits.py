"""Endpoints that turn requests away and name a time to wait."""

import gevent

from hornbeampier import clock as clocks
from tests import announcing_endpoint
from tests import nodes

CLOCK = clocks.SystemClock()


class AnnouncedWaitTest(nodes.NodeTestCase):
    def start(self, waiting_count=1, serving_count=1, wait_s=2.0):
        self.waiting = []
        for _ in range(waiting_count):
            handler = announcing_endpoint.AnnouncingEndpoint()
            handler.wait_s = wait_s
            self.waiting.append(handler)
            self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        for _ in range(serving_count):
            handler = announcing_endpoint.AnnouncingEndpoint()
            handler.delay_s = 0.1
            self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        return self.start_ready_node()

    def call_for(self, router, duration_ms, interval_s=0.02):
        responses = []
        end_ms = CLOCK.now() + duration_ms
        while CLOCK.now() < end_ms:
            request_id = {"X-Hornbeampier-Attempt-Id": f"vm/{len(responses)}"}
            responses.append(self.call(router, headers=request_id))
            gevent.sleep(interval_s)
        return responses

    # Guards against BUDGET: requests to an endpoint that has asked for none.
    def test_endpoint_that_asks_for_a_wait_is_left_alone(self):
        router = self.start(waiting_count=2)
        while not all(endpoint.arrivals for endpoint in self.waiting):
            self.call(router)
        calls = [gevent.spawn(self.call_for, router, 1_600.0) for _ in range(8)]
        responses = [r for call in calls for r in call.get()]
        self.assertEqual({200}, {r.status for r in responses})
        for endpoint in self.waiting:
            self.assertEqual(1, len(endpoint.arrivals))

    def test_endpoint_serves_again_after_its_wait(self):
        router = self.start(serving_count=0, wait_s=0.3)
        self.call_for(router, 200.0)
        self.waiting[0].wait_s = None
        gevent.sleep(0.3)
        self.call_for(router, 600.0)
        self.assertGreater(len(self.waiting[0].arrivals), 5)

    def test_callers_learn_when_to_return_if_all_endpoints_wait(self):
        router = self.start(waiting_count=2, serving_count=0, wait_s=0.4)
        responses = self.call_for(router, 150.0)
        self.assertEqual({503}, {r.status for r in responses})
        last = responses[-1]
        self.assertIn(b"throttled", last.body)
        delays = {r.headers["retry-after"] for r in responses[2:]}
        self.assertGreater(len(delays), 1)
        self.assertLessEqual(max(map(float, delays)), 0.9)
        self.assertEqual(2, sum(len(e.arrivals) for e in self.waiting))

    def test_unusable_wait_changes_nothing(self):
        router = self.start(
            serving_count=0, wait_s="Fri, 04 Dec 2026 10:00:00 GMT"
        )
        self.call_for(router, 500.0)
        self.assertGreater(len(self.waiting[0].arrivals), 2)
