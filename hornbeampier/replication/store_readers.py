"""Chooses the VMs that read the store.

Each change wakes every call that waits at the store. So only a few VMs, the
store readers, wait there, and the number of calls does not grow with the number
of VMs. The readers gossip the offsets that they have reached, and the other VMs
fetch the records from a peer that is ahead. There is no election: each VM ranks
the hosts from which it receives gossip by a hash, and reads the store unless
enough live peers that rank before it report that they do.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import route_table

# Number of store readers; each reads all topics. More than one, as the store
# may be reachable from only some of the VMs.
READER_COUNT = 5
# A VM that starts among others gives them this time to be heard before it reads
# the store more than once. If all VMs that start together read, each record
# wakes them all.
SETTLE_MS = 1_500.0
# A member that this VM has known for less is assumed to read the store if it
# ranks high enough, though it has not reported yet.
ASSUMED_MS = 3_000.0
# Number of hosts whose hashes are kept.
MAX_RANKS = 4_096
# A peer that was silent for longer does not count as a store reader.
PEER_TIMEOUT_MS = 1_500.0


class StoreReaders:
    """Decides whether this VM is one of the store readers."""

    def __init__(
        self, host: str, clock: clocks.Clock, expects_peers: bool = False
    ):
        self._rank = _rank(host)
        self._clock = clock
        self._settled_ms = clock.now() + (SETTLE_MS if expects_peers else 0.0)
        # Since when each member is known; those that do not read are left out.
        self._known_ms: dict[str, float] = {}
        # When each store reader was last reported.
        self._reported_ms: dict[str, float] = {}

    def record_peer(self, host: str, reads_store: bool) -> None:
        """Records whether a peer reads the store and can reach it."""
        if reads_store:
            self._reported_ms[host] = self._clock.now()
        else:
            self._reported_ms.pop(host, None)
            if host in self._known_ms:
                self._known_ms[host] = -math.inf

    def record_members(self, hosts: Iterable[str]) -> None:
        """Records the live members."""
        now_ms = self._clock.now()
        self._known_ms = {
            host: self._known_ms.get(host, now_ms) for host in hosts
        }

    def should_read(self) -> bool:
        """Whether this VM has to read the store itself."""
        now_ms = self._clock.now()
        if now_ms < self._settled_ms:
            return False
        readers = set(self.live())
        readers.update(
            host
            for host, known_ms in self._known_ms.items()
            if now_ms - known_ms < ASSUMED_MS
        )
        return self.rank_among(readers) < READER_COUNT

    def rank_among(self, hosts: Iterable[str]) -> int:
        """Returns the number of hosts that rank before this VM."""
        return sum(_rank(host) < self._rank for host in hosts)

    def live(self) -> list[str]:
        """Returns the hosts of the other store readers."""
        oldest_ms = self._clock.now() - PEER_TIMEOUT_MS
        self._reported_ms = {
            host: at_ms
            for host, at_ms in self._reported_ms.items()
            if at_ms >= oldest_ms
        }
        return list(self._reported_ms)


def reads_at_start(host: str, seeds: Collection[str]) -> bool:
    """Whether a VM is sure to be one of the few first among the seeds.

    Such a VM may read the store's log before it knows which VMs are live.
    """
    if not seeds:
        return True
    ranked_before = sum(_rank(seed) < _rank(host) for seed in seeds)
    return host in seeds and ranked_before < READER_COUNT


@functools.lru_cache(maxsize=MAX_RANKS)
def _rank(host: str) -> float:
    return route_table.uniform_hash(f"reader/{host}")
