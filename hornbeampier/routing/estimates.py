"""Estimates the time to first event of a prompt on each engine."""

from collections.abc import Mapping
import dataclasses
import math

from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill
from hornbeampier.routing import service_speeds

# Minimum number of cached tokens that are worth a transfer between engines.
MIN_TRANSFER_TOKENS = 1_000
# Fraction of an engine's KV cache that running requests are assumed to fill at
# most; cached prefixes are evicted as needed.
RUNNING_KV_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _KvTransfer:
    """A KV transfer of cached tokens from another engine."""

    tokens: int
    duration_ms: float
    source: domain.Endpoint | None


NO_TRANSFER = _KvTransfer(0, 0.0, None)


class Estimator:
    """Estimates the cost of one prompt on each engine.

    An engine runs as many requests at once as it has slots, and fewer if they
    are large: when its KV cache is full, it preempts running requests.

    The `holder` is the engine with the longest cached prefix of the prompt; the
    others may fetch it from there. None if it is not worth a transfer.

    `long_term_factors` gives, by endpoint id, how many times longer work takes
    at engines that are slower or faster than the typical one. A short slowdown
    affects the wait, but not which fraction of its time an engine spends on
    prefill.
    """

    def __init__(
        self,
        prompt: domain.Prompt,
        peers: peer_loads.PeerLoads,
        prefill_meter: prefill.PrefillMeter,
        model: engine_model.EngineModel,
        traits: domain.EngineTraits | None,
        mean_prompt_tokens: float,
        holder: fleet.EndpointState | None,
        long_term_factors: Mapping[str, float],
    ):
        self._prompt = prompt
        self._peers = peers
        self._prefill_meter = prefill_meter
        self._model = model
        self._traits = traits
        self._holder = holder
        self._held_tokens = 0
        if holder is not None:
            self._held_tokens = holder.prefix_cache.cached_prefix_tokens(prompt)
        self._long_term_factors = long_term_factors
        self._kv_slots = math.inf
        if traits is not None:
            tokens = traits.kv_tokens * RUNNING_KV_FRACTION
            self._kv_slots = tokens / max(1.0, mean_prompt_tokens)

    def estimate(
        self, state: fleet.EndpointState
    ) -> endpoint_choice.EndpointChoice:
        """Returns the estimates for sending the prompt to an engine."""
        peer_load = self._peers.total(state.id)
        cached_tokens = state.prefix_cache.cached_prefix_tokens(self._prompt)
        transfer = self._plan_transfer(state, cached_tokens)
        uncached_tokens = max(0, self._prompt.input_tokens - cached_tokens)
        prefill_tokens = max(0, uncached_tokens - transfer.tokens)
        queued_tokens = state.prefill_tokens + peer_load.prefill_tokens
        in_flight = state.in_flight + peer_load.in_flight
        long_term_factor = self._long_term_factors.get(state.id, 1.0)
        factor = service_speeds.bounded(
            long_term_factor * state.speed.current_slowdown()
        )
        slot_wait_ms = factor * self._slot_wait_ms(state, in_flight)
        ahead_ms = factor * self._model.wait_ms(0, queued_tokens) + slot_wait_ms
        wait_ms = (
            transfer.duration_ms
            + factor * self._model.prefill_ms(prefill_tokens)
            + ahead_ms
        )
        known_tokens = max(cached_tokens, self._held_tokens)
        own_tokens = max(0, self._prompt.input_tokens - known_tokens)
        return endpoint_choice.EndpointChoice(
            state,
            wait_ms=wait_ms,
            ahead_ms=ahead_ms,
            own_ms=factor * self._model.prefill_ms(own_tokens),
            recompute_ms=factor
            * self._model.prefill_ms(known_tokens - cached_tokens),
            prefill_tokens=prefill_tokens,
            queued_tokens=queued_tokens,
            uncached_prefill_ms=self._model.prefill_ms(uncached_tokens),
            prefill_utilization=self._prefill_meter.utilization(
                state.id, self._model.tokens_per_ms / long_term_factor
            ),
            slot_wait_ms=slot_wait_ms,
            in_flight=in_flight,
            speed_factor=factor,
            fetch_from=transfer.source,
        )

    def _slot_wait_ms(
        self, state: fleet.EndpointState, in_flight: int
    ) -> float:
        """Returns the estimated wait until one more request can run."""
        slots = max(1.0, min(state.endpoint.slots, self._kv_slots))
        return max(0.0, in_flight + 1 - slots) * self._model.hold_ms / slots

    def _plan_transfer(
        self, state: fleet.EndpointState, cached_tokens: int
    ) -> _KvTransfer:
        """Returns the KV transfer from the holder, if one is worthwhile."""
        holder = self._holder
        if holder is None or holder is state:
            return NO_TRANSFER
        if self._traits is None or not self._traits.link_mbps:
            return NO_TRANSFER
        if holder.endpoint.software_version != state.endpoint.software_version:
            return NO_TRANSFER
        tokens = self._held_tokens - cached_tokens
        if tokens < MIN_TRANSFER_TOKENS:
            return NO_TRANSFER
        duration_ms = self._traits.kv_transfer_ms(tokens)
        return _KvTransfer(tokens, duration_ms, holder.endpoint)


def find_holder(
    prompt: domain.Prompt, states: list[fleet.EndpointState]
) -> fleet.EndpointState:
    """Returns the engine that holds the longest cached prefix of the prompt."""
    return max(
        states, key=lambda s: s.prefix_cache.cached_prefix_tokens(prompt)
    )
