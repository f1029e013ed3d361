"""Estimated contents of an engine's prefix cache."""

import collections

from hornbeampier import clock as clocks
from hornbeampier.routing import domain

# Fraction of the KV cache that running requests are assumed to leave to cached
# prefixes.
PREFIX_CACHE_FRACTION = 0.6
DEFAULT_CAPACITY_TOKENS = 250_000
# Number of segments in the indexes of all engines together; one takes some 170
# bytes, however few tokens it has.
MAX_SEGMENTS = 80_000
# The use of a segment is gossiped again only after this time, counted from the
# last time that this VM or a peer gossiped it.
REGOSSIP_INTERVAL_MS = 3_000.0
# Smaller segments are not gossiped: their prefill takes little time.
MIN_GOSSIPED_TOKENS = 1_000


class PrefixCacheIndex:
    """Segments believed to be in one engine's prefix cache, in LRU order.

    Attributes:
        capacity_tokens: Sum of the tokens of its segments at the most.
        capacity_segments: Number of its segments at the most.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._segments: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._gossiped_ms: dict[str, float] = {}
        self._tokens = 0
        self.capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self.capacity_segments = MAX_SEGMENTS

    def cached_prefix_tokens(self, prompt: domain.Prompt) -> int:
        """Returns the length in tokens of the prompt's cached prefix."""
        tokens = 0
        for segment in prompt.segments:
            if segment.id not in self._segments:
                break
            tokens += segment.tokens
        return tokens

    def record(self, prompt: domain.Prompt) -> list[domain.PromptSegment]:
        """Records that a prompt was sent to the engine.

        Returns:
            The shared segments whose use is to be gossiped to the peers.
        """
        for segment in prompt.segments:
            self._touch(segment)
        now_ms = self._clock.now()
        to_gossip = []
        for segment in prompt.shared_segments:
            if segment.tokens < MIN_GOSSIPED_TOKENS:
                continue
            gossiped_ms = self._gossiped_ms.get(segment.id)
            if (
                gossiped_ms is None
                or now_ms - gossiped_ms > REGOSSIP_INTERVAL_MS
            ):
                self._gossiped_ms[segment.id] = now_ms
                to_gossip.append(segment)
        return to_gossip

    def record_peer(self, segment: domain.PromptSegment) -> None:
        """Records a cached segment that a peer or the engine reported."""
        self._touch(segment)
        self._gossiped_ms[segment.id] = self._clock.now()

    def _touch(self, segment: domain.PromptSegment) -> None:
        if segment.id in self._segments:
            self._segments.move_to_end(segment.id)
            return
        self._segments[segment.id] = segment.tokens
        self._tokens += segment.tokens
        while self._is_over_capacity():
            segment_id, tokens = self._segments.popitem(last=False)
            self._tokens -= tokens
            self._gossiped_ms.pop(segment_id, None)

    def _is_over_capacity(self) -> bool:
        count = len(self._segments)
        if count <= 1:
            return False
        return (
            self._tokens > self.capacity_tokens
            or count > self.capacity_segments
        )
