"""Measures the work that prompts of each kind bring to the engines."""

import math

from hornbeampier import clock as clocks
from hornbeampier.routing import kinds
from hornbeampier.routing import model
from hornbeampier.routing import reading

# A step of an engine makes one token for each running request: time of a step,
# and what each request adds to it.
STEP_MS = 5.2
STEP_MS_PER_REQUEST = 0.04
# Time constant of the average over past work.
MEMORY_MS = 5_000.0

# Work by kind of prompt, in prompt tokens.
Work = tuple[float, ...]
NO_WORK: Work = (0.0,) * len(kinds.Kind)


class WorkMeter:
    """Decaying sums of the work that arrived for one service."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._sums = list(NO_WORK)
        self._at_ms = clock.now()
        self._first_ms: float | None = None

    @property
    def age_ms(self) -> float:
        """Time since the first request; 0 before it."""
        if self._first_ms is None:
            return 0.0
        return self._clock.now() - self._first_ms

    def add(self, kind: kinds.Kind, tokens: float) -> None:
        """Counts work."""
        self._decay()
        if self._first_ms is None:
            self._first_ms = self._at_ms
        self._sums[kind] += tokens

    def sums(self) -> Work:
        """Returns the sums by kind."""
        self._decay()
        return tuple(self._sums)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._at_ms - now_ms) / MEMORY_MS)
        self._sums = [value * factor for value in self._sums]
        self._at_ms = now_ms


def of_prompt(prompt: model.Prompt, prefill_tokens: float, slots: int) -> float:
    """Returns the work of a prompt, in prompt tokens.

    Args:
        prompt: The prompt.
        prefill_tokens: Prompt tokens that the engine has to read.
        slots: Requests that the engine runs at once.
    """
    token_ms = STEP_MS / max(1, slots) + STEP_MS_PER_REQUEST
    output_ms = token_ms * _expected_output(prompt)
    return prefill_tokens + output_ms * reading.TOKENS_PER_MS


def _expected_output(prompt: model.Prompt) -> float:
    """Returns the caller's estimate of the output, or half of the most."""
    if prompt.expected_tokens is not None:
        return min(prompt.expected_tokens, prompt.output_tokens)
    return prompt.output_tokens / 2
