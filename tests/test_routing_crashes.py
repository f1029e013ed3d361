"""A request that crashes every endpoint that runs it is blocked."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import crash_blocks
from hornbeampier.routing import crashes
from tests import nodes


class CrashesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.crashes = crashes.CrashHistory(self.clock)

    def crash(self, number, fingerprint="bad"):
        self.crashes.record(crashes.Crash(fingerprint, f"i-{number}/1"))

    def test_request_is_blocked_after_the_third_crash(self):
        for number in range(crash_blocks.CRASH_LIMIT):
            self.assertFalse(self.crashes.is_blocked({"bad"}))
            self.crash(number)
        self.assertTrue(self.crashes.is_blocked({"bad"}))
        self.assertFalse(self.crashes.is_blocked({"good"}))

    def test_crash_reported_by_several_peers_counts_once(self):
        for _ in range(5):
            self.crash(1)
        self.assertEqual(1, self.crashes.count("bad"))

    def test_crash_is_gossiped_for_a_limited_time(self):
        self.crash(1)
        self.assertEqual(1, len(self.crashes.to_gossip()))
        self.clock.advance(crashes.GOSSIP_MS + 1)
        self.assertEqual([], self.crashes.to_gossip())
        self.assertEqual(1, self.crashes.count("bad"))

    def test_crashes_are_forgotten_after_the_retention_time(self):
        for number in range(crash_blocks.CRASH_LIMIT - 1):
            self.crash(number)
        self.clock.advance(crashes.RETENTION_MS + 1)
        self.assertEqual(0, self.crashes.count("bad"))

    def test_what_is_blocked_is_forgotten_much_later(self):
        for number in range(crash_blocks.CRASH_LIMIT):
            self.crash(number)
        self.assertTrue(self.crashes.is_blocked({"bad"}))
        self.clock.advance(crashes.BLOCK_RETENTION_MS - 1)
        self.assertTrue(self.crashes.is_blocked({"bad"}))
        self.clock.advance(2 + crashes.EXPIRY_INTERVAL_MS)
        self.assertFalse(self.crashes.is_blocked({"bad"}))

    def test_request_that_was_served_is_not_blamed_for_earlier_crashes(self):
        for number in range(10):
            self.crash(number, "popular")
            self.crashes.record_success({"popular"})
        self.assertFalse(self.crashes.is_blocked({"popular"}))
        self.assertEqual(0, self.crashes.count("popular"))

    def test_late_report_of_a_cleared_crash_changes_nothing(self):
        self.crash(1)
        self.crashes.record_success({"bad"})
        self.crash(1)
        self.assertEqual(0, self.crashes.count("bad"))

    def test_peers_hear_of_what_might_have_been_blocked_there(self):
        self.crash(1, "once")
        for number in (1, 2):
            self.crash(number, "twice")
        for fingerprint in ("once", "twice"):
            self.crashes.record_success({fingerprint})
        cleared = self.crashes.cleared_to_gossip()
        self.assertEqual(["twice"] * 2, [c.suspect for c in cleared])

    def test_success_of_another_request_clears_nothing(self):
        self.crash(1)
        self.crashes.record_success({"good"})
        self.assertEqual(1, self.crashes.count("bad"))


class CrashingRequestTest(nodes.NodeTestCase):
    # Guards against a popular request being refused because endpoints crashed
    # while it happened to run there.
    def test_equal_requests_are_served_after_crashes_beside_them(self):
        def handler(req):
            if stopping:
                endpoint = stopping.pop()
                req.close_connection()
                endpoint.stop()
            else:
                req.respond()

        endpoints = [
            self.start_endpoint(nodes.PLAIN_SERVICE, handler) for _ in range(5)
        ]
        router = self.start_ready_node()
        stopping = []
        for _ in range(4):
            self.call(router, "POST", "/safe/x", body=b"popular")
            before = [len(e.received) for e in endpoints]
            self.call(router, "POST", "/safe/x", body=b"popular")
            after = [len(e.received) for e in endpoints]
            changed = [a != b for a, b in zip(after, before, strict=True)]
            stopping.append(endpoints[changed.index(True)])
            self.call(router, "POST", "/safe/x", body=b"popular")
        response = self.call(router, "POST", "/safe/x", body=b"popular")
        self.assertEqual(200, response.status)

    def test_crashing_request_reaches_only_three_endpoints(self):
        def crash(req):
            req.close_connection()
            for endpoint in endpoints:
                if endpoint.received and endpoint.received[-1] is req:
                    endpoint.stop()

        endpoints = [
            self.start_endpoint(nodes.PLAIN_SERVICE, crash) for _ in range(5)
        ]
        router = self.start_ready_node()
        for _ in range(5):
            self.call(router, "POST", "/unsafe/x", body=b"poison")
        self.assertEqual(
            3, sum(len(endpoint.received) for endpoint in endpoints)
        )

    def test_lost_responses_of_live_endpoints_do_not_block_a_request(self):
        endpoints = [
            self.start_endpoint(
                nodes.PLAIN_SERVICE, lambda req: req.close_connection()
            )
            for _ in range(4)
        ]
        router = self.start_ready_node()
        for _ in range(12):
            self.call(router, "POST", "/unsafe/x", body=b"fine")
        self.assertEqual(
            12, sum(len(endpoint.received) for endpoint in endpoints)
        )
