"""Choice of an endpoint by estimated occupancy."""

import dataclasses
import math
import random
from typing import Protocol

from hornbeampier.endpoints import registry
from hornbeampier.policy import queues

REPORT_MAX_AGE_MS = 10_000.0
# Slots kept free for higher tiers, for each rank below the highest.
RESERVED_PER_RANK = 0.08
MAX_RESERVED = 0.3
# The highest tier may wait inside an engine, which orders by priority.
TOP_OVERCOMMIT = 0.25


class PeerLoads(Protocol):
    """What the other VMs say about their own work."""

    def in_flight(self, endpoint: str) -> int:
        """Returns the peers' requests at an endpoint."""
        ...

    def complete(self) -> bool:
        """Returns whether every live peer was heard recently."""
        ...


@dataclasses.dataclass(frozen=True)
class Choice:
    """A chosen endpoint, or None, and the ones passed over."""

    endpoint: registry.EndpointState | None
    passed_over: tuple[queues.PassedOver, ...]


class EndpointChooser:
    """Chooses the endpoint with the lowest estimated occupancy."""

    def __init__(self, peers: PeerLoads, rng: random.Random):
        self._peers = peers
        self._random = rng

    def choose(
        self,
        states: list[registry.EndpointState],
        rank: int,
        excluded: frozenset[str],
        now_ms: float,
    ) -> Choice:
        """Chooses for a request whose tier has `rank`, 0 the highest."""
        passed_over = []
        open_states = []
        for state in states:
            reason = self._find_obstacle(state, rank, excluded, now_ms)
            if reason:
                passed_over.append(queues.PassedOver(state.name, reason))
            else:
                open_states.append(state)
        if not open_states:
            return Choice(None, tuple(passed_over))
        best = min(
            open_states,
            key=lambda s: (self._score(s, now_ms), self._random.random()),
        )
        passed_over += [
            queues.PassedOver(s.name, "busier")
            for s in open_states
            if s is not best
        ]
        return Choice(best, tuple(passed_over))

    def occupancy(self, state: registry.EndpointState, now_ms: float) -> int:
        """Returns the estimated requests at an endpoint, from all VMs."""
        others = self._peers.in_flight(state.name)
        fresh = now_ms - state.reported_at_ms < REPORT_MAX_AGE_MS
        if state.report and fresh and not self._peers.complete():
            others = max(others, state.foreign)
        return state.in_flight + others

    def _score(self, state: registry.EndpointState, now_ms: float) -> float:
        busy = (self.occupancy(state, now_ms) + 1) / state.cfg.slots
        return busy * max(1.0, state.token_gap_ms)

    def _find_obstacle(
        self,
        state: registry.EndpointState,
        rank: int,
        excluded: frozenset[str],
        now_ms: float,
    ) -> str | None:
        if state.leaving or (state.report and state.report.leaving):
            return "leaving"
        if now_ms < state.ejected_until_ms:
            return "ejected"
        if state.name in excluded:
            return "failed_before"
        if self.occupancy(state, now_ms) >= slot_limit(state.cfg.slots, rank):
            return "full"
        return None


def slot_limit(slots: int, rank: int) -> int:
    """Returns how many requests may run before `rank` has to wait."""
    if rank == 0:
        return slots + math.ceil(slots * TOP_OVERCOMMIT)
    reserved = min(MAX_RESERVED, RESERVED_PER_RANK * (rank - 1))
    return max(1, slots - math.floor(slots * reserved))
