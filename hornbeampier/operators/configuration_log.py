"""The configuration stream of the log, and the state that results from it.

Every VM applies the records in order with the same rule, so all of them accept
the same files without communicating. A publish record is accepted if and only
if its base is the accepted version and its text is valid. A snapshot record
holds the state at an offset: a reader of a trimmed stream starts from it and
applies the records that follow.
"""

import dataclasses
import enum

import msgspec

from hornbeampier import errors
from hornbeampier.coordination import records
from hornbeampier.operators import schema

STREAM = "configuration"
NO_VERSION = -1
# Bounds the length of a record: a file of `schema.MAX_TEXT_BYTES`, all escaped
# in JSON, fits.
MAX_RECORD_CHARS = 2 * schema.MAX_TEXT_BYTES


class RecordKind(enum.StrEnum):
    """The type of a record of the configuration stream."""

    PUBLISH = "publish"
    SNAPSHOT = "snapshot"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """A record of the configuration stream.

    Attributes:
        kind: Publish or snapshot.
        publish_id: Identifier that the publisher chose.
        text: The text of the file.
        base: Publish: the version that the file replaces.
        version: Snapshot: the accepted version.
        through: Snapshot: the first offset that has not been applied.
    """

    kind: RecordKind
    publish_id: str
    text: str
    base: int = NO_VERSION
    version: int = NO_VERSION
    through: int = 0

    def is_valid_snapshot(self) -> bool:
        """Returns whether this is a snapshot of a possible state."""
        is_snapshot = self.kind is RecordKind.SNAPSHOT
        return is_snapshot and 0 <= self.version < self.through


class RecordOutcome(enum.StrEnum):
    """The outcome of a publish record."""

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class AcceptedConfiguration:
    """An accepted file; its version is the offset of its publish record."""

    version: int
    publish_id: str
    text: str
    cfg: schema.Configuration


@dataclasses.dataclass(frozen=True)
class PublishDecision:
    """The outcome of a publish record and the version accepted after it."""

    publish_id: str
    outcome: RecordOutcome
    offset: int
    accepted_version: int


class ConfigurationState:
    """The applied state: the next offset to read and the accepted file."""

    def __init__(self):
        self.next_offset = 0
        self.accepted: AcceptedConfiguration | None = None

    @property
    def version(self) -> int:
        """The accepted version, or `NO_VERSION`."""
        return self.accepted.version if self.accepted else NO_VERSION

    def apply(self, record: records.LogRecord) -> PublishDecision | None:
        """Applies a record; returns the decision if it is a publish."""
        self.next_offset = record.offset + 1
        entry = decode(record.data)
        if entry is None or entry.kind is not RecordKind.PUBLISH:
            return None
        return self._decide(record.offset, entry)

    def _decide(
        self, offset: int, entry: ConfigurationRecord
    ) -> PublishDecision:
        if entry.base != self.version:
            return PublishDecision(
                entry.publish_id, RecordOutcome.STALE_BASE, offset, self.version
            )
        try:
            cfg = schema.parse(entry.text)
        except errors.InvalidFileError:
            return PublishDecision(
                entry.publish_id, RecordOutcome.INVALID, offset, self.version
            )
        self.accepted = AcceptedConfiguration(
            offset, entry.publish_id, entry.text, cfg
        )
        return PublishDecision(
            entry.publish_id, RecordOutcome.ACCEPTED, offset, offset
        )

    def snapshot(self) -> ConfigurationRecord | None:
        """Returns the state as a snapshot, or None before the first file."""
        if self.accepted is None:
            return None
        return ConfigurationRecord(
            kind=RecordKind.SNAPSHOT,
            publish_id=self.accepted.publish_id,
            text=self.accepted.text,
            version=self.accepted.version,
            through=self.next_offset,
        )

    def adopt(self, snapshot: ConfigurationRecord) -> bool:
        """Adopts a snapshot newer than this state; returns whether it did."""
        if not snapshot.is_valid_snapshot():
            return False
        if (
            snapshot.through <= self.next_offset
            or snapshot.version < self.version
        ):
            return False
        if snapshot.version != self.version:
            try:
                cfg = schema.parse(snapshot.text)
            except errors.InvalidFileError:
                return False
            self.accepted = AcceptedConfiguration(
                snapshot.version, snapshot.publish_id, snapshot.text, cfg
            )
        self.next_offset = snapshot.through
        return True


def decode(data: str) -> ConfigurationRecord | None:
    """Decodes a record of the stream; returns None if it is malformed."""
    if len(data) > MAX_RECORD_CHARS:
        return None
    try:
        return msgspec.json.decode(data, type=ConfigurationRecord)
    except (*errors.DECODE_ERRORS, UnicodeEncodeError):
        return None


def is_replay_start(record: records.LogRecord) -> bool:
    """Returns whether a replay can start here once this record is the oldest.

    That excludes a snapshot if other records were appended between its state
    and itself: it is unusable once the log has trimmed those.
    """
    if record.offset == 0:
        return True
    entry = decode(record.data)
    return (
        entry is not None
        and entry.is_valid_snapshot()
        and entry.through == record.offset
    )


def usable_snapshot(
    record: records.LogRecord, first_offset: int
) -> ConfigurationRecord | None:
    """Returns the snapshot if the log retains all records after its state.

    Args:
        record: A record of the stream.
        first_offset: The oldest offset that the log retains.
    """
    entry = decode(record.data)
    if entry is None or not entry.is_valid_snapshot():
        return None
    if first_offset <= entry.through <= record.offset:
        return entry
    return None
