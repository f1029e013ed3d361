"""Chooses the endpoint of a request."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math
import random
from typing import Protocol

from hornbeampier.routing import affinity
from hornbeampier.routing import fleet
from hornbeampier.routing import model
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pools
from hornbeampier.routing import requests
from hornbeampier.routing import speed

# Time to the first event of a prompt that needs no reading.
FIRST_EVENT_MS = 40.0
# Time of an answer of a plain service, before it is measured; only the
# differences between endpoints count.
PLAIN_ANSWER_MS = 20.0
# What a token that is read again costs all others, beside its own wait.
REREAD_WEIGHT = 6.0
# Fewer cached tokens are not worth a transfer between engines.
MIN_FETCH_TOKENS = 1_000
# Bonus of the engine that all VMs prefer, as a part of the shared tokens.
PREFERENCE = 0.3
# What one more running request adds to the time of all others, in ms of wait.
CROWDING_MS = 4.0
# How much of its target a request may wait before it leaves its pool.
POOL_WAIT_SHARE = 0.8
# How many times shorter the wait in the other pool has to be.
LEAVE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and why it was chosen.

    Attributes:
        wait_ms: Expected time until the first event.
        expected_ms: Time of the answer against which the endpoint's speed is
            measured; None if it is not measured.
        prefill_tokens: Prompt tokens that the endpoint has to read.
        fetch_from: An engine from which it can fetch cached parts, or None.
    """

    state: fleet.EndpointState
    wait_ms: float = 0.0
    expected_ms: float | None = None
    prefill_tokens: float = 0.0
    fetch_from: model.Endpoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    """Cached tokens that come from another engine."""

    tokens: int
    took_ms: float
    source: model.Endpoint | None


NO_FETCH = _Fetch(0, 0.0, None)


class Chooser(Protocol):
    """Chooses among the endpoints of a service."""

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> Choice | None:
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
    ) -> Choice | None:
        """Returns the endpoint with the fewest requests for its slots."""
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        state = min(found, key=lambda s: (self._load(s), self._rng.random()))
        return Choice(state, expected_ms=PLAIN_ANSWER_MS)

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
        traits: Callable[[str], model.EngineTraits | None],
    ):
        self._fleet = fleet
        self._peers = peers
        self._pools = pools
        self._traits = traits

    def choose(
        self, req: requests.Request, tried: Container[str]
    ) -> Choice | None:
        """Returns the engine that is expected to read the prompt first."""
        found = self._fleet.candidates(req.service, tried)
        if not found:
            return None
        pool, others = self._pools.split(req, found)
        best = self._best(req.prompt, pool)
        if best is None:
            return self._best(req.prompt, others)
        is_late = best.wait_ms > req.route.target_ms * POOL_WAIT_SHARE
        if is_late and self._pools.may_leave(req):
            elsewhere = self._best(req.prompt, others)
            if elsewhere and elsewhere.wait_ms < best.wait_ms / LEAVE_FACTOR:
                return elsewhere
        return best

    def _best(
        self, prompt: model.Prompt, states: list[fleet.EndpointState]
    ) -> Choice | None:
        """Returns the engine with the lowest cost, if there is any."""
        if not states:
            return None
        preferred = affinity.preferred(prompt, [s.id for s in states])
        holder = self._find_holder(prompt, states)
        found = None
        lowest_cost = math.inf
        for state in states:
            chosen = self._estimate(prompt, state, holder)
            cost = chosen.wait_ms + _reading_cost(prompt, state)
            if state.id == preferred:
                shared = affinity.shared_tokens(prompt)
                cost -= PREFERENCE * _reading_ms(shared)
            if cost < lowest_cost:
                found, lowest_cost = chosen, cost
        return found

    def _find_holder(
        self, prompt: model.Prompt, states: list[fleet.EndpointState]
    ) -> fleet.EndpointState | None:
        """Returns the engine that keeps most of the prompt's parts."""
        serving = self._fleet.candidates(states[0].endpoint.service)
        found = max(serving, key=lambda s: s.cached.leading_tokens(prompt))
        kept = found.cached.leading_tokens(prompt)
        return found if kept >= MIN_FETCH_TOKENS else None

    def _estimate(
        self,
        prompt: model.Prompt,
        state: fleet.EndpointState,
        holder: fleet.EndpointState | None,
    ) -> Choice:
        """Returns what to expect of an engine."""
        peers = self._peers.total(state.id)
        fetch = self._plan_fetch(prompt, state, holder)
        kept = state.cached.leading_tokens(prompt)
        own_tokens = max(0, prompt.input_tokens - kept - fetch.tokens)
        ahead = state.prefill_tokens + peers.prefill_tokens
        running = state.in_flight + peers.in_flight
        wait_ms = (
            FIRST_EVENT_MS
            + fetch.took_ms
            + _reading_ms(ahead + own_tokens)
            + running * CROWDING_MS
        )
        return Choice(
            state,
            wait_ms=wait_ms,
            prefill_tokens=own_tokens,
            fetch_from=fetch.source,
        )

    def _plan_fetch(
        self,
        prompt: model.Prompt,
        state: fleet.EndpointState,
        holder: fleet.EndpointState | None,
    ) -> _Fetch:
        """Returns what an engine can fetch from the one that keeps most."""
        engine = self._traits(state.endpoint.service)
        if holder in (None, state) or engine is None or not engine.link_mbps:
            return NO_FETCH
        kept = state.cached.leading_tokens(prompt)
        tokens = holder.cached.leading_tokens(prompt) - kept
        if tokens < MIN_FETCH_TOKENS:
            return NO_FETCH
        return _Fetch(tokens, engine.fetch_ms(tokens), holder.endpoint)


def _reading_ms(tokens: float) -> float:
    return tokens / pools.PREFILL_TOKENS_PER_MS


def _reading_cost(prompt: model.Prompt, state: fleet.EndpointState) -> float:
    """Returns the cost of what the engine does not keep."""
    missing = prompt.input_tokens - state.cached.leading_tokens(prompt)
    return REREAD_WEIGHT * _reading_ms(missing)
