"""Chooses the endpoint of a request."""

from collections.abc import Callable
from collections.abc import Container
import math
import random
from typing import Protocol

from hornbeampier.routing import affinity
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import estimates
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import load_shedding
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests

# Expected response time of a plain service, as none is declared. Only the
# differences between endpoints matter.
PLAIN_ANSWER_MS = 20.0
# Cost of recomputing uncached tokens, relative to their own prefill time: it
# also delays all other requests on the engine.
REREAD_WEIGHT = 6.0
# Number of engines that are compared: those that the prompt's segments hash to,
# and a random sample. If all VMs compared all engines, they would pick the same
# engine at the same moment.
PREFERRED_COUNT = 2
RANDOM_COUNT = 3
# Bonus of the engine that all VMs rank first, as a fraction of the prefill time
# of the shared segments.
PREFERENCE = 0.3
# Cost, in ms of wait, of an engine that spends all of its time on prefill: its
# streams decode more slowly.
READING_MS = 400.0
# A request may spill over to another pool if its wait exceeds this fraction of
# its latency target.
POOL_WAIT_SHARE = 0.4
# How many times shorter the wait in the other pool must be.
LEAVE_FACTOR = 2.0
# Limits for a batch prompt that spills over to an interactive engine: its wait,
# its own prefill (two chunks), and the fraction of time that the engine already
# spends on prefill.
MAX_GUEST_WAIT_MS = 300.0
MAX_GUEST_TOKENS = 4_096
MAX_GUEST_READING_SHARE = 0.5


class Chooser(Protocol):
    """Interface for choosing an endpoint of a request's service."""

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns an endpoint that is not in `tried`, or None."""
        ...


class LeastLoadedChooser:
    """Least-requests balancing, for services whose requests cost the same."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        rng: random.Random,
    ):
        self._fleet = fleet
        self._peers = peers
        self._rng = rng

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the endpoint with the fewest requests per slot.

        The load is weighted by how slowly the endpoint responds.
        """
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        state = min(found, key=lambda s: (self._load(s), self._rng.random()))
        return endpoint_choice.EndpointChoice(
            state, expected_ms=PLAIN_ANSWER_MS
        )

    def _load(self, state: fleet.EndpointState) -> float:
        peers = self._peers.total(state.id)
        total = 1 + state.in_flight + peers.in_flight
        slowness = latency.slowness(state.latency.sums(), peers.answered)
        return slowness * total / max(1, state.endpoint.slots)


class EngineChooser:
    """Chooses an engine for a prompt by cached prefix and by load."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        pools: pools.EnginePools,
        found_kinds: prompt_kinds.PromptClassifier,
        prefill_meter: prefill.PrefillMeter,
        wait_limit: load_shedding.LoadShedder,
        traits: Callable[[str], domain.EngineTraits | None],
        rng: random.Random,
    ):
        self._fleet = fleet
        self._peers = peers
        self._pools = pools
        self._classifier = found_kinds
        self._prefill_meter = prefill_meter
        self._wait_limit = wait_limit
        self._traits = traits
        self._rng = rng

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the cheapest engine of the request's pool.

        If the wait there is too long, an engine of another pool may be chosen.
        """
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        split = self._pools.split(req, found)
        best = self._best(req, split.own)
        is_late = best.wait_ms > req.route.latency_target_ms * POOL_WAIT_SHARE
        if not is_late and self._wait_limit.accepts(req, best):
            return best
        elsewhere = self._best(req, split.others)
        if elsewhere and self._may_move(req, best, elsewhere):
            return elsewhere
        return best

    def _may_move(
        self,
        req: requests.Request,
        best: endpoint_choice.EndpointChoice,
        elsewhere: endpoint_choice.EndpointChoice,
    ) -> bool:
        """Whether a prompt may spill over to an engine of another pool.

        A batch prompt may do so only where it barely delays other requests.
        """
        if self._classifier.kind_of(req) is not prompt_kinds.PromptKind.BATCH:
            return elsewhere.wait_ms < best.wait_ms / LEAVE_FACTOR
        return (
            elsewhere.wait_ms <= MAX_GUEST_WAIT_MS
            and elsewhere.prefill_tokens <= MAX_GUEST_TOKENS
            and elsewhere.reading_share <= MAX_GUEST_READING_SHARE
        )

    def _best(
        self,
        req: requests.Request,
        states: list[fleet.EndpointState],
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the engine with the lowest cost, or None without engines."""
        if not states:
            return None
        prompt = req.prompt
        preferred = affinity.preferred(
            prompt, [s.id for s in states], PREFERRED_COUNT
        )
        estimate = self._make_estimator(req).estimate
        bonus = PREFERENCE * estimates.reading_ms(
            affinity.shared_tokens(prompt)
        )
        found = None
        lowest_cost = math.inf
        for state in self._sample(prompt, states, preferred):
            chosen = estimate(state)
            cost = chosen.wait_ms + REREAD_WEIGHT * chosen.missing_ms
            cost += READING_MS * chosen.reading_share
            if state.id == preferred[0]:
                cost -= bonus
            if cost < lowest_cost:
                found, lowest_cost = chosen, cost
        return found

    def _sample(
        self,
        prompt: domain.Prompt,
        states: list[fleet.EndpointState],
        preferred: list[str],
    ) -> list[fleet.EndpointState]:
        """Returns the engines to compare.

        The one that holds the longest cached prefix is always included.
        """
        if len(states) <= PREFERRED_COUNT + RANDOM_COUNT:
            return states
        holder = estimates.find_holder(prompt, states)
        found = {state.id: state for state in states if state.id in preferred}
        found[holder.id] = holder
        for state in self._rng.sample(states, RANDOM_COUNT):
            found[state.id] = state
        return list(found.values())

    def _make_estimator(self, req: requests.Request) -> estimates.Estimator:
        serving = self._fleet.candidates(req.service)
        holder = estimates.find_holder(req.prompt, serving)
        if (
            holder.prefix_cache.leading_tokens(req.prompt)
            < estimates.MIN_FETCH_TOKENS
        ):
            holder = None
        return estimates.Estimator(
            req.prompt,
            self._peers,
            self._prefill_meter,
            self._traits(req.service),
            self._classifier.mean_tokens(req),
            holder,
        )
