"""Estimates of the free slots and the queueing delay of a target."""

import math

from hornbeampier import clock as clocks
from hornbeampier.endpoints import registry
from hornbeampier.policy import choice

MIN_SLOTS = 1.0
# How long a VM leaves a slot to a peer, which learns of it by the next hint.
MAX_YIELD_MS = 100.0


class Capacity:
    """Estimates a target's free slots and the wait in this VM's queue."""

    def __init__(
        self,
        chooser: choice.EndpointChooser,
        peers: choice.PeerHints,
        clock: clocks.Clock,
    ):
        self._chooser = chooser
        self._peers = peers
        self._clock = clock
        self._yielded_ms = -math.inf

    def yields_to_peer(
        self, states: list[registry.EndpointState], target: str, tier: int
    ) -> bool:
        """Returns whether a slot is left to a peer for a short time.

        That is so if a peer has a request of this tier waiting and runs fewer
        than this VM. Otherwise a VM that frees a slot would take it again, and
        one that has none would wait until the bursts of the others have ended.
        """
        own = sum(state.in_flight for state in states)
        names = [state.name for state in states]
        if not self._peers.is_waiting_with_fewer(target, tier, names, own):
            return False
        now_ms = self._clock.now()
        if now_ms - self._yielded_ms > 2 * MAX_YIELD_MS:
            self._yielded_ms = now_ms
        return now_ms - self._yielded_ms < MAX_YIELD_MS

    def has_slot_after_higher_tiers(
        self, states: list[registry.EndpointState], target: str, tier: int
    ) -> bool:
        """Returns whether peers' waiting requests of higher tiers fit too.

        That is so if none waits, or if more slots are free than requests wait.
        """
        waiting = self._peers.waiting_in_higher_tiers(target, tier)
        if waiting == 0:
            return True
        _, free = self._count_slots(states)
        return free > waiting

    def predict_wait_ms(
        self,
        states: list[registry.EndpointState],
        cost_ahead_ms: float,
    ) -> float:
        """Returns a lower bound on the wait for the requests ahead.

        Later arrivals of higher tiers are not counted. A burst of them may end
        at any time, but a request refused because of it could not be served
        then.
        """
        total, _ = self._count_slots(states)
        own_in_flight = sum(state.in_flight for state in states)
        # An equal fraction of the slots, unless this VM uses more already.
        own_slots = max(
            own_in_flight,
            total / (self._peers.live_peer_count() + 1),
            MIN_SLOTS,
        )
        return cost_ahead_ms / own_slots

    def _count_slots(
        self, states: list[registry.EndpointState]
    ) -> tuple[int, int]:
        """Returns the total and the free slots of the usable endpoints."""
        now_ms = self._clock.now()
        total = free = 0
        for state in states:
            if not self._chooser.is_usable(state, now_ms):
                continue
            total += state.cfg.slots
            busy = self._chooser.occupancy(state, now_ms)
            free += max(0, state.cfg.slots - busy)
        return total, free
