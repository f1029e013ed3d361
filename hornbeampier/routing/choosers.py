"""Chooses the endpoint of a request."""

from collections.abc import Callable
from collections.abc import Container
import math
import random
from typing import Protocol

from hornbeampier.routing import affinity
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import engine_model
from hornbeampier.routing import estimates
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import load_shedding
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests
from hornbeampier.routing import service_speeds
from hornbeampier.routing import zone_spill

# Expected response time of all plain services, which declare none. Only the
# differences between endpoints matter.
PLAIN_RESPONSE_MS = 20.0
# Weight of the prefill time of uncached tokens in the cost of an engine. It
# stands for the delay of all other requests on the engine; the request's own
# wait is added to it.
RECOMPUTE_WEIGHT = 6.0
# Number of engines that are compared: those that the prompt's segments hash to,
# and a random sample. If all VMs compared all engines, they would pick the same
# engine at the same moment.
PREFERRED_COUNT = 2
RANDOM_COUNT = 3
# Bonus of the engine that all VMs rank first, as a fraction of the prefill time
# of the shared segments.
AFFINITY_BONUS = 0.3
# Cost, in ms of wait, of an engine that spends all of its time on prefill: its
# streams decode more slowly.
PREFILL_UTILIZATION_COST_MS = 400.0
# Cost, in decode steps, of each request in flight: a larger batch slows down
# all of its requests.
REQUEST_COST_STEPS = 0.8
# Cost of an engine in another availability zone than this VM.
OTHER_ZONE_COST_MS = 2.0
# A request may spill over to another pool if its wait exceeds this fraction of
# its latency target.
SPILL_WAIT_FRACTION = 0.4
# How many times shorter the wait in the other pool must be for a short or an
# interactive prompt, without the prefill that it brings to any engine.
SPILL_WAIT_RATIO = 2.0
# A prompt whose stream does not tolerate prefill beside it spills over only to
# engines that spend less than this fraction of their time on prefill.
MAX_STREAM_SPILL_UTILIZATION = 0.2
# A prompt whose expected wait exceeds this fraction of its latency target is
# likely to be late: VMs do not know yet what others have just sent.
LATE_WAIT_FRACTION = 0.6
# Limits for a batch prompt that spills over: the fraction of time that the
# engine already spends on prefill, and the fraction of its slots in use.
MAX_BATCH_SPILL_UTILIZATION = 0.5
MAX_BATCH_SPILL_SLOTS = 0.75


