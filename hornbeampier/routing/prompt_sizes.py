"""Ranks each prompt among the recent prompts of its route by size."""

import bisect
import collections
import enum
import math

from hornbeampier.routing import requests

# Number of recent prompts of a route with which a prompt is compared, and the
# minimum for a rank.
SAMPLE_COUNT = 256
MIN_SAMPLE_COUNT = 20
# Number of routes whose prompts are compared: those with the newest prompts.
MAX_ROUTES = 256
# Fractions of a route's prompts that are smaller than those of a band.
LARGEST_QUANTILE = 0.9
LARGE_QUANTILE = 0.7


class SizeBand(enum.StrEnum):
    """How large a prompt is, compared with the others of its route."""

    LARGEST = "largest_tenth"
    LARGE = "next_fifth"
    OTHER = "others"
    UNRANKED = "unranked"


class PromptSizes:
    """The sizes of the recent prompts of each route."""

    def __init__(self):
        # The route with the newest prompt is last.
        self._samples: dict[str, _Sample] = {}

    def rank(self, req: requests.Request) -> SizeBand:
        """Returns the band of a request's prompt, and records its size."""
        sample = self._samples.pop(req.route.name, None) or _Sample()
        self._samples[req.route.name] = sample
        if len(self._samples) > MAX_ROUTES:
            del self._samples[next(iter(self._samples))]
        sample.add(req.prompt.input_tokens)
        return sample.band(req.prompt.input_tokens)


class _Sample:
    """The sizes of a route's recent prompts, in tokens."""

    def __init__(self):
        self._recent: collections.deque[int] = collections.deque()
        self._ordered: list[int] = []

    def add(self, tokens: int) -> None:
        """Adds a prompt; the oldest one yields."""
        if len(self._recent) == SAMPLE_COUNT:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._recent.append(tokens)
        bisect.insort(self._ordered, tokens)

    def band(self, tokens: int) -> SizeBand:
        """Returns the band of a prompt of this size."""
        if len(self._ordered) < MIN_SAMPLE_COUNT:
            return SizeBand.UNRANKED
        if tokens >= self._quantile(LARGEST_QUANTILE):
            return SizeBand.LARGEST
        if tokens >= self._quantile(LARGE_QUANTILE):
            return SizeBand.LARGE
        return SizeBand.OTHER

    def _quantile(self, quantile: float) -> int:
        return self._ordered[math.floor(quantile * len(self._ordered))]
