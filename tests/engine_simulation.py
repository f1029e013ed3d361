"""Simulates engines that prefill one prompt after the other, without a network.

Prompts of one route arrive at random times and go through the chooser and the
load shedder of one VM. Callers that are refused come back once, as told.
"""

import dataclasses
import heapq
import itertools
import math
import random

from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import load_shedding
from tests import routing_fakes as fakes

TOKENS_PER_MS = 50.0
# Time of a decode step for all streams, and from one event to the next.
FIRST_EVENT_MS = 40.0
EVENT_MS = 40.0
EVENT_COUNT = 40
SLOTS = 64
TRAITS = domain.EngineTraits(SLOTS, 500_000, 0.0, 0.0, 3.0)


@dataclasses.dataclass
class Prompt:
    """A caller's request, over all its attempts."""

    tokens: int
    shared: str
    arrived_ms: float
    tries: int = 0
    served: bool = False


@dataclasses.dataclass(frozen=True)
class Traffic:
    """The prompts of one route.

    Attributes:
        per_s: Prompts per second.
        duration_ms: For how long they arrive.
        shared_tokens: Size of the segments that prompts share.
        shared_count: Number of such segments.
        own_mean_tokens: Mean size of what a prompt adds to its shared segment.
        own_sigma: Spread of that size, of a lognormal distribution.
        max_own_tokens: Largest such size.
    """

    per_s: float
    duration_ms: float = 20_000.0
    shared_tokens: int = 12_000
    shared_count: int = 20
    own_mean_tokens: float = 4_000.0
    own_sigma: float = 1.1
    max_own_tokens: float = 50_000.0

    def draw(self, rng: random.Random) -> list[Prompt]:
        """Returns the prompts in the order of their arrival."""
        prompts = []
        now_ms = 0.0
        mu = math.log(self.own_mean_tokens) - self.own_sigma**2 / 2
        while now_ms < self.duration_ms:
            now_ms += rng.expovariate(self.per_s) * 1_000.0
            own = rng.lognormvariate(mu, self.own_sigma)
            own = min(max(own, 100.0), self.max_own_tokens)
            shared = f"shared-{rng.randrange(self.shared_count)}"
            tokens = self.shared_tokens + round(own)
            prompts.append(Prompt(tokens, shared, now_ms))
        return prompts


class Simulation:
    """Engines of one service and the prompts that are sent to them.

    Args:
        slowdowns: How many times longer work takes at each engine.
        traffic: The prompts.
        route: Their route.
        seed: Seed of everything random.
    """

    def __init__(
        self,
        slowdowns: list[float],
        traffic: Traffic,
        route: domain.Route,
        seed: int,
    ):
        self._fixture = fakes.RoutingFixture(len(slowdowns))
        self._clock = self._fixture.clock
        for state in self._fixture.states:
            self._fixture.catalog.apply_endpoint(
                fakes.endpoint(state.id, slots=SLOTS)
            )
        self._vm = fakes.ChooserFixture(
            self._fixture, lambda service: TRAITS, seed
        )
        self._slowdowns = {
            state.id: slowdown
            for state, slowdown in zip(
                self._fixture.states, slowdowns, strict=True
            )
        }
        self._free_ms = dict.fromkeys(self._slowdowns, 0.0)
        self._traffic = traffic
        self._route = route
        self._rng = random.Random(seed)
        self._due = []
        self._order = itertools.count()

    def run(self) -> list[Prompt]:
        """Plays all prompts to their ends and returns them."""
        prompts = self._traffic.draw(self._rng)
        for prompt in prompts:
            self._at(prompt.arrived_ms, lambda p=prompt: self._try(p))
        while self._due:
            due_ms, _, action = heapq.heappop(self._due)
            self._clock.advance(due_ms - self._clock.now())
            action()
        return prompts

    def _at(self, due_ms, action) -> None:
        heapq.heappush(self._due, (due_ms, next(self._order), action))

    def _try(self, prompt: Prompt) -> None:
        prompt.tries += 1
        deadline_ms = prompt.arrived_ms + self._route.timeout_ms
        req = fakes.request(
            fakes.prompt(
                prompt.tokens, (prompt.shared, self._traffic.shared_tokens)
            ),
            self._route,
            arrived_ms=self._clock.now(),
            deadline_ms=deadline_ms,
        )
        choice = self._vm.chooser.choose(req, ())
        self._vm.pools.record(req, choice.prefill_tokens, SLOTS)
        try:
            self._vm.load_shedder.check(req, choice)
        except load_shedding.OverloadError as exc:
            if prompt.tries == 1:
                self._at(
                    self._clock.now() + exc.retry_after_ms,
                    lambda: self._try(prompt),
                )
            return
        choice.state.prefix_cache.record(req.prompt)
        self._vm.prefill_meter.record(choice.state.id, choice.prefill_tokens)
        self._start(prompt, choice, deadline_ms)

    def _start(
        self,
        prompt: Prompt,
        choice: endpoint_choice.EndpointChoice,
        deadline_ms: float,
    ) -> None:
        """Lets the engine prefill the prompt, and then generate."""
        now_ms = self._clock.now()
        slowdown = self._slowdowns[choice.state.id]
        attempt = fleet.InFlightAttempt(
            choice.state, None, choice.prefill_tokens
        )
        observer = engine_model.AttemptObserver(
            self._vm.models.of(fakes.SERVICE), choice, self._clock
        )
        prefill_ms = slowdown * choice.prefill_tokens / TOKENS_PER_MS
        first_ms = max(now_ms, self._free_ms[choice.state.id]) + prefill_ms
        self._free_ms[choice.state.id] = first_ms
        first_ms += FIRST_EVENT_MS * slowdown
        end_ms = first_ms + EVENT_COUNT * EVENT_MS * slowdown

        def begin():
            attempt.record_response()
            observer.on_block()

        def end():
            attempt.end()
            prompt.served = end_ms <= deadline_ms
            if prompt.served:
                delay_ms = EVENT_MS * slowdown
                observer.on_end(delay_ms, delay_ms, delay_ms)

        if first_ms < deadline_ms:
            self._at(first_ms, begin)
        self._at(min(end_ms, deadline_ms), end)


def served_fraction(prompts: list[Prompt]) -> float:
    """Returns the fraction of the prompts that were served."""
    return sum(prompt.served for prompt in prompts) / len(prompts)


def largest_tenth(prompts: list[Prompt]) -> list[Prompt]:
    """Returns the largest tenth of the prompts."""
    ordered = sorted(prompts, key=lambda prompt: prompt.tokens)
    return ordered[-len(ordered) // 10 :]
