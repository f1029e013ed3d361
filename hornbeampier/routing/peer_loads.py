"""What the other VMs have in flight at each endpoint."""

import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.routing import speed

# A VM that was silent for longer no longer counts.
FRESH_MS = 1_500.0
# A VM that was heard within this time may still serve, though unreachable.
KNOWN_MS = 120_000.0
# How often silent VMs are looked for.
SWEEP_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Open requests at an endpoint and how fast it answered.

    Attributes:
        prefill_tokens: Prompt tokens of the requests without an event yet.
        answered: How long answers of late took.
    """

    in_flight: int = 0
    prefill_tokens: float = 0.0
    answered: speed.Sample = speed.Sample()

    def with_change(self, old: "Load", new: "Load") -> "Load":
        """Returns a sum after one of its parts has changed."""
        answered, was, now = self.answered, old.answered, new.answered
        return Load(
            self.in_flight + new.in_flight - old.in_flight,
            self.prefill_tokens + new.prefill_tokens - old.prefill_tokens,
            speed.Sample(
                answered.measured_ms + now.measured_ms - was.measured_ms,
                answered.expected_ms + now.expected_ms - was.expected_ms,
            ),
        )


NO_LOAD = Load()


class PeerLoads:
    """The newest loads that each peer told, and their sums by endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._heard_ms: dict[str, float] = {}
        # Loads of the peers that were heard lately.
        self._fresh: dict[str, dict[str, Load]] = {}
        self._totals: dict[str, Load] = {}
        self._swept_ms = clock.now()

    def record(self, vm: str, loads: dict[str, Load]) -> None:
        """Takes over all that a peer tells of its own requests."""
        known = self._fresh.get(vm, {})
        gone = dict.fromkeys(known.keys() - loads.keys(), NO_LOAD)
        self.update(vm, {**gone, **loads})

    def update(self, vm: str, loads: dict[str, Load]) -> None:
        """Takes over the loads that a peer says have changed."""
        self._heard_ms[vm] = self._clock.now()
        known = self._fresh.setdefault(vm, {})
        for endpoint_id, load in loads.items():
            self._replace(known, endpoint_id, load)

    def total(self, endpoint_id: str) -> Load:
        """Returns the sum over all peers heard lately."""
        self._sweep()
        return self._totals.get(endpoint_id, NO_LOAD)

    def fresh_count(self) -> int:
        """Returns how many peers were heard lately."""
        self._sweep()
        return len(self._fresh)

    def known_count(self) -> int:
        """Returns how many peers may serve, also those not heard lately."""
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
        """Forgets VMs that were silent for too long."""
        now_ms = self._clock.now()
        if now_ms - self._swept_ms < SWEEP_MS:
            return
        self._swept_ms = now_ms
        for vm, at_ms in list(self._heard_ms.items()):
            if at_ms < now_ms - FRESH_MS:
                self._forget_loads(vm)
            if at_ms < now_ms - KNOWN_MS:
                del self._heard_ms[vm]

    def _forget_loads(self, vm: str) -> None:
        known = self._fresh.pop(vm, {})
        for endpoint_id in list(known):
            self._replace(known, endpoint_id, NO_LOAD)
