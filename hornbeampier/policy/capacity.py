"""What the endpoints of a target can take from each tier.

Lower tiers leave slots free for arrivals of higher ones, as far as these
could not wait for a slot to be released. With a share `p` of the released
slots taken by higher tiers and a release every `r` ms, an arrival that finds
`n` slots kept free waits longer than `w` with probability about
`p ** (n + 1) * exp(-(1 - p) * w / r)` (trunk reservation and an M/M/1 queue).
The headroom is the smallest `n` that keeps this below `MAX_BLOCKING`.
"""

import math

from hornbeampier import clock as clocks
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import demand
from hornbeampier.policy import durations

MAX_BLOCKING = 0.01
# Slots that may be kept free, as a share of all.
MAX_HEADROOM = 0.34
# Part of a class's time to the first token that may go into waiting.
WAIT_SHARE = 0.5


class Capacity:
    """Estimates free slots and waiting times for one VM."""

    def __init__(
        self,
        chooser: choice.EndpointChooser,
        peers: choice.PeerLoads,
        durations: durations.Durations,
        clock: clocks.Clock,
    ):
        self._durations = durations
        self._chooser = chooser
        self._peers = peers
        self._clock = clock
        self._classes: tuple[schema.RequestClass, ...] = ()
        self.offered = demand.OfferedLoad()

    def apply(self, cfg: schema.Configuration) -> None:
        """Takes the classes of a new configuration into use."""
        self._classes = cfg.classes

    def has_headroom(
        self, states: list[registry.EndpointState], tier: int
    ) -> bool:
        """Returns whether a request of `tier` leaves enough slots free."""
        total, free = self._count_slots(states)
        kept = self._headroom(tier, total)
        kept += self._peers.waiting_above(tier)
        return free > kept

    def predict_wait_ms(
        self,
        states: list[registry.EndpointState],
        cost_ahead_ms: float,
    ) -> float:
        """Returns how long `cost_ahead_ms` of waiting work takes at least.

        Later arrivals of higher tiers are left out: how long a burst lasts is
        unknown, and a request that is refused cannot use its end.
        """
        total, _ = self._count_slots(states)
        own = sum(state.in_flight for state in states)
        own_slots = max(own, total / (self._peers.count() + 1))
        return cost_ahead_ms / max(own_slots, 1.0)

    def _headroom(self, tier: int, total: int) -> int:
        vms = self._peers.count() + 1
        share = self._higher_slots(tier) * vms / max(1, total)
        if share <= 0:
            return 0
        limit = math.floor(total * MAX_HEADROOM)
        if share >= 1:
            return limit
        releases = self._tolerated_releases(tier, total / vms)
        exponent = math.log(MAX_BLOCKING) + (1 - share) * releases
        needed = math.ceil(exponent / math.log(share) - 1)
        return min(max(0, needed), limit)

    def _tolerated_releases(self, tier: int, own_slots: float) -> float:
        """Returns how many own slots free while a higher tier may wait."""
        waits = [self._tolerated_wait_ms(c) for c in self._higher(tier)]
        return min(waits) * own_slots / self._durations.mean_ms()

    def _tolerated_wait_ms(self, request_class: schema.RequestClass) -> float:
        wait_ms = request_class.max_wait_ms
        if request_class.first_token_ms is not None:
            wait_ms = min(wait_ms, request_class.first_token_ms)
        if request_class.complete_ms is not None:
            wait_ms = min(wait_ms, request_class.complete_ms)
        return wait_ms * WAIT_SHARE

    def _higher(self, tier: int) -> list[schema.RequestClass]:
        return [c for c in self._classes if c.tier < tier]

    def _higher_slots(self, tier: int) -> float:
        """Returns the slots that this VM's higher tiers keep busy."""
        now_ms = self._clock.now()
        return sum(
            self.offered.slots(c.name, now_ms) for c in self._higher(tier)
        )

    def _count_slots(
        self, states: list[registry.EndpointState]
    ) -> tuple[int, int]:
        """Returns all slots of the usable endpoints and the free ones."""
        now_ms = self._clock.now()
        total = free = 0
        for state in states:
            if not self._chooser.is_usable(state, now_ms):
                continue
            total += state.cfg.slots
            busy = self._chooser.occupancy(state, now_ms)
            free += max(0, state.cfg.slots - busy)
        return total, free
