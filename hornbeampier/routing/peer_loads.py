"""The load that the other VMs put on each endpoint."""

from collections.abc import Collection
import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.routing import latency

# A peer that has been silent for this time is not live; its load is dropped.
PEER_TIMEOUT_MS = 1_500.0
# Interval of the checks for silent peers.
SWEEP_INTERVAL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at an endpoint and its latency.

    Attributes:
        prefill_tokens: Prompt tokens that the engine must prefill for the
            requests that still wait for their first event.
        latency_sums: Measured and expected latencies of recent responses.
    """

    in_flight: int = 0
    prefill_tokens: float = 0.0
    latency_sums: latency.LatencySums = latency.LatencySums()

    def __add__(self, other: "Load") -> "Load":
        return self.with_replaced(NO_LOAD, other)

    def __sub__(self, other: "Load") -> "Load":
        return self.with_replaced(other, NO_LOAD)

    def with_replaced(self, old: "Load", new: "Load") -> "Load":
        """Returns this total after one of its terms changed from old to new."""
        times, old_times, new_times = (
            self.latency_sums,
            old.latency_sums,
            new.latency_sums,
        )
        return Load(
            self.in_flight + new.in_flight - old.in_flight,
            self.prefill_tokens + new.prefill_tokens - old.prefill_tokens,
            latency.LatencySums(
                times.measured_ms
                + new_times.measured_ms
                - old_times.measured_ms,
                times.expected_ms
                + new_times.expected_ms
                - old_times.expected_ms,
            ),
        )


NO_LOAD = Load()


class PeerLoads:
    """The latest loads received from each peer, and their sums by endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._received_ms: dict[str, float] = {}
        # Non-zero loads of each live peer, by endpoint id.
        self._live_loads: dict[str, dict[str, Load]] = {}
        self._totals: dict[str, Load] = {}
        self._last_sweep_ms = clock.now()

    def record(self, vm: str, loads: dict[str, Load]) -> None:
        """Replaces all loads of a peer by those of its full state."""
        if self._live_loads.keys() <= {vm}:
            self._record_only_peer(vm, loads)
            return
        loads_of_peer = self._live_loads.get(vm, {})
        ended = dict.fromkeys(loads_of_peer.keys() - loads.keys(), NO_LOAD)
        self.update(vm, {**ended, **loads})

    def _record_only_peer(self, vm: str, loads: dict[str, Load]) -> None:
        """Records the loads of a peer whose loads alone make up the sums."""
        self._received_ms[vm] = self._clock.now()
        loads = {id_: load for id_, load in loads.items() if load != NO_LOAD}
        self._live_loads = {vm: loads}
        self._totals = dict(loads)

    def update(self, vm: str, loads: dict[str, Load]) -> None:
        """Updates the loads of a peer that have changed."""
        self._received_ms[vm] = self._clock.now()
        loads_of_peer = self._live_loads.setdefault(vm, {})
        for endpoint_id, load in loads.items():
            self._replace(loads_of_peer, endpoint_id, load)

    def total(self, endpoint_id: str) -> Load:
        """Returns the sum over all live peers."""
        self._sweep()
        return self._totals.get(endpoint_id, NO_LOAD)

    def age_ms(self) -> float | None:
        """Returns the age of the oldest report of a live peer, or None."""
        self._sweep()
        if not self._received_ms:
            return None
        return self._clock.now() - min(self._received_ms.values())

    def of(self, vm: str) -> dict[str, Load]:
        """Returns the loads that a live peer reported."""
        return self._live_loads.get(vm, {})

    def totals(self) -> dict[str, Load]:
        """Returns the sums over all live peers by endpoint id."""
        self._sweep()
        return self._totals

    def keep_only(self, vms: Collection[str]) -> None:
        """Drops the loads of all peers but some."""
        for vm in [vm for vm in self._live_loads if vm not in vms]:
            self._drop_loads(vm)

    def _replace(
        self, loads_of_peer: dict[str, Load], endpoint_id: str, load: Load
    ) -> None:
        old = loads_of_peer.get(endpoint_id, NO_LOAD)
        if old == load:
            return
        loads_of_peer.pop(endpoint_id, None)
        total = self._totals.get(endpoint_id, NO_LOAD)
        total = total.with_replaced(old, load)
        if load != NO_LOAD:
            loads_of_peer[endpoint_id] = load
        if total == NO_LOAD:
            self._totals.pop(endpoint_id, None)
        else:
            self._totals[endpoint_id] = total

    def _sweep(self) -> None:
        """Drops silent peers and their loads."""
        now_ms = self._clock.now()
        if now_ms - self._last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        for vm, received_ms in list(self._received_ms.items()):
            if received_ms < now_ms - PEER_TIMEOUT_MS:
                self._drop_loads(vm)
                del self._received_ms[vm]

    def _drop_loads(self, vm: str) -> None:
        loads_of_peer = self._live_loads.pop(vm, {})
        for endpoint_id in list(loads_of_peer):
            self._replace(loads_of_peer, endpoint_id, NO_LOAD)
