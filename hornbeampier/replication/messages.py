"""Records of a topic that keeps the newest value of each key."""

import dataclasses
from typing import Protocol

from hornbeampier import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change; without a value, the key is dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key; later ones begin at `end`."""

    records: tuple[Record, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that follow one another; later ones begin at `end`."""

    records: tuple[Record, ...]
    end: int


class RecordsForgottenError(errors.PlatformError):
    """The records from the requested offset on are no longer kept."""


class Source(Protocol):
    """Where the records of topics can be read."""

    def newest(self, topic: str) -> Snapshot:
        """Returns the newest records; raises errors.PlatformError."""
        ...

    def read(self, topic: str, offset: int, wait_ms: float) -> Batch:
        """Returns records from `offset` on, waiting for the first of them.

        Raises:
            RecordsForgottenError: Start again with `newest`.
            errors.PlatformError: The source cannot be reached.
        """
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class Applier(Protocol):
    """What the records of a topic change."""

    def apply_record(self, record: Record) -> None:
        """Takes over one change."""
        ...

    def note_lost(self) -> None:
        """Called when the source can no longer be read."""
        ...

    def note_regained(self) -> None:
        """Called when the source can be read again after an outage."""
        ...
