"""Consistent hashing: which VMs have a replica of a key's record.

Rendezvous hashing spreads keys better, but hashes all names for each key. Here
a key costs a binary search.
"""

import bisect
from collections.abc import Iterable

from hornbeampier.routing import route_table


class HashRing:
    """VMs on a ring, ordered by the hash of their host."""

    def __init__(self, hosts: Iterable[str]):
        points = sorted((route_table.uniform_hash(h), h) for h in set(hosts))
        self._positions = [position for position, _ in points]
        self._hosts = [host for _, host in points]

    def successors(self, key: bytes, count: int) -> list[str]:
        """Returns the first VMs after the position of a random key."""
        position = int.from_bytes(key, "big") / (1 << (8 * len(key)))
        start = bisect.bisect(self._positions, position)
        ordered = self._hosts[start:] + self._hosts[:start]
        return ordered[:count]
