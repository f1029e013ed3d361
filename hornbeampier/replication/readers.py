"""Which VMs read the store, so that its calls do not grow with their number.

Each change wakes every call that waits at the store. A few VMs wait there; they
tell the others by datagram how far they are, and these fetch the records from a
VM that is ahead. No VM is elected: each one ranks itself among those that it
hears, and reads unless enough better ranked ones say that they do.
"""

from hornbeampier import clock as clocks
from hornbeampier.routing import route_table

# VMs that read each topic. Several, as a store may serve only some of them.
READERS = 8
# A VM that was silent for longer does not count as a reader.
PEER_TIMEOUT_MS = 3_000.0


class Readers:
    """What this VM heard of which VMs read the store."""

    def __init__(self, host: str, clock: clocks.Clock):
        self._rank = _rank(host)
        self._clock = clock
        # When each VM that ranks before this one last said that it reads.
        self._heard_ms: dict[str, float] = {}

    def note_peer(self, host: str, is_reading: bool) -> None:
        """Takes over whether a peer reads the store without failure."""
        if _rank(host) > self._rank:
            return
        if is_reading:
            self._heard_ms[host] = self._clock.now()
        else:
            self._heard_ms.pop(host, None)

    def is_needed(self) -> bool:
        """Whether this VM has to read the store itself."""
        oldest = self._clock.now() - PEER_TIMEOUT_MS
        readers = sum(at_ms >= oldest for at_ms in self._heard_ms.values())
        return readers < READERS


def _rank(host: str) -> float:
    return route_table.uniform_hash(f"reader/{host}")
