"""What the store's log of registrations shows: versions, and since when."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from hornbeampier.routing import domain
from hornbeampier.routing import stream_origins

# Entries of a process that may have come without a heartbeat between them, as
# an endpoint also writes one when its state changes.
EXTRA_ENTRIES = 2
# VMs may use an endpoint for this time after its entry was removed.
REMOVAL_DELAY_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """One record of the log.

    Attributes:
        endpoint: The entry; None if it was removed, or is unreadable.
    """

    endpoint_id: str
    endpoint: domain.Endpoint | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogSummary:
    """What a part of the log up to its end shows.

    Attributes:
        ages_ms: Lower bound on the time since each version in the log was
            registered; 0 if it is.
        covered_ms: Time up to now in which no other version was registered.
    """

    ages_ms: dict[stream_origins.Origin, float]
    covered_ms: float


# Identifies a process of an endpoint.
_Process = tuple[str, int]


def summarize(
    registrations: Iterable[Registration],
    heartbeat_ms: float,
    is_complete: bool,
    has_losses: bool,
) -> LogSummary:
    """Returns what the log shows.

    Args:
        registrations: The records, in order, up to the end of the log.
        heartbeat_ms: Interval at which endpoints write their entries.
        is_complete: Whether the log holds all records that were ever written.
        has_losses: Whether the store may have lost records in between.
    """
    rows = list(registrations)
    min_ages_ms = _min_ages(rows, heartbeat_ms)
    ages_ms = _version_ages(rows, min_ages_ms)
    if is_complete and not has_losses:
        return LogSummary(ages_ms, math.inf)
    first = _first_after_loss(rows) if has_losses else 0
    return LogSummary(ages_ms, _without_removal_delay(min_ages_ms[first]))


def _min_ages(rows: list[Registration], heartbeat_ms: float) -> list[float]:
    """Returns a lower bound on the age of each record, and 0 for the end.

    It is the longest time that a process needed to write its entries from this
    record on. Entries that are not in the log do not count, as another writer
    may have changed a sequence.
    """
    last: dict[_Process, int] = {}
    later_counts: collections.Counter[_Process] = collections.Counter()
    min_ages_ms = [0.0] * (len(rows) + 1)
    for index in range(len(rows) - 1, -1, -1):
        min_ages_ms[index] = min_ages_ms[index + 1]
        endpoint = rows[index].endpoint
        if endpoint is None:
            continue
        process = _process(endpoint)
        newest = last.setdefault(process, endpoint.sequence)
        interval_count = min(newest - endpoint.sequence, later_counts[process])
        later_counts[process] += 1
        min_ages_ms[index] = max(
            min_ages_ms[index], (interval_count - EXTRA_ENTRIES) * heartbeat_ms
        )
    return min_ages_ms


def _version_ages(
    rows: list[Registration], min_ages_ms: list[float]
) -> dict[stream_origins.Origin, float]:
    """Returns the age of each version, by when it was registered last."""
    current: dict[str, stream_origins.Origin] = {}
    counts: collections.Counter[stream_origins.Origin] = collections.Counter()
    ages_ms: dict[stream_origins.Origin, float] = {}
    for index, row in enumerate(rows):
        previous = current.pop(row.endpoint_id, None)
        if previous is not None:
            counts[previous] -= 1
            ages_ms[previous] = _without_removal_delay(min_ages_ms[index])
        if row.endpoint is not None:
            origin = stream_origins.of_endpoint(row.endpoint)
            current[row.endpoint_id] = origin
            counts[origin] += 1
            ages_ms[origin] = 0.0
    return {
        origin: 0.0 if counts[origin] > 0 else age_ms
        for origin, age_ms in ages_ms.items()
    }


def _first_after_loss(rows: list[Registration]) -> int:
    """Returns the index of the last record whose predecessor is missing."""
    first = 0
    last: dict[_Process, int] = {}
    for index, row in enumerate(rows):
        if row.endpoint is None:
            continue
        process = _process(row.endpoint)
        if row.endpoint.sequence > last.get(process, 0) + 1:
            first = index
        last[process] = row.endpoint.sequence
    return first


def _without_removal_delay(age_ms: float) -> float:
    """Returns an age less the time for which VMs may use a removed entry."""
    return max(0.0, age_ms - REMOVAL_DELAY_MS)


def _process(endpoint: domain.Endpoint) -> _Process:
    return endpoint.id, endpoint.started_ms
