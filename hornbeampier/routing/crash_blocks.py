"""Finds the suspects that explain crashes of endpoints.

A crash has many suspects, as several requests begin on an endpoint at the same
time and each has several segments. The suspect with the most crashes is taken
to be the cause of all of them, and the others are judged by their remaining
crashes. Suspects with the same crashes cannot be told apart: a request is
blocked only if it has all of them, and one that has only some of them tells
them apart.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from hornbeampier.routing import crash_suspects

# Number of crashes after which a suspect is blocked.
CRASH_LIMIT = 3
# The same for a segment in prompts that were served before.
SERVED_CRASH_LIMIT = 5
# Endpoints that crash within this time of each other have one cause, such as a
# loss of power. No segment is blamed twice for that.
SAME_CAUSE_MS = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCrash:
    """The crash of one process of an endpoint, while a suspect ran there.

    Attributes:
        at_ms: When it happened, on the monotonic clock.
        count: Number of crashes up to this one, if a peer reported it.
    """

    at_ms: float
    count: int = 1


# The crashes of one suspect by incarnation of the endpoint.
Crashes = dict[str, SuspectCrash]


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Suspects of which only one need be the cause of the same crashes.

    Attributes:
        count: Number of crashes that they explain.
        incarnation: The incarnation that crashed last.
        crashed_ms: When it did, on the monotonic clock.
    """

    suspects: frozenset[str]
    count: int
    incarnation: str
    crashed_ms: float


def count_crashes(suspect: str, crashes: Collection[SuspectCrash]) -> int:
    """Returns the number of crashes that speak against a suspect."""
    reported = max((crash.count for crash in crashes), default=0)
    if not crash_suspects.is_segment(suspect):
        return max(reported, len(crashes))
    count = 0
    last_ms = None
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if last_ms is None or at_ms - last_ms >= SAME_CAUSE_MS:
            count += 1
            last_ms = at_ms
    return max(reported, count)


def find(
    evidence: Mapping[str, Crashes], was_served: Callable[[str], bool]
) -> list[Block]:
    """Returns the blocks that explain the crashes.

    Args:
        evidence: The crashes by suspect.
        was_served: Whether prompts with a segment were served before it had
            any of these crashes.
    """
    unexplained = {
        suspect: crashes
        for suspect, crashes in evidence.items()
        if _is_over_limit(suspect, crashes, was_served)
    }
    blocks = []
    while unexplained:
        worst = max(
            unexplained,
            key=lambda suspect: (
                not was_served(suspect),
                count_crashes(suspect, unexplained[suspect].values()),
                suspect,
            ),
        )
        blocks.append(_make_block(worst, unexplained, was_served))
        explained = unexplained[worst].keys()
        unexplained = _without(unexplained, explained, was_served)
    return blocks


def _is_over_limit(
    suspect: str, crashes: Crashes, was_served: Callable[[str], bool]
) -> bool:
    limit = SERVED_CRASH_LIMIT if was_served(suspect) else CRASH_LIMIT
    return count_crashes(suspect, crashes.values()) >= limit


def _make_block(
    worst: str,
    unexplained: Mapping[str, Crashes],
    was_served: Callable[[str], bool],
) -> Block:
    crashes = unexplained[worst]
    last = max(crashes, key=lambda incarnation: crashes[incarnation].at_ms)
    return Block(
        frozenset(
            suspect
            for suspect, others in unexplained.items()
            if others.keys() == crashes.keys()
            and was_served(suspect) == was_served(worst)
        ),
        count_crashes(worst, crashes.values()),
        last,
        crashes[last].at_ms,
    )


def _without(
    unexplained: Mapping[str, Crashes],
    explained: Collection[str],
    was_served: Callable[[str], bool],
) -> dict[str, Crashes]:
    """Returns the suspects that other crashes still speak against."""
    remaining = {}
    for suspect, crashes in unexplained.items():
        left = {
            incarnation: crash
            for incarnation, crash in crashes.items()
            if incarnation not in explained
        }
        if _is_over_limit(suspect, left, was_served):
            remaining[suspect] = left
    return remaining
