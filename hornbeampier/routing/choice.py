"""Chooses the endpoint of a request."""

from collections.abc import Callable
from collections.abc import Container
import math
import random
from typing import Protocol

from hornbeampier.routing import affinity
from hornbeampier.routing import choices
from hornbeampier.routing import estimates
from hornbeampier.routing import fleet
from hornbeampier.routing import kinds
from hornbeampier.routing import model
from hornbeampier.routing import overload
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pools
from hornbeampier.routing import reading
from hornbeampier.routing import requests
from hornbeampier.routing import speed

# Time of an answer of a plain service, before it is measured; only the
# differences between endpoints count.
PLAIN_ANSWER_MS = 20.0
# What a token that is read again costs all others, beside its own wait.
REREAD_WEIGHT = 6.0
# Engines that are compared: those preferred for a prompt's parts, and some at
# random. VMs that all compared all engines would choose the same one at once.
PREFERRED_COUNT = 2
RANDOM_COUNT = 3
# Bonus of the engine that all VMs prefer, as a part of the shared tokens.
PREFERENCE = 0.3
# What an engine that reads all of its time adds to the time of its streams, in
# ms of wait.
READING_MS = 400.0
# How much of its target a request may wait before it leaves its pool.
POOL_WAIT_SHARE = 0.4
# How many times shorter the wait in the other pool has to be.
LEAVE_FACTOR = 2.0
# What a batch prompt may find and bring at an interactive engine: its wait, two
# chunks to read, and the part of its time that the engine reads already.
MAX_GUEST_WAIT_MS = 300.0
MAX_GUEST_TOKENS = 4_096
MAX_GUEST_READING_SHARE = 0.5


class Chooser(Protocol):
    """Chooses among the endpoints of a service."""

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> choices.Choice | None:
        """Returns an endpoint outside `tried`, or None if there is none."""
        ...


class LeastLoaded:
    """Chooses for services whose requests are alike."""

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
    ) -> choices.Choice | None:
        """Returns the endpoint with the fewest requests for its slots."""
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        state = min(found, key=lambda s: (self._load(s), self._rng.random()))
        return choices.Choice(state, expected_ms=PLAIN_ANSWER_MS)

    def _load(self, state: fleet.EndpointState) -> float:
        peers = self._peers.total(state.id)
        total = 1 + state.in_flight + peers.in_flight
        slowness = speed.slowness(state.speed.sample(), peers.answered)
        return slowness * total / max(1, state.endpoint.slots)


class EngineChooser:
    """Chooses for generations, by cached prompt parts and by load."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        pools: pools.Pools,
        found_kinds: kinds.Kinds,
        reading: reading.ReadingMeter,
        wait_limit: overload.WaitLimit,
        traits: Callable[[str], model.EngineTraits | None],
        rng: random.Random,
    ):
        self._fleet = fleet
        self._peers = peers
        self._pools = pools
        self._kinds = found_kinds
        self._reading = reading
        self._wait_limit = wait_limit
        self._traits = traits
        self._rng = rng

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> choices.Choice | None:
        """Returns the engine that is expected to read the prompt first."""
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        split = self._pools.split(req, found)
        best = self._best(req, split.own)
        is_late = best.wait_ms > req.route.target_ms * POOL_WAIT_SHARE
        if not is_late and self._wait_limit.accepts(req, best):
            return best
        elsewhere = self._best(req, split.others)
        if elsewhere and self._may_move(req, best, elsewhere):
            return elsewhere
        return best

    def _may_move(
        self,
        req: requests.Request,
        best: choices.Choice,
        elsewhere: choices.Choice,
    ) -> bool:
        """Whether a prompt goes to an engine of another pool.

        A batch prompt does so only where it disturbs the others little.
        """
        if self._kinds.kind_of(req) is not kinds.Kind.BATCH:
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
    ) -> choices.Choice | None:
        """Returns the engine with the lowest cost, if there is any."""
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
        prompt: model.Prompt,
        states: list[fleet.EndpointState],
        preferred: list[str],
    ) -> list[fleet.EndpointState]:
        """Returns the engines to compare, among them the best holder."""
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
            holder.cached.leading_tokens(req.prompt)
            < estimates.MIN_FETCH_TOKENS
        ):
            holder = None
        return estimates.Estimator(
            req.prompt,
            self._peers,
            self._reading,
            self._traits(req.service),
            self._kinds.mean_tokens(req),
            holder,
        )
