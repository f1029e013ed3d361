"""Restarted VMs learn what the engines' prefix caches hold."""

import json

import gevent
import testtools

from hornbeampier import clock as clocks
from hornbeampier.forwarding import cache_survey
from hornbeampier.peers import gossip
from hornbeampier.peers import membership
from tests import nodes
from tests import store_standin

CACHE_LIST = {
    "epoch": 1,
    "next": 5,
    "held": [["", "aa", 600, "m"], ["", "bb", 300, "m"]],
}


class SettleTest(testtools.TestCase):
    def test_late_seed_is_contacted_again_before_the_survey(self):
        clock = clocks.ManualClock()
        members = membership.Membership("10.0.0.1", ["10.0.0.2"], clock)
        self.assertEqual(["10.0.0.2"], members.targets())
        clock.advance(cache_survey.SETTLE_MS - gossip.BURST_INTERVAL_MS)
        self.assertEqual(["10.0.0.2"], members.targets())


class CacheSurveyTest(nodes.NodeTestCase):
    def start_two_routers(self):
        control, peer_port = nodes.free_port(), nodes.free_port()
        return [
            self.start_ready_node(
                host=host,
                control=nodes.settings.Address(host, control),
                seeds=(nodes.settings.Address("127.0.0.2", control),),
                peer_port=peer_port,
                bootstrap=False,
            )
            for host in ("127.0.0.2", "127.0.0.3")
        ]

    def cached_segments(self, router):
        state = router._fleet.all()[0]
        return set(state.prefix_cache._segments)

    def test_list_queried_by_one_vm_reaches_all_vms(self):
        def handler(req):
            # The stand-in echoes this header, which a survey does not send.
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(json.dumps(CACHE_LIST).encode())

        endpoint = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        both_routers = self.start_two_routers()
        for router in both_routers:
            store_standin.wait_until(
                lambda router=router: (
                    self.cached_segments(router) == {"aa", "bb"}
                )
            )
        request_lines = {req.request_line for req in endpoint.received}
        self.assertEqual({"GET /kv-list HTTP/1.1"}, request_lines)

    def test_survey_reads_announcements_and_keeps_to_them(self):
        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(
                json.dumps(CACHE_LIST).encode(), headers=["Server-Leaving: 1"]
            )

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_two_routers()[0]
        endpoint = router._fleet.all()[0].endpoint
        store_standin.wait_until(
            lambda: router._announcements.is_leaving(endpoint)
        )

    def check_second_engine_gets_nothing(self, make_entry):
        """Changes the second engine's entry while the first one is queried."""
        engines = []

        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = ""
            others = [e for e in engines if req not in e.received]
            if not any(e.received for e in others):
                self.change_entry(others[0], make_entry(others[0]))
            req.respond(json.dumps(CACHE_LIST).encode())

        for _ in range(2):
            engines.append(self.start_endpoint(nodes.ENGINE_SERVICE, handler))
        control = nodes.free_port()
        self.router = self.start_ready_node(
            control=nodes.settings.Address(nodes.HOST, control),
            bootstrap=False,
        )
        store_standin.wait_until(lambda: any(e.received for e in engines))
        gevent.sleep(0.5)
        self.assertEqual([0, 1], sorted(len(e.received) for e in engines))

    def change_entry(self, engine, record):
        known = self.router.catalog.endpoints
        previous = known[engine.id]
        self.store.put_endpoint(engine.id, record)
        store_standin.wait_until(lambda: known.get(engine.id) != previous)

    def test_engine_that_leaves_meanwhile_is_not_queried(self):
        self.check_second_engine_gets_nothing(
            lambda engine: nodes.endpoint_record(
                nodes.ENGINE_SERVICE, engine.address, state="draining"
            )
        )

    # Guards against queries to an engine whose entry was removed during the
    # survey: another endpoint may have its address.
    def test_engine_that_is_removed_meanwhile_is_not_queried(self):
        self.check_second_engine_gets_nothing(lambda engine: None)

    # Guards against LOST: a copy of the refusal of another request, ahead of
    # the list, marks a sound engine as leaving.
    def test_response_to_another_request_is_skipped(self):
        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = "id-refused"
            req.respond(
                b"full", "503 Service Unavailable", ["Server-Leaving: 1"]
            )
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(json.dumps(CACHE_LIST).encode())

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        for router in self.start_two_routers():
            store_standin.wait_until(
                lambda router=router: (
                    self.cached_segments(router) == {"aa", "bb"}
                )
            )
            endpoint = router._fleet.all()[0].endpoint
            self.assertFalse(router._announcements.is_leaving(endpoint))

    def test_unreadable_list_is_ignored(self):
        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(b'{"held": [["", 7]]}')

        endpoint = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        both_routers = self.start_two_routers()
        store_standin.wait_until(lambda: endpoint.received)
        for router in both_routers:
            self.assertEqual(set(), self.cached_segments(router))
