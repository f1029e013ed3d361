"""Estimates the time to first event of a prompt on each engine."""

import dataclasses
import math

from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill

# Time to the first event of a prompt that needs no prefill.
FIRST_EVENT_MS = 40.0
# Shorter cached prefixes are not worth a transfer between engines.
MIN_FETCH_TOKENS = 1_000
# Fraction of an engine's KV cache that running requests may fill, evicting
# cached prefixes as needed.
MEMORY_SHARE = 0.8
# Assumed run time of a request, from which the time until a slot is free is
# estimated.
RUN_MS = 2_000.0
# Cost, in ms of wait, of each running request: a larger batch slows down all
# of its requests.
CROWDING_MS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    """A KV transfer of cached tokens from another engine."""

    tokens: int
    took_ms: float
    source: domain.Endpoint | None


NO_FETCH = _Fetch(0, 0.0, None)


class Estimator:
    """Estimates the cost of one prompt on each engine.

    An engine runs as many requests at once as it has slots, and fewer if they
    are large: when its KV cache is full, it preempts running requests.
    """

    def __init__(
        self,
        prompt: domain.Prompt,
        peers: peer_loads.PeerLoads,
        prefill_meter: prefill.PrefillMeter,
        engine: domain.EngineTraits | None,
        mean_tokens: float,
        holder: fleet.EndpointState | None,
    ):
        self._prompt = prompt
        self._peers = peers
        self._prefill_meter = prefill_meter
        self._engine = engine
        self._holder = holder
        self._memory_room = math.inf
        if engine is not None:
            tokens = engine.kv_tokens * MEMORY_SHARE
            self._memory_room = tokens / max(1.0, mean_tokens)

    def estimate(
        self, state: fleet.EndpointState
    ) -> endpoint_choice.EndpointChoice:
        """Returns the estimates for sending the prompt to an engine."""
        peers = self._peers.total(state.id)
        kept = state.prefix_cache.leading_tokens(self._prompt)
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
        return endpoint_choice.EndpointChoice(
            state,
            wait_ms=wait_ms,
            prefill_tokens=own_tokens,
            missing_ms=reading_ms(missing),
            reading_share=self._prefill_meter.share(state.id),
            fetch_from=fetch.source,
        )

    def _room_wait_ms(self, state: fleet.EndpointState, running: int) -> float:
        """Returns the estimated wait until one more request can run."""
        room = max(1.0, min(state.endpoint.slots, self._memory_room))
        return max(0.0, running + 1 - room) * RUN_MS / room

    def _plan_fetch(self, state: fleet.EndpointState, kept: int) -> _Fetch:
        """Returns the KV transfer from the holder, if one is worthwhile."""
        holder = self._holder
        if holder is None or holder is state:
            return NO_FETCH
        if self._engine is None or not self._engine.link_mbps:
            return NO_FETCH
        tokens = holder.prefix_cache.leading_tokens(self._prompt) - kept
        if tokens < MIN_FETCH_TOKENS:
            return NO_FETCH
        took_ms = self._engine.fetch_ms(tokens)
        return _Fetch(tokens, took_ms, holder.endpoint)


def find_holder(
    prompt: domain.Prompt, states: list[fleet.EndpointState]
) -> fleet.EndpointState:
    """Returns the engine that holds the longest cached prefix of the prompt."""
    return max(states, key=lambda s: s.prefix_cache.leading_tokens(prompt))


def reading_ms(tokens: float) -> float:
    """Returns the prefill time of a number of prompt tokens."""
    return tokens / prefill.TOKENS_PER_MS
