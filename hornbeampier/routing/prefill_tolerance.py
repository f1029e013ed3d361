"""Decides which streams tolerate prefill of long prompts on their engine.

Prefill delays all streams on an engine. Short prompts whose streams still meet
their targets beside it need no engines of their own, which would only be taken
from the long prompts.
"""

import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model

# A route tolerates prefill if the inter-event delay beside it is at most this
# fraction of its target. It stops to do so above the target itself.
PAUSE_FRACTION = 0.8
# A route tolerates prefill if that of one long prompt takes at most this
# fraction of its latency target. It stops to do so above the second fraction.
PREFILL_FRACTION = 0.2
MAX_PREFILL_FRACTION = 0.3
# Engines of protected routes take prefill of other prompts that lasts at most
# these fractions of the routes' targets.
MAX_STALL_FRACTION = 0.5
MAX_DELAY_FRACTION = 0.25
# The same while no protected route has prompts.
DEFAULT_MAX_PREFILL_MS = 80.0
# A route without prompts for this time is no longer protected.
ROUTE_RETENTION_MS = 10_000.0
# Weight of the newest long prompt in the moving average of their prefill.
PREFILL_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenRoute:
    """A route and when its last prompt arrived."""

    route: domain.Route
    seen_ms: float


class PrefillTolerance:
    """Which routes of one service tolerate prefill of long prompts.

    The others are protected: their prompts have engines of their own.
    """

    def __init__(self, model: engine_model.EngineModel, clock: clocks.Clock):
        self._model = model
        self._clock = clock
        self._protected: dict[str, _SeenRoute] = {}
        self._long_prefill_tokens: float | None = None
        self._tolerant: set[str] = set()

    def record_long(self, prefill_tokens: float) -> None:
        """Records the tokens to prefill for a long prompt."""
        mean = self._long_prefill_tokens
        if mean is None:
            mean = prefill_tokens
        mean += PREFILL_WEIGHT * (prefill_tokens - mean)
        self._long_prefill_tokens = mean

    def record_protected(self, route: domain.Route) -> None:
        """Records a prompt of a route that does not tolerate prefill."""
        self._protected[route.name] = _SeenRoute(route, self._clock.now())

    def max_prefill_ms(self, tokens_per_event: float) -> float:
        """Returns how long engines of protected routes may prefill at a time.

        An event that starts with the prefill is then still on time, and so is
        the first event of the next prompt.
        """
        oldest_ms = self._clock.now() - ROUTE_RETENTION_MS
        self._protected = {
            name: seen
            for name, seen in self._protected.items()
            if seen.seen_ms >= oldest_ms
        }
        event_ms = tokens_per_event * self._model.step_ms(tokens_per_event)
        return min(
            (
                self._max_prefill_beside(seen.route, event_ms)
                for seen in self._protected.values()
            ),
            default=DEFAULT_MAX_PREFILL_MS,
        )

    def _max_prefill_beside(
        self, route: domain.Route, event_ms: float
    ) -> float:
        return min(
            MAX_STALL_FRACTION * route.inter_event_target_ms - event_ms,
            MAX_DELAY_FRACTION * route.latency_target_ms,
        )

    def tolerates_pauses(self, route: domain.Route) -> bool:
        """Whether the inter-event delay beside prefill is within its target.

        True until such a delay has been measured.
        """
        pause_ms = self._model.prefill_pause_ms
        return (
            pause_ms is None
            or pause_ms <= PAUSE_FRACTION * route.inter_event_target_ms
        )

    def tolerates(self, route: domain.Route) -> bool:
        """Whether a route tolerates prefill, with hysteresis."""
        pause_ms = self._model.prefill_pause_ms
        tokens = self._long_prefill_tokens
        was_tolerant = route.name in self._tolerant
        if pause_ms is None or tokens is None:
            return was_tolerant
        pause_fraction = 1.0 if was_tolerant else PAUSE_FRACTION
        prefill_fraction = (
            MAX_PREFILL_FRACTION if was_tolerant else PREFILL_FRACTION
        )
        prefill_ms = self._model.prefill_ms(tokens)
        if (
            pause_ms <= pause_fraction * route.inter_event_target_ms
            and prefill_ms <= prefill_fraction * route.latency_target_ms
        ):
            self._tolerant.add(route.name)
            return True
        self._tolerant.discard(route.name)
        return False
