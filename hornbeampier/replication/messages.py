"""Records of a compacted topic, which keeps the newest value of each key.

Peers send each other `Batch` and `Record` as maps, so the names of their fields
are part of the wire format.
"""

import dataclasses
from typing import Protocol

from hornbeampier import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change of a key; a `value` of None removes the key."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key; `end` is the offset to read from next."""

    records: tuple[Record, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in order of offset; `end` is the offset to read from next."""

    records: tuple[Record, ...]
    end: int


class RecordsCompactedError(errors.PlatformError):
    """The store no longer keeps all records from the requested offset on."""


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

    def apply_record(self, record: Record) -> None:
        """Applies one change."""
        ...

    def on_source_lost(self) -> None:
        """Called when the store can no longer be read."""
        ...

    def on_source_regained(self) -> None:
        """Called when the store can be read again after an outage."""
        ...
