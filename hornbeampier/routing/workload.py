"""Measures the workload that each kind of prompt puts on the engines."""

import math

from hornbeampier import clock as clocks
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import prompt_kinds

# Decay time constant of the sums.
DECAY_TIME_MS = 5_000.0

# Workload by kind of prompt, in equivalent prompt tokens.
Workload = tuple[float, ...]
NO_WORKLOAD: Workload = (0.0,) * len(prompt_kinds.PromptKind)


class WorkloadMeter:
    """Decaying sums of the workload that arrived for one service."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._sums = list(NO_WORKLOAD)
        self._updated_ms = clock.now()
        self._first_request_ms: float | None = None

    @property
    def age_ms(self) -> float:
        """Time since the first request, or 0 if there was none."""
        if self._first_request_ms is None:
            return 0.0
        return self._clock.now() - self._first_request_ms

    def add(self, kind: prompt_kinds.PromptKind, tokens: float) -> None:
        """Adds the workload of one prompt."""
        self._decay()
        if self._first_request_ms is None:
            self._first_request_ms = self._updated_ms
        self._sums[kind] += tokens

    def sums(self) -> Workload:
        """Returns the decayed sums by kind of prompt.

        They start at zero and cover less than the time constant until they have
        converged. So they are scaled to what they would converge to.
        """
        self._decay()
        covered = 1.0 - math.exp(-self.age_ms / DECAY_TIME_MS)
        if covered <= 0.0:
            return tuple(self._sums)
        return tuple(value / covered for value in self._sums)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._updated_ms - now_ms) / DECAY_TIME_MS)
        self._sums = [value * factor for value in self._sums]
        self._updated_ms = now_ms


def of_prompt(
    prompt: domain.Prompt,
    prefill_tokens: float,
    slots: int,
    model: engine_model.EngineModel,
    tokens_per_event: float,
) -> float:
    """Returns the workload of a prompt, in equivalent prompt tokens.

    Decode time is converted to the prompt tokens that could be prefilled in it.

    Args:
        prompt: The prompt.
        prefill_tokens: Prompt tokens that the engine must prefill.
        slots: Number of requests that the engine runs at once.
        model: The speed of the engine.
        tokens_per_event: Number of tokens in one event of a stream.
    """
    step_ms = model.step_ms(tokens_per_event)
    token_ms = step_ms * (
        1 / max(1, slots) + engine_model.STEP_FRACTION_PER_REQUEST
    )
    output_ms = token_ms * _expected_output_tokens(prompt)
    return prefill_tokens + output_ms * model.tokens_per_ms


def _expected_output_tokens(prompt: domain.Prompt) -> float:
    """Returns the caller's estimate of the output, or half of its maximum."""
    if prompt.expected_output_tokens is not None:
        return min(prompt.expected_output_tokens, prompt.max_output_tokens)
    return prompt.max_output_tokens / 2
