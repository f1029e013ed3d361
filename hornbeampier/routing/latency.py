"""Measures how slow an endpoint is, relative to the expected latency."""

import dataclasses
import itertools
import math

from hornbeampier import clock as clocks

# Decay time constant of the sums over past responses.
DECAY_TIME_MS = 8_000.0
# Weight of the prior assumption that an endpoint is as fast as expected.
PRIOR_MS = 400.0
# A pending response counts as overdue after this multiple of its expected time,
# but not before MIN_OVERDUE_MS.
OVERDUE_FACTOR = 2.5
MIN_OVERDUE_MS = 250.0
# A failed attempt counts as a response that took at least this multiple of its
# expected time.
FAILURE_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySums:
    """Sums of the measured and expected times of recent responses."""

    measured_ms: float = 0.0
    expected_ms: float = 0.0


NO_SUMS = LatencySums()


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    started_ms: float
    expected_ms: float


class LatencyMeter:
    """Compares the measured with the expected latency of one endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._measured_ms = 0.0
        self._expected_ms = 0.0
        self._updated_ms = clock.now()
        self._pending: dict[int, _Pending] = {}
        self._tickets = itertools.count()

    def begin(self, expected_ms: float) -> int:
        """Starts to measure a response; returns a ticket for `end`."""
        ticket = next(self._tickets)
        self._pending[ticket] = _Pending(self._clock.now(), expected_ms)
        return ticket

    def end(self, ticket: int | None, failed: bool = False) -> None:
        """Records a response or a failure; later calls are ignored."""
        pending = self._pending.pop(ticket, None)
        if pending is None:
            return
        self._decay()
        took_ms = self._clock.now() - pending.started_ms
        if failed:
            took_ms = max(took_ms, pending.expected_ms * FAILURE_FACTOR)
        self._measured_ms += took_ms
        self._expected_ms += pending.expected_ms

    def discard(self, ticket: int | None) -> None:
        """Drops a pending response, for example because its caller went away.

        Does nothing if the response has already been measured.
        """
        self._pending.pop(ticket, None)

    def sums(self) -> LatencySums:
        """Returns the sums, including overdue responses."""
        self._decay()
        measured_ms, expected_ms = self._measured_ms, self._expected_ms
        now_ms = self._clock.now()
        for pending in self._pending.values():
            waited_ms = now_ms - pending.started_ms
            limit_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * pending.expected_ms)
            if waited_ms > limit_ms:
                measured_ms += waited_ms
                expected_ms += pending.expected_ms
        return LatencySums(measured_ms, expected_ms)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._updated_ms - now_ms) / DECAY_TIME_MS)
        self._measured_ms *= factor
        self._expected_ms *= factor
        self._updated_ms = now_ms


def slowdown(own: LatencySums, peers: LatencySums) -> float:
    """Returns the ratio of measured to expected time over all VMs."""
    measured_ms = own.measured_ms + peers.measured_ms + PRIOR_MS
    return measured_ms / (own.expected_ms + peers.expected_ms + PRIOR_MS)
