"""Records of a compacted topic, which keeps the newest value of each key.

Peers send each other `Batch` and `Record` as maps, so the names of their fields
are part of the wire format. Peers of earlier versions know no eras.
"""

import dataclasses
from typing import Annotated
from typing import Protocol

import msgspec

from hornbeampier import bounds
from hornbeampier import errors
from hornbeampier.replication import positions

# More records of a topic than the largest deployment has, with those removed.
MAX_RECORDS = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change of a key; a `value` of None removes the key.

    Attributes:
        era: The era of the store that assigned the offset.
        carried: Whether the value is of an earlier era, and newer than what the
            store has in this one.
    """

    key: str
    value: bytes | None
    offset: bounds.Integer
    era: bounds.Integer = 0
    carried: bool = False

    @property
    def end(self) -> positions.Position:
        """The position after this record."""
        return positions.Position(self.era, self.offset + 1, self.carried)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key; `end` is the offset to read from next."""

    records: tuple[Record, ...]
    end: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in order of their positions.

    Attributes:
        end: The offset to read from next.
        carried: See `positions.Position`.
        is_complete: Whether these are all records of the topic, so that keys
            without one have been removed.
        reaches_end: Whether the store had no more records when it sent them;
            false from peers.
    """

    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=MAX_RECORDS)]
    end: bounds.Integer
    era: bounds.Integer = 0
    carried: bool = False
    is_complete: bool = False
    reaches_end: bool = False

    @property
    def position(self) -> positions.Position:
        """The position to read from next."""
        return positions.Position(self.era, self.end, self.carried)


class RecordsCompactedError(errors.PlatformError):
    """The store does not have all records from the requested offset on.

    Attributes:
        first: Offset of the first record that it has; None if it did not say.
    """

    def __init__(self, message: str, first: int | None = None):
        super().__init__(message)
        self.first = first


class RecordSource(Protocol):
    """The store from which the records of topics are read."""

    def read_snapshot(self, topic: str) -> Snapshot:
        """Returns the newest record of each key.

        Raises:
            errors.PlatformError: The store cannot be read.
        """
        ...

    def read(self, topic: str, offset: int, wait_ms: float) -> Batch:
        """Returns records from `offset` on; waits `wait_ms` for the first.

        Raises:
            RecordsCompactedError: The reader has to start from a snapshot.
            errors.PlatformError: The store cannot be read.
        """
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class Applier(Protocol):
    """Applies the records of a topic to the state of this VM."""

    def apply_record(self, record: Record) -> bool:
        """Applies one change.

        Returns:
            Whether peers are to learn of it at once. A record that only tells
            that its writer is alive has time.
        """
        ...

    def supersedes(self, record: Record, current: Record) -> bool:
        """Whether a record of a later era is newer than the current one.

        The record may be from the copy to which the store has returned.
        """
        ...

    def on_source_lost(self) -> None:
        """Called when the store can no longer be read."""
        ...

    def on_source_regained(self) -> None:
        """Called when the store can be read again after an outage.

        It is also called when the store has returned from an older copy.
        """
        ...
