"""How slow an endpoint is, compared with what was expected of it."""

import dataclasses
import itertools
import math

from hornbeampier import clock as clocks

# Time constant of the decay of past answers.
MEMORY_MS = 8_000.0
# Weight of the assumption that an endpoint is as fast as expected.
PRIOR_MS = 400.0
# A pending answer counts as slow when it takes so many times what was
# expected, and at least this long.
OVERDUE_FACTOR = 2.5
OVERDUE_MS = 250.0
# A failed attempt counts as an answer that took so many times as long.
FAILURE_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Sums over answers of late, in ms."""

    measured_ms: float = 0.0
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    started_ms: float
    expected_ms: float


class SpeedMeter:
    """Compares measured with expected times of one endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._measured_ms = 0.0
        self._expected_ms = 0.0
        self._at_ms = clock.now()
        self._pending: dict[int, _Pending] = {}
        self._tickets = itertools.count()

    def begin(self, expected_ms: float) -> int:
        """Notes that an answer is awaited; returns a ticket for `end`."""
        ticket = next(self._tickets)
        self._pending[ticket] = _Pending(self._clock.now(), expected_ms)
        return ticket

    def end(self, ticket: int | None, failed: bool = False) -> None:
        """Notes that the answer began or failed; a second call is ignored."""
        pending = self._pending.pop(ticket, None)
        if pending is None:
            return
        self._decay()
        took_ms = self._clock.now() - pending.started_ms
        if failed:
            took_ms = max(took_ms, pending.expected_ms * FAILURE_FACTOR)
        self._measured_ms += took_ms
        self._expected_ms += pending.expected_ms

    def forget(self, ticket: int | None) -> None:
        """Drops an awaited answer that says nothing, as its caller left."""
        self._pending.pop(ticket, None)

    def sample(self) -> Sample:
        """Returns the sums, with answers that are overdue."""
        self._decay()
        measured_ms, expected_ms = self._measured_ms, self._expected_ms
        now_ms = self._clock.now()
        for pending in self._pending.values():
            waited_ms = now_ms - pending.started_ms
            limit_ms = max(OVERDUE_MS, OVERDUE_FACTOR * pending.expected_ms)
            if waited_ms > limit_ms:
                measured_ms += waited_ms
                expected_ms += pending.expected_ms
        return Sample(measured_ms, expected_ms)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._at_ms - now_ms) / MEMORY_MS)
        self._measured_ms *= factor
        self._expected_ms *= factor
        self._at_ms = now_ms


def slowness(own: Sample, peers: Sample) -> float:
    """Returns measured over expected time; 1 is as fast as expected."""
    measured_ms = own.measured_ms + peers.measured_ms + PRIOR_MS
    return measured_ms / (own.expected_ms + peers.expected_ms + PRIOR_MS)
