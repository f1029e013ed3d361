"""Sizes the pools of engines for short and for interactive prompts."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import workload

# Maximum fraction of the engines in the two pools together.
MAX_POOLS_FRACTION = 0.75
# Fraction of the engines in each pool until the traffic is known.
INITIAL_FRACTION = 0.2
# Hysteresis: a pool grows when its target size exceeds its size by GROW_MARGIN
# engines, and shrinks when the target has been smaller by SHRINK_MARGIN engines
# for SHRINK_DELAY_MS. Changes are costly: when an engine moves to another pool,
# prompts that share its cached prefixes are no longer sent to it.
GROW_MARGIN = 0.5
SHRINK_MARGIN = 1.1
SHRINK_DELAY_MS = 4_000.0
# A kind that needs fewer engines than this gets no pool of its own. Its prompts
# are sent to the engines of the other kinds.
MIN_NEED = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Number of engines in the pools of short and interactive prompts."""

    short: int
    interactive: int


class PoolSizer:
    """The size of one pool, which follows its target size with hysteresis."""

    def __init__(self, clock: clocks.Clock, size: int):
        self._clock = clock
        self._last_needed_ms = clock.now()
        self.size = size

    def resize(self, target_size: float, are_engines_scarce: bool) -> bool:
        """Adjusts the size to the target; returns whether it changed.

        Args:
            target_size: Target size, in engines.
            are_engines_scarce: Whether the sum of the target sizes of all pools
                exceeds the number of engines by more than GROW_MARGIN. A pool
                whose surplus reaches SHRINK_MARGIN then shrinks without waiting
                for SHRINK_DELAY_MS, because other pools lack its engines.
        """
        now_ms = self._clock.now()
        if target_size > max(MIN_NEED, self.size - SHRINK_MARGIN):
            self._last_needed_ms = now_ms
        is_missing = self.size == 0 and target_size > MIN_NEED
        should_grow = is_missing or target_size > self.size + GROW_MARGIN
        surplus_ms = now_ms - self._last_needed_ms
        should_shrink = surplus_ms >= SHRINK_DELAY_MS or (
            are_engines_scarce and surplus_ms > 0
        )
        if not should_grow and not (should_shrink and self.size):
            return False
        min_size = 1 if target_size > MIN_NEED else 0
        self.size = max(min_size, math.ceil(target_size - GROW_MARGIN))
        self._last_needed_ms = now_ms
        return True


class ServicePoolSizers:
    """The sizes of the pools for short and interactive prompts of a service."""

    def __init__(self, clock: clocks.Clock, engine_count: int):
        initial = max(1, round(engine_count * INITIAL_FRACTION))
        self.short = PoolSizer(clock, initial)
        self.interactive = PoolSizer(clock, initial)

    @property
    def sizes(self) -> Sizes:
        """The current size of both pools."""
        return Sizes(self.short.size, self.interactive.size)

    def resize(
        self, target_sizes: workload.Workload, engine_count: int
    ) -> bool:
        """Adjusts both sizes; returns whether one of them changed.

        Args:
            target_sizes: Target sizes by kind of prompt, in engines.
            engine_count: Number of engines of the service.
        """
        are_engines_scarce = sum(target_sizes) > engine_count + GROW_MARGIN
        changed = [
            self.short.resize(
                target_sizes[prompt_kinds.PromptKind.SHORT], are_engines_scarce
            ),
            self.interactive.resize(
                target_sizes[prompt_kinds.PromptKind.INTERACTIVE],
                are_engines_scarce,
            ),
        ]
        return any(changed)


def clamp(sizes: Sizes, engine_count: int) -> Sizes:
    """Returns the sizes, reduced so that engines remain for batch prompts."""
    max_engines = min(
        engine_count - 1, math.ceil(engine_count * MAX_POOLS_FRACTION)
    )
    total = sizes.short + sizes.interactive
    if total <= max_engines:
        return sizes
    short = min(sizes.short, math.ceil(max_engines * sizes.short / total))
    return Sizes(short, max_engines - short)
