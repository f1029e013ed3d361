"""How current the records are that a VM has of a topic.

A VM that hears of no newer records cannot tell whether there are none. So it
keeps up to when it has missed no change: a read of the store shows it, or a
peer that has read the store and whose records this VM has, too.
"""

import math

from hornbeampier.replication import positions

# Maximum number of positions of peers that are waited for.
MAX_AWAITED = 16


class Currency:
    """Until when a replica has missed no change that the store accepted.

    Attributes:
        as_of_ms: That time, on the monotonic clock; minus infinity at first.
        read_ms: The same, as far as own reads of the store show it.
    """

    def __init__(self):
        self.as_of_ms = -math.inf
        self.read_ms = -math.inf
        # What will be known once the replica has reached a position.
        self._awaited: dict[positions.Position, float] = {}

    def confirm(self, as_of_ms: float) -> None:
        """Records that a read has shown all changes accepted by a time."""
        self.read_ms = max(self.read_ms, as_of_ms)
        self._extend(as_of_ms)

    def record_peer(
        self,
        position: positions.Position,
        as_of_ms: float,
        own: positions.Position | None,
    ) -> None:
        """Records up to when a peer has missed no change.

        Args:
            position: All of these changes come before it.
            as_of_ms: Up to when, on the monotonic clock.
            own: What the replica has reached.
        """
        if own is not None and position <= own:
            self._extend(as_of_ms)
            return
        known_ms = self._awaited.get(position, -math.inf)
        self._awaited[position] = max(known_ms, as_of_ms)
        if len(self._awaited) > MAX_AWAITED:
            # It may be of a peer that is wrong, and never be reached.
            del self._awaited[min(self._awaited, key=self._awaited.get)]

    def advance(self, own: positions.Position) -> None:
        """Records that the replica has reached a position."""
        reached = [p for p in self._awaited if p <= own]
        for position in reached:
            self._extend(self._awaited.pop(position))

    def age_ms(self, now_ms: float) -> float:
        """Returns for how long changes may have been missed."""
        return now_ms - self.as_of_ms

    def _extend(self, as_of_ms: float) -> None:
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
