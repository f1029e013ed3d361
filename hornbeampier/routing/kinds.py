"""Sorts prompts by what they do to others and by how soon they are needed."""

import enum

from hornbeampier.routing import requests

# Routes with prompts up to this mean size count as short.
SHORT_MEAN_TOKENS = 4_096
# A longer prompt counts as long whatever its route.
MAX_SHORT_TOKENS = 8_192
# Routes of long prompts with a target up to this count as interactive.
INTERACTIVE_TARGET_MS = 1_000.0
# Weight of the newest prompt in a route's mean.
MEAN_WEIGHT = 0.1


class Kind(enum.IntEnum):
    """Kinds of prompts; each is kept away from the longer ones after it."""

    SHORT = 0
    INTERACTIVE = 1
    BATCH = 2


class Kinds:
    """Learns from the traffic how long the prompts of each route are."""

    def __init__(self):
        self._mean_tokens: dict[str, float] = {}

    def record(self, req: requests.Request) -> None:
        """Counts the size of a prompt."""
        size = req.prompt.input_tokens
        mean = self.mean_tokens(req)
        self._mean_tokens[req.route.name] = mean + MEAN_WEIGHT * (size - mean)

    def mean_tokens(self, req: requests.Request) -> float:
        """Returns the mean size of the prompts of a request's route."""
        return self._mean_tokens.get(req.route.name, req.prompt.input_tokens)

    def kind_of(self, req: requests.Request) -> Kind:
        """Returns the kind of a prompt."""
        is_short = req.prompt.input_tokens <= MAX_SHORT_TOKENS
        if is_short and self.mean_tokens(req) <= SHORT_MEAN_TOKENS:
            return Kind.SHORT
        if req.route.target_ms <= INTERACTIVE_TARGET_MS:
            return Kind.INTERACTIVE
        return Kind.BATCH
