"""Positions in a topic of a store that may return from an older copy."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """What a replica has read of a topic.

    Positions are ordered by the era of the store, as it gives offsets out again
    after it has returned from an older copy.

    Attributes:
        era: How often the store has returned from a copy.
        offset: Offset of the next record.
        carried: Whether records of an earlier era are still in force because
            those of the copy are older.
    """

    era: int = 0
    offset: int = 0
    carried: bool = False


START = Position()
