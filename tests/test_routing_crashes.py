"""A request that crashes each endpoint that runs it."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import crashes
from tests import nodes


class CrashesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.crashes = crashes.CrashHistory(self.clock)

    def crash(self, number, fingerprint="bad"):
        self.crashes.record(crashes.Crash(fingerprint, f"i-{number}/1"))

    def test_request_is_barred_after_the_third_crash(self):
        for number in range(crashes.CRASH_LIMIT):
            self.assertFalse(self.crashes.is_barred("bad"))
            self.crash(number)
        self.assertTrue(self.crashes.is_barred("bad"))
        self.assertFalse(self.crashes.is_barred("good"))

    def test_one_crash_told_by_many_counts_once(self):
        for _ in range(5):
            self.crash(1)
        self.assertEqual(1, self.crashes.count("bad"))

    def test_peers_hear_of_crashes_for_a_while(self):
        self.crash(1)
        self.assertEqual(1, len(self.crashes.recent()))
        self.clock.advance(crashes.TELL_MS + 1)
        self.assertEqual([], self.crashes.recent())
        self.assertEqual(1, self.crashes.count("bad"))

    def test_crashes_are_forgotten_in_the_end(self):
        for number in range(crashes.CRASH_LIMIT):
            self.crash(number)
        self.clock.advance(crashes.MEMORY_MS + 1)
        self.assertFalse(self.crashes.is_barred("bad"))


class CrashingRequestTest(nodes.NodeTestCase):
    def test_request_that_crashes_servers_reaches_no_fourth(self):
        def crash(req):
            req.reset()
            for server in servers:
                if server.received and server.received[-1] is req:
                    server.stop()

        servers = [
            self.start_endpoint(nodes.PLAIN_SERVICE, crash) for _ in range(5)
        ]
        router = self.start_ready_node()
        for _ in range(5):
            self.call(router, "POST", "/unsafe/x", body=b"poison")
        self.assertEqual(3, sum(len(s.received) for s in servers))

    def test_lost_answers_of_living_servers_bar_nothing(self):
        servers = [
            self.start_endpoint(nodes.PLAIN_SERVICE, lambda a: a.reset())
            for _ in range(4)
        ]
        router = self.start_ready_node()
        for _ in range(12):
            self.call(router, "POST", "/unsafe/x", body=b"fine")
        self.assertEqual(12, sum(len(s.received) for s in servers))
