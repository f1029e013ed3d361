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
import itertools

from hornbeampier.routing import crash_suspects

# Number of crashes after which a suspect is blocked.
CRASH_LIMIT = 3
# The same for a suspect that was served before.
SERVED_CRASH_LIMIT = 5
# Endpoints that crash within this time of each other have one cause, such as a
# loss of power. No suspect that may run on several of them is blamed twice.
SAME_CAUSE_MS = 150.0
# One request is tried this time after the last crash; it is four times as long
# after each trial that has failed. A suspect that was served before is tried
# earlier, as it may have been on endpoints that crashed for another reason.
FIRST_TRIAL_MS = 30_000.0
SERVED_TRIAL_MS = 10_000.0
TRIAL_GROWTH = 4.0
MAX_TRIAL_MS = 1_800_000.0
MAX_BLOCKS = 64


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
        trial_ms: When a request may be tried.
    """

    suspects: frozenset[str]
    count: int
    incarnation: str
    crashed_ms: float
    trial_ms: float = 0.0


def count_crashes(
    suspect: str, crashes: Collection[SuspectCrash], was_served: bool
) -> int:
    """Returns the number of crashes that speak against a suspect.

    A request that was never served runs on one endpoint after the other.
    """
    reported = max((crash.count for crash in crashes), default=0)
    if not (was_served or crash_suspects.is_segment(suspect)):
        return max(reported, len(crashes))
    count = 0
    last_ms = None
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if last_ms is None or at_ms - last_ms >= SAME_CAUSE_MS:
            count += 1
            last_ms = at_ms
    return max(reported, count)


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A suspect over its limit, with the crashes that nothing else explains."""

    suspect: str
    crashes: Crashes
    count: int
    was_served: bool

    @property
    def rank(self) -> tuple[bool, int, str]:
        """The sort key; the highest is blocked first."""
        return not self.was_served, self.count, self.suspect

    def is_alike(self, other: "_Candidate") -> bool:
        """Whether nothing tells two suspects apart."""
        return (
            self.crashes.keys() == other.crashes.keys()
            and self.was_served == other.was_served
        )


def find(
    evidence: Mapping[str, Crashes], was_served: Callable[[str], bool]
) -> list[Block]:
    """Returns the blocks that explain the crashes, at most MAX_BLOCKS.

    Args:
        evidence: The crashes by suspect.
        was_served: Whether prompts with a segment were served before it had
            any of these crashes.
    """
    candidates: dict[str, _Candidate] = {}
    suspects_of: dict[str, set[str]] = {}
    for suspect, crashes in evidence.items():
        candidate = _rate(suspect, crashes, was_served(suspect))
        if candidate is not None:
            candidates[suspect] = candidate
            for incarnation in crashes:
                suspects_of.setdefault(incarnation, set()).add(suspect)
    blocks = []
    while candidates and len(blocks) < MAX_BLOCKS:
        worst = max(candidates.values(), key=lambda c: c.rank)
        related = {s for i in worst.crashes for s in suspects_of[i]}
        blocks.append(_take_block(worst, related, candidates))
    return blocks


def _rate(
    suspect: str, crashes: Crashes, was_served: bool
) -> _Candidate | None:
    """Returns a candidate, or None for a suspect below its limit."""
    limit = SERVED_CRASH_LIMIT if was_served else CRASH_LIMIT
    count = count_crashes(suspect, crashes.values(), was_served)
    if count < limit:
        return None
    return _Candidate(suspect, crashes, count, was_served)


def _take_block(
    worst: _Candidate,
    related: Collection[str],
    candidates: dict[str, _Candidate],
) -> Block:
    """Removes a block from the candidates, and the crashes that it explains.

    `related` are the suspects of any of these crashes.
    """
    alike = set()
    for suspect in related:
        candidate = candidates.pop(suspect, None)
        if candidate is None:
            continue
        if candidate.is_alike(worst):
            alike.add(suspect)
            continue
        left = {
            incarnation: crash
            for incarnation, crash in candidate.crashes.items()
            if incarnation not in worst.crashes
        }
        rated = _rate(suspect, left, candidate.was_served)
        if rated is not None:
            candidates[suspect] = rated
    last = max(worst.crashes, key=lambda key: worst.crashes[key].at_ms)
    return Block(
        frozenset(alike),
        worst.count,
        last,
        worst.crashes[last].at_ms,
        _trial_ms(worst),
    )


def _trial_ms(candidate: _Candidate) -> float:
    """Returns when a request may be tried, on the monotonic clock."""
    first_ms = SERVED_TRIAL_MS if candidate.was_served else FIRST_TRIAL_MS
    times_ms = sorted(crash.at_ms for crash in candidate.crashes.values())
    failed_trials = sum(
        later_ms - earlier_ms >= first_ms
        for earlier_ms, later_ms in itertools.pairwise(times_ms)
    )
    interval_ms = first_ms * TRIAL_GROWTH**failed_trials
    return times_ms[-1] + min(MAX_TRIAL_MS, interval_ms)
