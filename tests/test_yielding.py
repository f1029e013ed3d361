"""VMs that share slots when each has a burst of its own."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.policy import capacity

TARGET = "notes"
TIER = 2


class Endpoint:
    name = "engine-1"

    def __init__(self, in_flight):
        self.in_flight = in_flight


class Peer:
    """The only peer; it waits for the target and runs some requests."""

    def __init__(self, running, waiting_tier=TIER):
        self.running = running
        self.waiting_tier = waiting_tier

    def is_waiting_with_fewer(self, target, tier, endpoints, own):
        return tier == self.waiting_tier and self.running < own


class YieldTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()

    def yields(self, own, peer):
        self.capacity = capacity.Capacity(None, peer, self.clock)
        return self.ask(own)

    def ask(self, own):
        return self.capacity.yields_to_peer([Endpoint(own)], TARGET, TIER)

    # Guards against a VM without slots waiting until the bursts of all other
    # VMs have ended, as each VM takes the slots again that it frees.
    def test_freed_slot_is_left_to_a_peer_with_fewer(self):
        self.assertTrue(self.yields(1, Peer(running=0)))

    def test_slot_is_taken_if_no_peer_has_fewer(self):
        self.assertFalse(self.yields(1, Peer(running=1)))
        self.assertFalse(self.yields(0, Peer(running=0)))

    def test_slot_is_taken_if_peers_wait_in_other_tiers_only(self):
        self.assertFalse(self.yields(2, Peer(running=0, waiting_tier=1)))

    def test_slot_that_the_peer_does_not_take_is_not_left_idle_for_long(self):
        self.assertTrue(self.yields(2, Peer(running=0)))
        self.clock.advance(capacity.MAX_YIELD_MS)
        self.assertFalse(self.ask(2))
        self.clock.advance(2 * capacity.MAX_YIELD_MS)
        self.assertTrue(self.ask(2))
