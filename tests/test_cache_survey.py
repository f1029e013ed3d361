"""VMs that restart learn what the engines still keep."""

import json

import testtools

from hornbeampier import clock as clocks
from hornbeampier.forwarding import cache_survey
from hornbeampier.peers import gossip
from hornbeampier.peers import membership
from tests import nodes
from tests import store_standin

LIST = {
    "epoch": 1,
    "next": 5,
    "held": [["", "aa", 600, "m"], ["", "bb", 300, "m"]],
}


class SettleTest(testtools.TestCase):
    def test_seed_that_starts_late_is_tried_again_before_the_survey(self):
        clock = clocks.ManualClock()
        members = membership.Membership("10.0.0.1", ["10.0.0.2"], clock)
        self.assertEqual(["10.0.0.2"], members.targets())
        clock.advance(cache_survey.SETTLE_MS - gossip.BURST_INTERVAL_MS)
        self.assertEqual(["10.0.0.2"], members.targets())


class CacheSurveyTest(nodes.NodeTestCase):
    def start_pair(self):
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

    def kept(self, router):
        state = router._fleet.all()[0]
        return set(state.prefix_cache._parts)

    def test_every_vm_knows_what_one_of_them_asked(self):
        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(json.dumps(LIST).encode())

        server = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        pair = self.start_pair()
        for router in pair:
            store_standin.wait_until(
                lambda router=router: self.kept(router) == {"aa", "bb"}
            )
        lines = {req.line for req in server.received}
        self.assertEqual({"GET /kv-list HTTP/1.1"}, lines)

    def test_unreadable_list_changes_nothing(self):
        def handler(req):
            req.headers["x-hornbeampier-attempt-id"] = ""
            req.respond(b'{"held": [["", 7]]}')

        server = self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        pair = self.start_pair()
        store_standin.wait_until(lambda: server.received)
        for router in pair:
            self.assertEqual(set(), self.kept(router))