class Chooser(Protocol):
    """Interface for choosing an endpoint of a request's service."""

    def choose(
        self,
        req: requests.Request,
        tried: Container[str],
        version: str | None = None,
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns an endpoint that is not in `tried`, or None.

        If `version` is not None, the endpoint runs this software version.
        """
        ...


class LeastLoadedChooser:
    """Least-requests balancing, for services whose requests cost the same."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        rng: random.Random,
        zones: zone_spill.ZoneSpill | None = None,
    ):
        self._fleet = fleet
        self._peers = peers
        self._rng = rng
        self._zones = zones

    def choose(
        self,
        req: requests.Request,
        tried: Container[str],
        version: str | None = None,
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the endpoint with the fewest requests per slot.

        The load is weighted by how slowly the endpoint responds. An endpoint of
        the own availability zone is preferred while the zone has room.
        """
        candidates = self._fleet.candidates(req.service, tried, version)
        if not candidates:
            return None
        state = None
        if self._zones is not None:
            state = self._zones.choose(req, candidates, self._load_per_slot)
        if state is None:
            state = min(
                candidates,
                key=lambda s: (self._load_per_slot(s), self._rng.random()),
            )
        if self._zones is not None:
            self._zones.record(req.service, state)
        return endpoint_choice.EndpointChoice(
            state, expected_response_ms=PLAIN_RESPONSE_MS
        )

    def _load_per_slot(self, state: fleet.EndpointState) -> float:
        peer_load = self._peers.total(state.id)
        total = 1 + state.in_flight + peer_load.in_flight
        slowdown = latency.slowdown(
            state.latency.sums(), peer_load.latency_sums
        )
        slowdown *= state.speed.current_slowdown()
        return slowdown * total / max(1, state.endpoint.slots)


class EngineChooser:
    """Chooses an engine for a prompt by cached prefix and by load."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        pools: pools.EnginePools,
        classifier: prompt_kinds.PromptClassifier,
        prefill_meter: prefill.PrefillMeter,
        load_shedder: load_shedding.LoadShedder,
        models: engine_model.EngineModels,
        engine_traits: Callable[[str], domain.EngineTraits | None],
        speeds: service_speeds.ServiceSpeeds,
        rng: random.Random,
        zone: str = "",
    ):
        self._fleet = fleet
        self._peers = peers
        self._pools = pools
        self._classifier = classifier
        self._prefill_meter = prefill_meter
        self._load_shedder = load_shedder
        self._models = models
        self._engine_traits = engine_traits
        self._speeds = speeds
        self._rng = rng
        self._zone = zone

    def choose(
        self,
        req: requests.Request,
        tried: Container[str],
        version: str | None = None,
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the cheapest engine of the request's pool.

        If the wait there is too long or the engine is overloaded, an engine of
        another pool may be chosen, or one that names a limit.
        """
        candidates = self._fleet.candidates(req.service, tried)
        if version is not None:
            return self._choose_of_version(req, tried, version, candidates)
        if not candidates:
            return None
        pooled, limited = self._partition(candidates)
        split = self._pools.split(req, pooled)
        best = self._choose_cheapest(req, split.pool)
        is_wait_long = (
            best.wait_ms > req.route.latency_target_ms * SPILL_WAIT_FRACTION
        )
        if not is_wait_long and self._load_shedder.accepts(req, best):
            return best
        spillover = self._choose_cheapest(req, split.overflow + limited)
        if spillover and self._may_spill_over(req, best, spillover):
            return spillover
        return best

    def _choose_of_version(
        self,
        req: requests.Request,
        tried: Container[str],
        version: str,
        candidates: list[fleet.EndpointState],
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the cheapest engine that runs a software version.

        The request's pool goes first. If it has no such engine, or an
        overloaded one, the engines of the other pools are as good: a stream
        that has begun can go on nowhere else.

        Args:
            req: The request.
            tried: Ids of endpoints to leave out.
            version: The software version.
            candidates: The engines of all versions, which form the pools.
        """
        allowed = self._fleet.candidates(req.service, tried, version)
        if not allowed:
            return None
        pool = self._pools.split(req, self._partition(candidates)[0]).pool
        allowed_ids = {state.id for state in allowed}
        best = self._choose_cheapest(
            req, [state for state in pool if state.id in allowed_ids]
        )
        if best is not None and self._load_shedder.accepts(req, best):
            return best
        return self._choose_cheapest(req, allowed)

    def _partition(
        self, candidates: list[fleet.EndpointState]
    ) -> tuple[list[fleet.EndpointState], list[fleet.EndpointState]]:
        """Returns the engines that form pools, and those that name a limit.

        The pools of a service would change with each request that a limit
        allows. If all engines name one, they form the pools.
        """
        limited = self._fleet.limited(candidates)
        if len(limited) in (0, len(candidates)):
            return candidates, []
        limited_ids = {state.id for state in limited}
        return [s for s in candidates if s.id not in limited_ids], limited

    def _may_spill_over(
        self,
        req: requests.Request,
        best: endpoint_choice.EndpointChoice,
        spillover: endpoint_choice.EndpointChoice,
    ) -> bool:
        """Whether a prompt may spill over to an engine of another pool.

        A batch prompt may do so only where it barely delays other requests. A
        short or interactive prompt whose stream would pause too long beside
        prefill may do so only where there is little prefill, or if the prompt
        is likely to be late anyway.
        """
        if self._classifier.classify(req) is not prompt_kinds.PromptKind.BATCH:
            if spillover.avoidable_ms >= best.avoidable_ms / SPILL_WAIT_RATIO:
                return False
            return (
                spillover.prefill_utilization < MAX_STREAM_SPILL_UTILIZATION
                or best.wait_ms
                > LATE_WAIT_FRACTION * req.route.latency_target_ms
                or self._pools.tolerates_prefill(req)
            )
        prefill_ms = self._models.of(req.service).prefill_ms(
            spillover.queued_tokens + spillover.prefill_tokens
        )
        prefill_ms *= spillover.speed_factor
        slots = spillover.state.endpoint.slots
        return (
            prefill_ms <= self._pools.max_spill_prefill_ms(req.service)
            and spillover.prefill_utilization <= MAX_BATCH_SPILL_UTILIZATION
            and spillover.in_flight < MAX_BATCH_SPILL_SLOTS * slots
        )

    def _choose_cheapest(
        self,
        req: requests.Request,
        states: list[fleet.EndpointState],
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the engine with the lowest cost, or None without engines."""
        if not states:
            return None
        prompt = req.prompt
        preferred = affinity.preferred_engines(
            prompt, [s.id for s in states], PREFERRED_COUNT
        )
        model = self._models.of(req.service)
        traits = self._engine_traits(req.service)
        estimate = self._make_estimator(req, model, traits).estimate
        bonus = AFFINITY_BONUS * model.prefill_ms(
            affinity.shared_tokens(prompt)
        )
        request_cost_ms = REQUEST_COST_STEPS * model.step_ms(
            traits.tokens_per_event if traits is not None else 1.0
        )
        cheapest = None
        lowest_cost = (True, math.inf)
        for state in self._sample(prompt, states, preferred):
            choice = estimate(state)
            cost = (
                choice.wait_ms + RECOMPUTE_WEIGHT * choice.uncached_prefill_ms
            )
            cost += PREFILL_UTILIZATION_COST_MS * choice.prefill_utilization
            cost += request_cost_ms * choice.speed_factor * choice.in_flight
            if state.id == preferred[0]:
                cost -= bonus
            if self._zone and state.endpoint.availability_zone != self._zone:
                cost += OTHER_ZONE_COST_MS
            # An engine with a cached prefix is no use if it would refuse.
            ranked_cost = (not self._load_shedder.accepts(req, choice), cost)
            if ranked_cost < lowest_cost:
                cheapest, lowest_cost = choice, ranked_cost
        return cheapest

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
        sampled = {state.id: state for state in states if state.id in preferred}
        sampled[holder.id] = holder
        for state in self._rng.sample(states, RANDOM_COUNT):
            sampled[state.id] = state
        return list(sampled.values())

    def _make_estimator(
        self,
        req: requests.Request,
        model: engine_model.EngineModel,
        traits: domain.EngineTraits | None,
    ) -> estimates.Estimator:
        candidates = self._fleet.candidates(req.service)
        holder = estimates.find_holder(req.prompt, candidates)
        if (
            holder.prefix_cache.cached_prefix_tokens(req.prompt)
            < estimates.MIN_TRANSFER_TOKENS
        ):
            holder = None
        return estimates.Estimator(
            req.prompt,
            self._peers,
            self._prefill_meter,
            model,
            traits,
            self._classifier.mean_prompt_tokens(req),
            holder,
            self._speeds.long_term_factors(req.service),
        )
