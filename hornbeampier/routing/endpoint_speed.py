"""Measures how long work takes at an endpoint, from this VM's own responses."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import latency

# Decay time constant of the evidence of past streams.
DECAY_TIME_MS = 30_000.0
# Each stream counts in the sums as if its event delay was expected to be this.
# The sums of all VMs then weigh streams equally, and fit in whole milliseconds.
STREAM_WEIGHT_MS = 100.0
# Sums that have decayed below this count as none, so that gossip leaves out
# idle engines.
MIN_EXPECTED_MS = 20.0
# A stream counts as at most this many times as slow, or as fast, as expected.
MAX_RATIO = 4.0
# Half-life of the weight of a reported slowdown. Other work slows down an
# endpoint for some hundred ms.
SLOWDOWN_HALF_LIFE_MS = 300.0
# A reported slowdown of this age has no weight.
MAX_SLOWDOWN_AGE_MS = 10 * SLOWDOWN_HALF_LIFE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an endpoint, as stated in one of its responses.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it can run at once.
        slowdown: How many times longer than normal work takes there now; None
            if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class SpeedMeter:
    """The speed of one incarnation of an endpoint.

    Attributes:
        report: The newest load report, or None.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._measured_ms = 0.0
        self._expected_ms = 0.0
        self._updated_ms = 0.0
        self._reported_ms = 0.0
        self._slowdown = 1.0
        self.report: LoadReport | None = None

    def record_report(self, report: LoadReport) -> None:
        """Records the load report of a response that has just arrived."""
        self.report = report
        if report.slowdown is not None:
            self._slowdown = report.slowdown
            self._reported_ms = self._clock.now()

    def record_stream(self, ratio: float) -> None:
        """Records the measured event delay over the expected one."""
        self._decay()
        ratio = min(max(ratio, 1.0 / MAX_RATIO), MAX_RATIO)
        self._measured_ms += ratio * STREAM_WEIGHT_MS
        self._expected_ms += STREAM_WEIGHT_MS

    def sums(self) -> latency.LatencySums:
        """Returns the decayed sums over this VM's streams."""
        if not self._expected_ms:
            return latency.NO_SUMS
        self._decay()
        if self._expected_ms < MIN_EXPECTED_MS:
            return latency.NO_SUMS
        return latency.LatencySums(self._measured_ms, self._expected_ms)

    def current_slowdown(self) -> float:
        """Returns how many times longer than normal work takes there now.

        Without a recent report it is 1.
        """
        if self._slowdown == 1.0:
            return 1.0
        age_ms = self._clock.now() - self._reported_ms
        if age_ms >= MAX_SLOWDOWN_AGE_MS:
            self._slowdown = 1.0
            return 1.0
        weight = 0.5 ** (age_ms / SLOWDOWN_HALF_LIFE_MS)
        return 1.0 + weight * (self._slowdown - 1.0)

    def _decay(self) -> None:
        now_ms = self._clock.now()
        factor = math.exp((self._updated_ms - now_ms) / DECAY_TIME_MS)
        self._measured_ms *= factor
        self._expected_ms *= factor
        self._updated_ms = now_ms
