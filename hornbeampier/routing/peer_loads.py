"""What the other VMs have in flight at each endpoint."""

import dataclasses

from hornbeampier import clock as clocks
from hornbeampier.routing import speed

# A VM that was silent for longer no longer counts.
FRESH_MS = 1_500.0
# A VM that was heard within this time may still serve, though unreachable.
KNOWN_MS = 120_000.0


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


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerLoads:
    at_ms: float
    loads: dict[str, Load]


NO_LOAD = Load()


class PeerLoads:
    """The newest loads that each peer told."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._peers: dict[str, _PeerLoads] = {}

    def record(self, vm: str, loads: dict[str, Load]) -> None:
        """Takes over what a peer tells of its own requests."""
        now_ms = self._clock.now()
        self._peers[vm] = _PeerLoads(now_ms, loads)
        for name, peer in list(self._peers.items()):
            if peer.at_ms < now_ms - KNOWN_MS:
                del self._peers[name]

    def total(self, endpoint_id: str) -> Load:
        """Returns the sum over all peers heard lately."""
        oldest = self._clock.now() - FRESH_MS
        in_flight = 0
        tokens = 0.0
        measured_ms = 0.0
        expected_ms = 0.0
        for peer in self._peers.values():
            if peer.at_ms < oldest:
                continue
            load = peer.loads.get(endpoint_id, NO_LOAD)
            in_flight += load.in_flight
            tokens += load.prefill_tokens
            measured_ms += load.answered.measured_ms
            expected_ms += load.answered.expected_ms
        return Load(in_flight, tokens, speed.Sample(measured_ms, expected_ms))

    def fresh_count(self) -> int:
        """Returns how many peers were heard lately."""
        return self._count(FRESH_MS)

    def known_count(self) -> int:
        """Returns how many peers may serve, also those not heard lately."""
        return self._count(KNOWN_MS)

    def _count(self, age_ms: float) -> int:
        oldest = self._clock.now() - age_ms
        return sum(peer.at_ms >= oldest for peer in self._peers.values())
