"""Classifies prompts by how much they delay others and how urgent they are."""

import enum

from hornbeampier.routing import requests

# A route whose mean prompt size is at most this has short prompts.
SHORT_MEAN_TOKENS = 4_096
# A larger prompt is never short, whatever its route.
MAX_SHORT_TOKENS = 8_192
# Other prompts of a route with at most this latency target are interactive.
INTERACTIVE_TARGET_MS = 1_000.0
# Minimum weight of the newest prompt in a route's moving average.
MIN_MEAN_WEIGHT = 0.1
# Assumed mean prompt size of a route without traffic. Its prompts are not
# classified as short: a short prompt among long ones is only late itself, while
# a long prompt among short ones makes all of these late.
DEFAULT_MEAN_TOKENS = 8_192.0


class PromptKind(enum.IntEnum):
    """Kinds of prompts, each with its own pool of engines.

    They are ordered from short and urgent prompts to long and less urgent ones.
    The pools keep each kind away from the longer prompts after it.
    """

    SHORT = 0
    INTERACTIVE = 1
    BATCH = 2


class PromptClassifier:
    """Classifies prompts by size and by their route.

    Learns the mean prompt size of each route from its traffic.
    """

    def __init__(self):
        self._mean_prompt_tokens: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, req: requests.Request) -> None:
        """Adds a prompt to the moving average of its route."""
        name = req.route.name
        mean = self.mean_prompt_tokens(req)
        count = self._counts[name] = self._counts.get(name, 0) + 1
        weight = max(MIN_MEAN_WEIGHT, 1 / (count + 1))
        error = req.prompt.input_tokens - mean
        self._mean_prompt_tokens[name] = mean + weight * error

    def mean_prompt_tokens(self, req: requests.Request) -> float:
        """Returns the mean prompt size, in tokens, of the request's route."""
        return self._mean_prompt_tokens.get(req.route.name, DEFAULT_MEAN_TOKENS)

    def classify(self, req: requests.Request) -> PromptKind:
        """Returns the kind of the request's prompt."""
        is_short = req.prompt.input_tokens <= MAX_SHORT_TOKENS
        if is_short and self.mean_prompt_tokens(req) <= SHORT_MEAN_TOKENS:
            return PromptKind.SHORT
        if req.route.latency_target_ms <= INTERACTIVE_TARGET_MS:
            return PromptKind.INTERACTIVE
        return PromptKind.BATCH
