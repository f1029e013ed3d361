"""Decides how many engines the pools of short and interactive prompts have."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import kinds
from hornbeampier.routing import workload

# Share of the engines that the two kinds may take together.
MAX_SHARE = 0.75
# Share of the engines that each of them gets until the traffic is known.
INITIAL_SHARE = 0.2
# Engines that a pool must lack to grow, and have beyond its need for a while
# to shrink: an engine that changes pools is of no use to prompts whose parts it
# keeps.
GROW_AT = 0.5
SHRINK_AT = 1.1
SHRINK_AFTER_MS = 4_000.0
# A kind with less need than this shares the engines of the others.
MIN_NEED = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Engines in the pools of short and interactive prompts."""

    short: int
    interactive: int


class PoolSize:
    """The engines of one pool, which follow their need with hysteresis."""

    def __init__(self, clock: clocks.Clock, engines: int):
        self._clock = clock
        self._needed_ms = clock.now()
        self.engines = engines

    def resize(self, wanted: float, is_scarce: bool) -> bool:
        """Follows the need; returns whether the size changed.

        Args:
            wanted: Engines that the pool is to have.
            is_scarce: Whether other pools lack what it does not need.
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
        """The engines of both."""
        return Sizes(self.short.engines, self.interactive.engines)

    def resize(self, wanted: workload.Work, count: int) -> bool:
        """Follows the needs; returns whether a size changed."""
        is_scarce = sum(wanted) > count + GROW_AT
        changed = [
            self.short.resize(wanted[kinds.Kind.SHORT], is_scarce),
            self.interactive.resize(wanted[kinds.Kind.INTERACTIVE], is_scarce),
        ]
        return any(changed)


def bounded(sizes: Sizes, count: int) -> Sizes:
    """Returns sizes that leave some engines to the other long prompts."""
    most = min(count - 1, math.ceil(count * MAX_SHARE))
    total = sizes.short + sizes.interactive
    if total <= most:
        return sizes
    short = min(sizes.short, math.ceil(most * sizes.short / total))
    return Sizes(short, most - short)
