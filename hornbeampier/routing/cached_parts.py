"""What an engine is believed to keep of the prompts that it has read."""

import collections

from hornbeampier import clock as clocks
from hornbeampier.routing import model

# Part of the KV cache that running requests leave to cached parts.
CACHE_SHARE = 0.6
DEFAULT_CAPACITY_TOKENS = 250_000
# Peers are told of a use unless they know of one as young as this.
TELL_AGAIN_MS = 3_000.0
# Parts that are smaller are quickly read; peers are not told of them.
MIN_TOLD_TOKENS = 1_000


class CachedParts:
    """The parts in one engine's cache, by least recent use."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._told_ms: dict[str, float] = {}
        self._tokens = 0
        self.capacity_tokens = DEFAULT_CAPACITY_TOKENS

    def leading_tokens(self, prompt: model.Prompt) -> int:
        """Returns the tokens of the prompt's first parts that are kept."""
        tokens = 0
        for part in prompt.parts:
            if part.id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def record(self, prompt: model.Prompt) -> list[model.PromptPart]:
        """Notes that the engine reads a prompt.

        Returns:
            The shared parts whose use the peers should be told.
        """
        for part in prompt.parts:
            self._use(part)
        now_ms = self._clock.now()
        untold = []
        for part in prompt.shared_parts:
            if part.tokens < MIN_TOLD_TOKENS:
                continue
            told_ms = self._told_ms.get(part.id)
            if told_ms is None or now_ms - told_ms > TELL_AGAIN_MS:
                self._told_ms[part.id] = now_ms
                untold.append(part)
        return untold

    def record_peer(self, part: model.PromptPart) -> None:
        """Notes that a peer sent a prompt with this part to the engine."""
        self._use(part)
        self._told_ms[part.id] = self._clock.now()

    def _use(self, part: model.PromptPart) -> None:
        if part.id in self._parts:
            self._parts.move_to_end(part.id)
            return
        self._parts[part.id] = part.tokens
        self._tokens += part.tokens
        while self._tokens > self.capacity_tokens and len(self._parts) > 1:
            part_id, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
            self._told_ms.pop(part_id, None)
