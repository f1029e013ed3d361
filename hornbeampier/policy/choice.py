"""Chooses endpoints by estimated occupancy and speed."""

from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Protocol

from hornbeampier.endpoints import registry
from hornbeampier.policy import health
from hornbeampier.policy import tickets

REPORT_MAX_AGE_MS = 10_000.0
# Requests sent beyond an endpoint's slots, as a fraction of them, so that an
# engine can fill a freed slot at its next decoding step.
OVERCOMMIT = 0.125
# Additional fraction for the highest tier, whose requests may queue inside an
# engine, since it schedules by priority.
TOP_TIER_OVERCOMMIT = 0.25
# Raises the score of an endpoint by this fraction for each additional target
# that it serves, so that its slots are left to requests that no other endpoint
# can run.
SHARED_PENALTY = 0.6


class PeerHints(Protocol):
    """The load that the other VMs report in their hints."""

    def in_flight(self, endpoint: str) -> int:
        """Returns the number of the peers' requests at an endpoint."""
        ...

    def waiting_in_higher_tiers(self, target: str, tier: int) -> int:
        """Returns the number of the peers' waiting requests of higher tiers."""
        ...

    def is_waiting_with_fewer(
        self, target: str, tier: int, endpoints: Sequence[str], own: int
    ) -> bool:
        """Returns whether a peer waits and runs fewer than `own` requests."""
        ...

    def all_peers_live(self) -> bool:
        """Returns whether every listed peer sent a hint recently."""
        ...

    def live_peer_count(self) -> int:
        """Returns the number of peers that sent a hint recently."""
        ...


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen endpoint, or None, and why others were passed over."""

    endpoint: registry.EndpointState | None
    passed_over: tuple[tickets.PassedOver, ...]


class EndpointChooser:
    """Chooses the endpoint with the lowest score.

    The score is the estimated occupancy per slot, raised by `SHARED_PENALTY`
    and multiplied by the time between two tokens.
    """

    def __init__(self, peers: PeerHints, rng: random.Random):
        self._peers = peers
        self._random = rng

    def choose(
        self,
        states: list[registry.EndpointState],
        is_top_tier: bool,
        excluded: Container[str],
        now_ms: float,
    ) -> Choice:
        """Chooses an endpoint for one request.

        Args:
            states: The endpoints that serve the request's target.
            is_top_tier: Whether the request has the highest tier.
            excluded: Names of endpoints that the request must not use.
            now_ms: Monotonic time.
        """
        passed_over = []
        eligible_states = []
        for state in states:
            reason = self._exclusion_reason(
                state, is_top_tier, excluded, now_ms
            )
            if reason:
                passed_over.append(tickets.PassedOver(state.name, reason))
            else:
                eligible_states.append(state)
        if not eligible_states:
            return Choice(None, tuple(passed_over))
        default_inter_token_ms = health.median_inter_token_ms(states)
        best = min(
            eligible_states,
            key=lambda s: (
                self._score(s, now_ms, default_inter_token_ms),
                self._random.random(),
            ),
        )
        passed_over += [
            tickets.PassedOver(s.name, "busier")
            for s in eligible_states
            if s is not best
        ]
        return Choice(best, tuple(passed_over))

    def is_usable(self, state: registry.EndpointState, now_ms: float) -> bool:
        """Returns whether an endpoint is open and not on trial."""
        return health.is_open(state, now_ms) and not state.on_trial

    def occupancy(self, state: registry.EndpointState, now_ms: float) -> int:
        """Estimates the number of all VMs' requests at an endpoint."""
        peer_requests = self._peers.in_flight(state.name)
        report_is_recent = now_ms - state.reported_at_ms < REPORT_MAX_AGE_MS
        # The endpoint's report covers the peers whose hints are missing.
        if (
            state.report
            and report_is_recent
            and not self._peers.all_peers_live()
        ):
            peer_requests = max(peer_requests, state.other_vms_in_flight)
        return state.in_flight + peer_requests

    def _score(
        self,
        state: registry.EndpointState,
        now_ms: float,
        default_inter_token_ms: float,
    ) -> float:
        load = (self.occupancy(state, now_ms) + 1) / state.cfg.slots
        load *= 1 + SHARED_PENALTY * (len(state.cfg.serves) - 1)
        return load * max(1.0, state.inter_token_ms or default_inter_token_ms)

    def _exclusion_reason(
        self,
        state: registry.EndpointState,
        is_top_tier: bool,
        excluded: Container[str],
        now_ms: float,
    ) -> str | None:
        if health.is_leaving(state):
            return "leaving"
        if now_ms < state.ejected_until_ms:
            return "ejected"
        if state.on_trial and not health.allows_trial_request(
            state, is_top_tier, now_ms
        ):
            return "on_trial"
        if state.name in excluded:
            return "failed_before"
        if self.occupancy(state, now_ms) >= slot_limit(
            state.cfg.slots, is_top_tier
        ):
            return "full"
        return None


def slot_limit(slots: int, is_top_tier: bool) -> int:
    """Returns the number of requests at which an endpoint is full."""
    limit = slots + math.floor(slots * OVERCOMMIT)
    if is_top_tier:
        limit += math.ceil(slots * TOP_TIER_OVERCOMMIT)
    return limit
