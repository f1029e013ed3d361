"""Compares the engines of each service with its typical engine.

The evidence is shared: what peers measured arrives in the latency sums of their
loads. With many VMs, each of them sees few streams of each engine.
"""

from collections.abc import Callable
import dataclasses
import math
import statistics

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import endpoint_speed
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads

# Bounds of a factor.
MIN_FACTOR = 0.4
MAX_FACTOR = 3.0
# Weight of the assumption that an engine is as fast as the typical one. Single
# streams say little: many are slow beside the prefill of a long prompt.
PRIOR_MS = 10 * endpoint_speed.STREAM_WEIGHT_MS
# Engines with less evidence have factor 1 and do not count for the typical one.
MIN_EVIDENCE_MS = 8 * endpoint_speed.STREAM_WEIGHT_MS
# Engines within this factor of the typical one count as equal. Beyond it, the
# difference counts in part, and from the square of this factor on in full.
EQUAL_FACTOR = 1.2
REFRESH_MS = 500.0
# A factor is logged when it has changed by this factor, at this interval at
# most for each engine.
LOGGED_CHANGE = 1.25
LOG_INTERVAL_MS = 10_000.0

# Called with a service and the factors of its fastest and slowest engine.
ReportFunction = Callable[[str, float, float], None]


@dataclasses.dataclass(slots=True)
class _Service:
    """The engines of a service that are not as fast as the typical one.

    Attributes:
        factors: How many times longer work takes there, by endpoint id.
        refreshed_ms: When they were computed.
    """

    factors: dict[str, float]
    refreshed_ms: float


class ServiceSpeeds:
    """How many times longer work takes at an engine than at the typical one."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        peers: peer_loads.PeerLoads,
        clock: clocks.Clock,
        report: ReportFunction = lambda service, fastest, slowest: None,
    ):
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._report = report
        self._services: dict[str, _Service] = {}
        self._logged: dict[str, tuple[float, float]] = {}
        self._log = structlog.get_logger(task="speeds")

    def long_term_factors(self, service: str) -> dict[str, float]:
        """Returns the factors by endpoint id; engines left out have 1."""
        known = self._services.get(service)
        now_ms = self._clock.now()
        if known is None or now_ms - known.refreshed_ms >= REFRESH_MS:
            known = _Service(self._compute(service), now_ms)
            self._services[service] = known
            factors = known.factors.values()
            self._report(
                service, min(factors, default=1.0), max(factors, default=1.0)
            )
        return known.factors

    def _compute(self, service: str) -> dict[str, float]:
        sums_by_id = {
            state.id: _add(
                state.speed.sums(), self._peers.total(state.id).latency_sums
            )
            for state in self._fleet.serving(service)
        }
        ratios = [
            sums.measured_ms / sums.expected_ms
            for sums in sums_by_id.values()
            if sums.expected_ms >= MIN_EVIDENCE_MS
        ]
        if len(ratios) < 2:
            return {}
        typical = statistics.median(ratios)
        factors = {}
        for endpoint_id, sums in sums_by_id.items():
            factor = _relative_factor(sums, typical)
            self._log_change(service, endpoint_id, factor, sums)
            if factor != 1.0:
                factors[endpoint_id] = factor
        return factors

    def _log_change(
        self,
        service: str,
        endpoint_id: str,
        factor: float,
        sums: latency.LatencySums,
    ) -> None:
        logged, logged_ms = self._logged.get(endpoint_id, (1.0, -math.inf))
        change = max(factor / logged, logged / factor)
        now_ms = self._clock.now()
        if change < LOGGED_CHANGE or now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._expire()
        self._logged[endpoint_id] = (factor, now_ms)
        loads_age_ms = self._peers.age_ms()
        self._log.info(
            "endpoint_speed_changed",
            endpoint=endpoint_id,
            service=service,
            factor=round(factor, 2),
            previous=round(logged, 2),
            streams=round(sums.expected_ms / endpoint_speed.STREAM_WEIGHT_MS),
            loads_age_ms=None if loads_age_ms is None else round(loads_age_ms),
        )

    def _expire(self) -> None:
        """Forgets what was logged of endpoints that are gone."""
        self._logged = {
            endpoint_id: logged
            for endpoint_id, logged in self._logged.items()
            if self._fleet.get(endpoint_id) is not None
        }


def bounded(factor: float) -> float:
    """Returns the factor within the bounds."""
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


def _add(
    own: latency.LatencySums, peers: latency.LatencySums
) -> latency.LatencySums:
    return latency.LatencySums(
        own.measured_ms + peers.measured_ms, own.expected_ms + peers.expected_ms
    )


def _relative_factor(sums: latency.LatencySums, typical: float) -> float:
    """Returns the factor of an engine; exactly 1 if it is about typical."""
    if sums.expected_ms < MIN_EVIDENCE_MS:
        return 1.0
    measured_ms = sums.measured_ms / typical + PRIOR_MS
    difference = math.log(measured_ms / (sums.expected_ms + PRIOR_MS))
    size = abs(difference)
    ignored = math.log(EQUAL_FACTOR)
    if size <= ignored:
        return 1.0
    size = min(size, 2.0 * (size - ignored))
    return bounded(math.exp(math.copysign(size, difference)))
