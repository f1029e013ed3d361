"""The offered load of each class on this VM, as a decaying mean."""

import dataclasses
import math

TIME_CONSTANT_MS = 10_000.0


@dataclasses.dataclass
class _Level:
    value: float = 0.0
    at_ms: float = 0.0


class OfferedLoad:
    """Mean number of endpoint slots that each class asks for."""

    def __init__(self):
        self._levels: dict[str, _Level] = {}

    def record(self, class_name: str, cost_ms: float, now_ms: float) -> None:
        """Adds an arrival with its expected endpoint time."""
        level = self._levels.setdefault(class_name, _Level(at_ms=now_ms))
        level.value = _decay(level, now_ms) + cost_ms / TIME_CONSTANT_MS
        level.at_ms = now_ms

    def slots(self, class_name: str, now_ms: float) -> float:
        """Returns the slots that the class's arrivals keep busy."""
        level = self._levels.get(class_name)
        return 0.0 if level is None else _decay(level, now_ms)


def _decay(level: _Level, now_ms: float) -> float:
    elapsed_ms = max(0.0, now_ms - level.at_ms)
    return level.value * math.exp(-elapsed_ms / TIME_CONSTANT_MS)
