"""What a process holds for clients, and the log lines of a shortage."""

import dataclasses
import enum

import structlog

from hornbeampier import clock as clocks

# Once the budget has been met, this passes without reclaiming before it counts
# as no longer met.
CALM_MS = 5_000.0


class Reason(enum.StrEnum):
    """Why a connection gave up what it held."""

    MEMORY = "memory"
    PLACE = "place"


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process holds for clients.

    Attributes:
        limit_bytes: The most that it may hold.
        connection_bytes: Held for connections.
        request_bytes: Held for requests: their heads, bodies and unread input,
            and responses that their clients have yet to read.
        reclaimed: Number of connections that gave up what they held, by
            reason.
    """

    limit_bytes: int
    connection_bytes: int
    request_bytes: int
    reclaimed: dict[Reason, int]


class ShortageLog:
    """Logs when the budget is met first, and when it is met no longer."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._is_met = False
        self._met_ms = 0.0
        self._reclaimed_before = 0
        self._log = structlog.get_logger(task="memory")

    def record(self, usage: Usage) -> None:
        """Records that the budget is met."""
        self._met_ms = self._clock.now()
        if self._is_met:
            return
        self._is_met = True
        self._reclaimed_before = usage.reclaimed[Reason.MEMORY]
        self._log.warning("memory_budget_met", **_log_fields(usage))

    def is_over(self) -> bool:
        """Whether a shortage is over that has not been logged as such."""
        is_calm = self._clock.now() - self._met_ms >= CALM_MS
        return self._is_met and is_calm

    def record_end(self, usage: Usage) -> None:
        """Records that the budget is met no longer."""
        self._is_met = False
        count = usage.reclaimed[Reason.MEMORY] - self._reclaimed_before
        self._log.info(
            "memory_budget_free", reclaimed=count, **_log_fields(usage)
        )


def _log_fields(usage: Usage) -> dict[str, int]:
    return {
        "limit_bytes": usage.limit_bytes,
        "connection_bytes": usage.connection_bytes,
        "request_bytes": usage.request_bytes,
    }
