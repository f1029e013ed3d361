"""Rendezvous hashing: all VMs rank the same names for a key alike.

No messages are needed, and a name that is added or removed moves only its own
keys.
"""

from collections.abc import Iterable
import heapq

from hornbeampier.routing import route_table


def rank(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names that rank first for a key."""
    return heapq.nlargest(
        count,
        names,
        key=lambda name: route_table.uniform_hash(f"{key}/{name}"),
    )
