"""A VM's view of its peers' load must follow every hint and expiry."""

import msgspec
import testtools

from hornbeampier import clock
from hornbeampier.coordination import records
from hornbeampier.vms import hints
from hornbeampier.vms import messages
from tests import processes

INTERVAL_MS = 100.0
PEER_TIMEOUT_MS = hints.MAX_MISSED_INTERVALS * INTERVAL_MS


def listed(*names):
    return tuple(
        records.ListedVm(n, "zone-1", processes.HOST, hint_port=1)
        for n in names
    )


class HintExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.exchange = hints.HintExchange(
            "own",
            processes.HOST,
            0,
            self.clock,
            lambda sequence: None,
            lambda hint: None,
            INTERVAL_MS,
        )
        self.exchange.apply_vm_list(listed("own", "a", "b"))

    def receive(self, vm, sequence, in_flight, **more):
        waiting = {"notes": {1: 2}}
        hint = messages.Hint(vm, 1, sequence, 0, in_flight, waiting, {}, **more)
        data = msgspec.msgpack.encode(hint)
        self.exchange._accept(msgspec.msgpack.decode(data, type=messages.Hint))

    def view(self):
        exchange = self.exchange
        return (
            exchange.in_flight("e"),
            exchange.live_peer_count(),
            exchange.all_peers_live(),
        )

    def test_view_follows_every_hint_and_expiry(self):
        self.assertEqual((0, 0, False), self.view())
        self.receive("a", 1, {"e": 3}, suspects_at=("e",))
        self.assertEqual((3, 1, False), self.view())
        self.assertTrue(self.exchange.runs_suspect("e"))
        self.clock.advance(PEER_TIMEOUT_MS / 2)
        self.receive("b", 1, {"e": 4}, reserved=("e",))
        self.assertEqual((7, 2, True), self.view())
        self.assertEqual(4, self.exchange.waiting_in_higher_tiers("notes", 2))
        self.assertTrue(
            self.exchange.is_waiting_with_fewer("notes", 1, ["e"], 4)
        )
        self.assertFalse(
            self.exchange.is_waiting_with_fewer("notes", 1, ["e"], 3)
        )
        self.assertFalse(
            self.exchange.is_waiting_with_fewer("notes", 2, ["e"], 4)
        )
        # Requests that wait for another target do not count.
        self.assertEqual(
            0, self.exchange.waiting_in_higher_tiers("guidance", 2)
        )
        self.receive("b", 1, {"e": 9})
        self.assertEqual((7, 2, True), self.view())
        self.receive("b", 2, {"e": 5})
        self.assertEqual((8, 2, True), self.view())
        self.assertFalse(self.exchange.is_reserved("e"))
        self.exchange.apply_vm_list(listed("own", "a", "b", "c"))
        self.assertEqual((8, 2, False), self.view())
        self.clock.advance(PEER_TIMEOUT_MS / 2 + 1)
        self.assertEqual((5, 1, False), self.view())
        self.clock.advance(PEER_TIMEOUT_MS)
        self.assertEqual((0, 0, False), self.view())
