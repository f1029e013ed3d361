"""Estimates what a prompt may expect of each engine."""

import dataclasses
import math

from hornbeampier.routing import choices
from hornbeampier.routing import fleet
from hornbeampier.routing import model
from hornbeampier.routing import peer_loads
from hornbeampier.routing import reading

# Time to the first event of a prompt that needs no reading.
FIRST_EVENT_MS = 40.0
# Fewer cached tokens are not worth a transfer between engines.
MIN_FETCH_TOKENS = 1_000
# Part of an engine's memory that running requests may take from cached parts.
MEMORY_SHARE = 0.8
# Time for which a request runs, to tell when one of them makes room.
RUN_MS = 2_000.0
# What one more running request adds to the time of all others, in ms of wait.
CROWDING_MS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    """Cached tokens that come from another engine."""

    tokens: int
    took_ms: float
    source: model.Endpoint | None


NO_FETCH = _Fetch(0, 0.0, None)


class Estimator:
    """Tells what one prompt may expect of each engine.

    An engine runs a number of requests at once, and fewer if they are large:
    when its memory is full, it interrupts them.
    """

    def __init__(
        self,
        prompt: model.Prompt,
        peers: peer_loads.PeerLoads,
        reading: reading.ReadingMeter,
        engine: model.EngineTraits | None,
        mean_tokens: float,
        holder: fleet.EndpointState | None,
    ):
        self._prompt = prompt
        self._peers = peers
        self._reading = reading
        self._engine = engine
        self._holder = holder
        self._memory_room = math.inf
        if engine is not None:
            tokens = engine.kv_tokens * MEMORY_SHARE
            self._memory_room = tokens / max(1.0, mean_tokens)

    def estimate(self, state: fleet.EndpointState) -> choices.Choice:
        """Returns what to expect of an engine."""
        peers = self._peers.total(state.id)
        kept = state.cached.leading_tokens(self._prompt)
        fetch = self._plan_fetch(state, kept)
        missing = max(0, self._prompt.input_tokens - kept)
        own_tokens = max(0, missing - fetch.tokens)
        ahead = state.prefill_tokens + peers.prefill_tokens
        running = state.in_flight + peers.in_flight
        wait_ms = (
            FIRST_EVENT_MS
            + fetch.took_ms
            + reading_ms(ahead + own_tokens)
            + running * CROWDING_MS
            + self._room_wait_ms(state, running)
        )
        return choices.Choice(
            state,
            wait_ms=wait_ms,
            prefill_tokens=own_tokens,
            missing_ms=reading_ms(missing),
            reading_share=self._reading.share(state.id),
            fetch_from=fetch.source,
        )

    def _room_wait_ms(self, state: fleet.EndpointState, running: int) -> float:
        """Returns the wait until there is room for one more request."""
        room = max(1.0, min(state.endpoint.slots, self._memory_room))
        return max(0.0, running + 1 - room) * RUN_MS / room

    def _plan_fetch(self, state: fleet.EndpointState, kept: int) -> _Fetch:
        """Returns what an engine can fetch from the one that keeps most."""
        holder = self._holder
        if holder is None or holder is state:
            return NO_FETCH
        if self._engine is None or not self._engine.link_mbps:
            return NO_FETCH
        tokens = holder.cached.leading_tokens(self._prompt) - kept
        if tokens < MIN_FETCH_TOKENS:
            return NO_FETCH
        took_ms = self._engine.fetch_ms(tokens)
        return _Fetch(tokens, took_ms, holder.endpoint)


def find_holder(
    prompt: model.Prompt, states: list[fleet.EndpointState]
) -> fleet.EndpointState:
    """Returns the engine that keeps most of the prompt's parts."""
    return max(states, key=lambda s: s.cached.leading_tokens(prompt))


def reading_ms(tokens: float) -> float:
    """Returns the time in which an engine reads prompt tokens."""
    return tokens / reading.TOKENS_PER_MS
