"""The order in which connections give up their memory and their places."""

from collections.abc import Iterable
import enum
from typing import Protocol
from typing import TypeVar


class Stage(enum.Enum):
    """What a connection is doing.

    Attributes:
        NEW: It has not carried a request yet.
        RECEIVING: A request has begun to arrive, or is being refused.
        SERVING: Its request has arrived completely.
        RESPONDING: A large response waits until its client reads it.
        IDLE: It waits for another request.
    """

    NEW = "new"
    RECEIVING = "receiving"
    SERVING = "serving"
    RESPONDING = "responding"
    IDLE = "idle"


IN_REQUEST = frozenset({Stage.RECEIVING, Stage.SERVING, Stage.RESPONDING})
# The order in which memory is reclaimed.
STAGE_ORDER = {
    Stage.RECEIVING: 0,
    Stage.NEW: 1,
    Stage.RESPONDING: 2,
    Stage.IDLE: 3,
}


class Waiting(Protocol):
    """A connection, as `memory_budget.Holder`."""

    stage: Stage
    since_ms: float

    @property
    def held_bytes(self) -> int:
        """The memory of the connection and its request."""
        ...

    @property
    def is_reclaimed(self) -> bool:
        """Whether it has to end already."""
        ...


W = TypeVar("W", bound=Waiting)


def by_memory(holders: Iterable[W], now_ms: float) -> list[W]:
    """Returns those that may give up their memory, in the order of reclaiming.

    The first are those without a complete request that have held most for
    longest. Those that have sent nothing follow, then those that do not read
    their responses. Connections of well-behaved clients, which wait between two
    requests, come last.
    """
    waiting = [h for h in holders if h.stage is not Stage.SERVING]

    def rank(holder: W) -> tuple[int, float]:
        waited_ms = max(1.0, now_ms - holder.since_ms)
        return STAGE_ORDER[holder.stage], -holder.held_bytes * waited_ms

    return sorted(waiting, key=rank)


def longest_waiting(holders: Iterable[W]) -> W | None:
    """Returns the one that has waited longest for a complete request."""
    candidates = [h for h in holders if not h.is_reclaimed]
    for stages in ((Stage.NEW, Stage.RECEIVING), (Stage.IDLE,)):
        waiting = [h for h in candidates if h.stage in stages]
        if waiting:
            return min(waiting, key=lambda h: h.since_ms)
    return None
