"""A process that was paused acts on nothing that has run out meanwhile."""

import time

import gevent

from hornbeampier import clock as clocks
from tests import nodes


class PausedProcessTest(nodes.NodeTestCase):
    def test_clock_counts_the_time_of_suspensions(self):
        before = time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0
        now_ms = clocks.SystemClock().now()
        after = time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0
        self.assertTrue(before <= now_ms <= after)

    def pause_while_connecting(self, pause_s):
        """Returns a node that is paused before each attempt is sent."""
        self.endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.respond()
        )
        router = self.start_ready_node()
        pool = router._connection_pool
        acquire = pool.acquire

        def slow_acquire(endpoint, request_id):
            conn = acquire(endpoint, request_id)
            gevent.sleep(pause_s)
            return conn

        self.patch(pool, "acquire", slow_acquire)
        return router

    # Guards against a request that is sent after its deadline has passed, and
    # against saying then that it may have run.
    def test_request_is_not_sent_after_its_deadline(self):
        router = self.pause_while_connecting(0.5)
        deadline = {"X-Hornbeampier-Deadline-Ms": "300"}
        response = self.call(
            router, "POST", "/unsafe/x", headers=deadline, body=b"x"
        )
        self.assertEqual(503, response.status)
        self.assertEqual([], self.endpoint.received)

    def test_endpoint_gets_the_time_that_is_left_after_a_pause(self):
        router = self.pause_while_connecting(0.5)
        deadline = {"X-Hornbeampier-Deadline-Ms": "2000"}
        response = self.call(
            router, "POST", "/unsafe/x", headers=deadline, body=b"x"
        )
        self.assertEqual(200, response.status)
        headers = self.endpoint.received[0].headers
        self.assertLess(int(headers["x-hornbeampier-deadline-ms"]), 1_600)
