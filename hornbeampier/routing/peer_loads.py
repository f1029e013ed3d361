"""The load that the other VMs put on each endpoint."""

import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.routing import latency

# The load of a VM that was silent for longer is dropped.
PEER_TIMEOUT_MS = 1_500.0
# A VM that was silent for longer is forgotten. Until then it may be unreachable
# from here and still serve callers.
KNOWN_MS = 120_000.0
# Interval of the checks for silent VMs.
SWEEP_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at an endpoint and its latency.

    Attributes:
        prefill_tokens: Prompt tokens of the requests that still wait for their
            first event.
        answered: Sums over recent response times.
    """

    in_flight: int = 0
    prefill_tokens: float = 0.0
    answered: latency.LatencySums = latency.LatencySums()

    def with_change(self, old: "Load", new: "Load") -> "Load":
        """Returns this total after one of its terms changed from old to new."""
        answered, was, now = self.answered, old.answered, new.answered
        return Load(
            self.in_flight + new.in_flight - old.in_flight,
            self.prefill_tokens + new.prefill_tokens - old.prefill_tokens,
            latency.LatencySums(
                answered.measured_ms + now.measured_ms - was.measured_ms,
                answered.expected_ms + now.expected_ms - was.expected_ms,
            ),
        )


NO_LOAD = Load()


class PeerLoads:
    """The latest loads received from each peer, and their sums by endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._heard_ms: dict[str, float] = {}
        # Non-zero loads of each peer that is not stale, by endpoint id.
        self._fresh: dict[str, dict[str, Load]] = {}
        self._totals: dict[str, Load] = {}
        self._swept_ms = clock.now()

    def record(self, vm: str, loads: dict[str, Load]) -> None:
        """Replaces all loads of a peer by those of its complete state."""
        known = self._fresh.get(vm, {})
        gone = dict.fromkeys(known.keys() - loads.keys(), NO_LOAD)
        self.update(vm, {**gone, **loads})

    def update(self, vm: str, loads: dict[str, Load]) -> None:
        """Updates the loads of a peer that have changed."""
        self._heard_ms[vm] = self._clock.now()
        known = self._fresh.setdefault(vm, {})
        for endpoint_id, load in loads.items():
            self._replace(known, endpoint_id, load)

    def total(self, endpoint_id: str) -> Load:
        """Returns the sum over all peers that are not stale."""
        self._sweep()
        return self._totals.get(endpoint_id, NO_LOAD)

    def live_count(self) -> int:
        """Returns the number of peers that are not stale."""
        self._sweep()
        return len(self._fresh)

    def known_count(self) -> int:
        """Returns the number of peers, including stale but known ones."""
        self._sweep()
        return len(self._heard_ms)

    def _replace(
        self, known: dict[str, Load], endpoint_id: str, load: Load
    ) -> None:
        old = known.pop(endpoint_id, NO_LOAD)
        total = self._totals.get(endpoint_id, NO_LOAD)
        total = total.with_change(old, load)
        if load != NO_LOAD:
            known[endpoint_id] = load
        if total == NO_LOAD:
            self._totals.pop(endpoint_id, None)
        else:
            self._totals[endpoint_id] = total

    def _sweep(self) -> None:
        """Drops the loads of stale VMs and forgets long-silent ones."""
        now_ms = self._clock.now()
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        for vm, at_ms in list(self._heard_ms.items()):
            if at_ms < now_ms - PEER_TIMEOUT_MS:
                self._forget_loads(vm)
            if at_ms < now_ms - KNOWN_MS:
                del self._heard_ms[vm]

    def _forget_loads(self, vm: str) -> None:
        known = self._fresh.pop(vm, {})
        for endpoint_id in list(known):
            self._replace(known, endpoint_id, NO_LOAD)
