"""Restarted VMs learn what the engines' prefix caches hold."""

import json

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
        clock.advance(cache_survey.SETTLE_MS - gossip.GROUP_INTERVAL_MS)
        self.assertEqual(["10.0.0.2"], members.targets())


class CacheSurveyTest(nodes.NodeTestCase):
    def start_two_nodes(self):
        control, peer_port = nodes.free_port(), nodes.free_port()
        return [
            self.start_ready_node(
                host=host,
                control=nodes.settings.Address(host, control),
                seeds=(nodes.settings.Address("127.0.0.2", control),),
                peer_port=peer_port,
                first_start=False,
            )
            for host in ("127.0.0.2", "127.0.0.3")
        ]

    def cached_segments(self, node):
        state = node._fleet.all()[0]
        return set(state.prefix_cache._segments)

    def test_list_queried_by_one_vm_reaches_all_vms(self):
        def behave(arrival):
            arrival.headers["x-hornbeampier-attempt-id"] = ""
            arrival.answer(json.dumps(CACHE_LIST).encode())

        server = self.start_server(nodes.ENGINES, behave)
        both_nodes = self.start_two_nodes()
        for node in both_nodes:
            store_standin.wait_until(
                lambda node=node: self.cached_segments(node) == {"aa", "bb"}
            )
        request_lines = {arrival.line for arrival in server.arrivals}
        self.assertEqual({"GET /kv-list HTTP/1.1"}, request_lines)

    def test_unreadable_list_is_ignored(self):
        def behave(arrival):
            arrival.headers["x-hornbeampier-attempt-id"] = ""
            arrival.answer(b'{"held": [["", 7]]}')

        server = self.start_server(nodes.ENGINES, behave)
        both_nodes = self.start_two_nodes()
        store_standin.wait_until(lambda: server.arrivals)
        for node in both_nodes:
            self.assertEqual(set(), self.cached_segments(node))
