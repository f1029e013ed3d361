"""Segments of prompts that crash each engine that begins a response."""

import itertools

import gevent

from hornbeampier.forwarding import crash_guard
from tests import crashing_engines
from tests import nodes

HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
ENGINES = 9
# The platform's rule counts from this time after the fifth crash.
STABLE_S = 3.0
COUNTED_CRASHES = 5
MAX_LATER_ARRIVALS = 3
CALL_INTERVAL_S = 0.2
CRASHING, FIRST = "badbad00", "5c1e07a2"


class CrashingSegmentTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.engines = crashing_engines.CrashingEngines(
            self, [CRASHING], ENGINES
        )
        self.vms = self.start_vms(HOSTS)
        self.turns = itertools.cycle(self.vms)
        self.numbers = itertools.count(1)

    def ask(self, *segment_ids):
        """Sends a prompt to the next VM and returns the response's status."""
        headers = crashing_engines.prompt_headers(*segment_ids)
        path = f"/stream/{next(self.numbers)}"
        return self.call(next(self.turns), "POST", path, headers=headers).status

    def crash_engines(self):
        """Sends crashing prompts, no two alike, until five engines ended."""
        for number in range(3 * COUNTED_CRASHES):
            if len(self.engines.crashed_ms) >= COUNTED_CRASHES:
                break
            self.ask(FIRST, CRASHING, f"{number:08x}")
            gevent.sleep(CALL_INTERVAL_S)
        gevent.sleep(STABLE_S)

    # Guards against BUDGET: prompts that are all different, but for a segment
    # that crashes engines, ending one engine after the other through any VM.
    def test_crashing_segment_is_blocked_on_all_vms(self):
        self.crash_engines()
        before = len(self.engines.arrivals_ms)
        for number in range(12):
            self.ask(FIRST, f"a{number:07x}", CRASHING)
            self.ask(CRASHING)
        later = len(self.engines.arrivals_ms) - before
        self.assertLessEqual(later, MAX_LATER_ARRIVALS)

    # Guards against LOST: prompts that share the account and all other
    # segments with crashing ones being refused together with them.
    def test_prompts_without_the_crashing_segment_are_served(self):
        self.crash_engines()
        statuses = []
        for _ in range(20):
            self.ask(FIRST, CRASHING)
            statuses.append(self.ask(FIRST))
            statuses.append(self.ask(FIRST, "00000001"))
        self.assertEqual([200] * 40, statuses)


class LongStreamTest(nodes.NodeTestCase):
    # Guards against the streams that a crash interrupts being blamed for it.
    def test_stream_that_went_on_for_a_while_is_no_suspect(self):
        def handler(req):
            req.begin_stream()
            req.send_event(1)
            gevent.sleep(crash_guard.MAX_BEGIN_MS / 1_000 + 0.1)
            endpoint.stop()
            req.close_connection()

        endpoint = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        headers = crashing_engines.prompt_headers(FIRST)
        response = self.call(router, "POST", "/stream/x", headers=headers)
        self.assertFalse(response.complete)
        self.assertEqual([], router._crashes.to_gossip())
