"""Sorts prompts by what they do to others and by how soon they are needed."""

import enum

from hornbeampier.routing import requests

# Routes with prompts up to this mean size count as short.
SHORT_MEAN_TOKENS = 4_096
# A longer prompt counts as long whatever its route.
MAX_SHORT_TOKENS = 8_192
# Routes of long prompts with a target up to this count as interactive.
INTERACTIVE_TARGET_MS = 1_000.0
# Least weight of the newest prompt in a route's mean.
MEAN_WEIGHT = 0.1
# Size that is assumed of a route's prompts before any was seen: a short prompt
# among long ones is late, a long one among short ones makes these late.
ASSUMED_TOKENS = 8_192.0


class Kind(enum.IntEnum):
    """Kinds of prompts; each is kept away from the longer ones after it."""

    SHORT = 0
    INTERACTIVE = 1
    BATCH = 2


class Kinds:
    """Learns from the traffic how long the prompts of each route are."""

    def __init__(self):
        self._mean_tokens: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, req: requests.Request) -> None:
        """Counts the size of a prompt."""
        name = req.route.name
        mean = self.mean_tokens(req)
        count = self._counts[name] = self._counts.get(name, 0) + 1
        weight = max(MEAN_WEIGHT, 1 / (count + 1))
        error = req.prompt.input_tokens - mean
        self._mean_tokens[name] = mean + weight * error

    def mean_tokens(self, req: requests.Request) -> float:
        """Returns the mean size of the prompts of a request's route."""
        return self._mean_tokens.get(req.route.name, ASSUMED_TOKENS)

    def kind_of(self, req: requests.Request) -> Kind:
        """Returns the kind of a prompt."""
        is_short = req.prompt.input_tokens <= MAX_SHORT_TOKENS
        if is_short and self.mean_tokens(req) <= SHORT_MEAN_TOKENS:
            return Kind.SHORT
        if req.route.target_ms <= INTERACTIVE_TARGET_MS:
            return Kind.INTERACTIVE
        return Kind.BATCH
