"""The time by which requests are assigned to windows, the same on all VMs.

Other modules call it true time.
"""

import dataclasses
import math

import structlog

from hornbeampier import clock as clocks

# Rate at which the wall clock is followed. A step of the wall clock that is
# undone after a minute moves the time by less than 50 ms.
SLEW_RATE = 0.0005
# The time is set to that of the peers if it differs by more.
MAX_PEER_DIFFERENCE_MS = 200.0
# A sample of a peer's time is used for this long, and only if it was taken
# within a short exchange: the process may have been paused meanwhile.
SAMPLE_RETENTION_MS = 20_000.0
MAX_ROUND_TRIP_MS = 500.0
# A process relies on its time once it knows that of this number of peers, or
# after this time.
SETTLING_SAMPLES = 2
SETTLING_MS = 2_500.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """A peer's time as its offset from this VM's monotonic clock."""

    offset_ms: float
    taken_ms: float


class UsageClock:
    """The wall clock at the start of the process, plus monotonic time."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._offset_ms = clock.unix() - clock.now()
        self._adjusted_ms = clock.now()
        self._started_ms = clock.now()
        self._samples: dict[str, _Sample] = {}
        self._log = structlog.get_logger(task="usage_clock")

    def now(self) -> float:
        """Returns the time in ms since the Unix epoch."""
        return self.at(self._clock.now())

    def at(self, monotonic_ms: float) -> float:
        """Returns the time in ms since the Unix epoch at a monotonic time."""
        return monotonic_ms + self._offset_ms

    def is_settled(self) -> bool:
        """Whether enough peers have told their time, or could have done so."""
        uptime_ms = self._clock.now() - self._started_ms
        return (
            len(self._samples) >= SETTLING_SAMPLES or uptime_ms >= SETTLING_MS
        )

    def record_peer(
        self, host: str, peer_ms: float, round_trip_ms: float
    ) -> None:
        """Records the time in a peer's reply, in ms since the Unix epoch."""
        if not 0.0 <= round_trip_ms <= MAX_ROUND_TRIP_MS:
            return
        now_ms = self._clock.now()
        offset_ms = peer_ms + round_trip_ms / 2 - now_ms
        self._samples[host] = _Sample(offset_ms, now_ms)

    def adjust(self) -> bool:
        """Follows the wall clock slowly, and the peers at once.

        Returns:
            Whether the time was set to that of the peers.
        """
        now_ms = self._clock.now()
        elapsed_ms = max(0.0, now_ms - self._adjusted_ms)
        self._adjusted_ms = now_ms
        error_ms = self._clock.unix() - now_ms - self._offset_ms
        slew_ms = min(abs(error_ms), elapsed_ms * SLEW_RATE)
        self._offset_ms += math.copysign(slew_ms, error_ms)
        self._samples = {
            host: sample
            for host, sample in self._samples.items()
            if now_ms - sample.taken_ms <= SAMPLE_RETENTION_MS
        }
        return self._align()

    def _align(self) -> bool:
        """Takes the peers' time if most of them differ from this VM."""
        difference_ms = _median(
            [0.0]
            + [s.offset_ms - self._offset_ms for s in self._samples.values()]
        )
        if abs(difference_ms) <= MAX_PEER_DIFFERENCE_MS:
            return False
        self._offset_ms += difference_ms
        self._log.warning(
            "usage_clock_corrected",
            difference_ms=round(difference_ms),
            peers=len(self._samples),
        )
        return True


def _median(values: list[float]) -> float:
    """Returns the median; of two middle values, the one closer to 0."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return min(ordered[middle - 1 : middle + 1], key=abs)
