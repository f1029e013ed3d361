"""Sizes the pools of engines for short and for interactive prompts."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import workload

# Maximum fraction of the engines in the two pools together.
MAX_SHARE = 0.75
# Fraction of the engines in each pool until the traffic is known.
INITIAL_SHARE = 0.2
# Hysteresis, in engines: a pool grows when its target size is larger than its
# size by GROW_AT, and shrinks when the target has been smaller by SHRINK_AT for
# SHRINK_AFTER_MS. When an engine changes pools, the prefixes in its cache are
# of no use to the prompts that it served.
GROW_AT = 0.5
SHRINK_AT = 1.1
SHRINK_AFTER_MS = 4_000.0
# A kind that needs fewer engines than this gets no pool of its own.
MIN_NEED = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Number of engines in the pools of short and interactive prompts."""

    short: int
    interactive: int


class PoolSize:
    """The size of one pool, which follows its target size with hysteresis."""

    def __init__(self, clock: clocks.Clock, engines: int):
        self._clock = clock
        self._needed_ms = clock.now()
        self.engines = engines

    def resize(self, wanted: float, is_scarce: bool) -> bool:
        """Adjusts the size to the target; returns whether it changed.

        Args:
            wanted: Target size, in engines.
            is_scarce: Whether the targets of all pools exceed the number of
                engines; then a pool shrinks without delay.
        """
        now_ms = self._clock.now()
        if wanted > max(MIN_NEED, self.engines - SHRINK_AT):
            self._needed_ms = now_ms
        is_missing = self.engines == 0 and wanted > MIN_NEED
        is_small = is_missing or wanted > self.engines + GROW_AT
        idle_ms = now_ms - self._needed_ms
        is_large = idle_ms >= SHRINK_AFTER_MS or (is_scarce and idle_ms > 0)
        if not is_small and not (is_large and self.engines):
            return False
        fewest = 1 if wanted > MIN_NEED else 0
        self.engines = max(fewest, math.ceil(wanted - GROW_AT))
        self._needed_ms = now_ms
        return True


class ServicePools:
    """The pools of short and interactive prompts of one service."""

    def __init__(self, clock: clocks.Clock, count: int):
        initial = max(1, round(count * INITIAL_SHARE))
        self.short = PoolSize(clock, initial)
        self.interactive = PoolSize(clock, initial)

    @property
    def sizes(self) -> Sizes:
        """The current size of both pools."""
        return Sizes(self.short.engines, self.interactive.engines)

    def resize(self, wanted: workload.Work, count: int) -> bool:
        """Adjusts both sizes; returns whether one of them changed.

        Args:
            wanted: Target sizes by kind of prompt, in engines.
            count: Number of engines of the service.
        """
        is_scarce = sum(wanted) > count + GROW_AT
        changed = [
            self.short.resize(wanted[prompt_kinds.PromptKind.SHORT], is_scarce),
            self.interactive.resize(
                wanted[prompt_kinds.PromptKind.INTERACTIVE], is_scarce
            ),
        ]
        return any(changed)


def bounded(sizes: Sizes, count: int) -> Sizes:
    """Returns the sizes, reduced if batch prompts would get no engines."""
    most = min(count - 1, math.ceil(count * MAX_SHARE))
    total = sizes.short + sizes.interactive
    if total <= most:
        return sizes
    short = min(sizes.short, math.ceil(most * sizes.short / total))
    return Sizes(short, most - short)
