"""Estimated contents of an engine's prefix cache."""

import collections

from hornbeampier import clock as clocks
from hornbeampier.routing import domain

# Fraction of the KV cache that running requests leave to cached prefixes.
CACHE_SHARE = 0.6
DEFAULT_CAPACITY_TOKENS = 250_000
# The use of a segment is gossiped again only after this time.
TELL_AGAIN_MS = 3_000.0
# Smaller segments are not gossiped: their prefill takes little time.
MIN_TOLD_TOKENS = 1_000


class PrefixCacheIndex:
    """Segments believed to be in one engine's prefix cache, in LRU order."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._told_ms: dict[str, float] = {}
        self._tokens = 0
        self.capacity_tokens = DEFAULT_CAPACITY_TOKENS

    def leading_tokens(self, prompt: domain.Prompt) -> int:
        """Returns the length in tokens of the prompt's cached prefix."""
        tokens = 0
        for part in prompt.segments:
            if part.id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def record(self, prompt: domain.Prompt) -> list[domain.PromptSegment]:
        """Records that a prompt was sent to the engine.

        Returns:
            The shared segments whose use is to be gossiped to the peers.
        """
        for part in prompt.segments:
            self._use(part)
        now_ms = self._clock.now()
        untold = []
        for part in prompt.shared_segments:
            if part.tokens < MIN_TOLD_TOKENS:
                continue
            told_ms = self._told_ms.get(part.id)
            if told_ms is None or now_ms - told_ms > TELL_AGAIN_MS:
                self._told_ms[part.id] = now_ms
                untold.append(part)
        return untold

    def record_peer(self, part: domain.PromptSegment) -> None:
        """Records that a peer sent a prompt with this segment to the engine."""
        self._use(part)
        self._told_ms[part.id] = self._clock.now()

    def _use(self, part: domain.PromptSegment) -> None:
        if part.id in self._parts:
            self._parts.move_to_end(part.id)
            return
        self._parts[part.id] = part.tokens
        self._tokens += part.tokens
        while self._tokens > self.capacity_tokens and len(self._parts) > 1:
            part_id, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
            self._told_ms.pop(part_id, None)
