"""This VM's replica of a topic."""

from collections.abc import Callable

import structlog

from hornbeampier.replication import currency
from hornbeampier.replication import messages
from hornbeampier.replication import positions

# Maximum number of tombstones kept per topic. Peers that missed the removal of
# a key get its tombstone.
MAX_TOMBSTONES = 2_000


def _ignore(record: messages.Record) -> None:
    """Default `on_superseded` and `on_unseen`: does nothing."""


class TopicReplica:
    """The newest record of each key.

    Records may come from the store and from peers, out of order and repeatedly.
    A record is applied only if it is newer than the current one of its key, and
    the position never decreases. Records of a later era replace all others, but
    where the applier knows that the store returned from a copy that is older
    than the current record, that one is carried over.

    Attributes:
        position: What has been read; None before the first snapshot or batch.
        changed: What had been read when anything last changed that peers are to
            learn of at once.
        is_contiguous: Whether this VM has seen all records up to the end of the
            batch or snapshot that was last applied, or that is being applied.
            The newest record of a key may hide older ones.
        currency: Until when it has missed no change.
        on_superseded: Called with each record that is read after a newer one
            of its key, and so is not applied.
        on_unseen: Called with the removal of a key whose record this VM may
            have missed.
    """

    def __init__(self, topic: str, applier: messages.Applier):
        self.topic = topic
        self._applier = applier
        self._newest: dict[str, messages.Record] = {}
        self.position: positions.Position | None = None
        self.changed: positions.Position | None = None
        # All keys are known that were removed from this position on.
        self._removals_from = positions.START
        self.is_contiguous = False
        self.currency = currency.Currency()
        self.on_superseded: Callable[[messages.Record], None] = _ignore
        self.on_unseen: Callable[[messages.Record], None] = _ignore
        self._log = structlog.get_logger(task="replica", topic=topic)

    @property
    def offset(self) -> int | None:
        """Offset of the next record; None before the first one."""
        return None if self.position is None else self.position.offset

    @property
    def era(self) -> int:
        """The latest era of the store that is known."""
        return 0 if self.position is None else self.position.era

    def apply_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Applies a snapshot and removes older keys that it does not have."""
        position = positions.Position(snapshot.era, snapshot.end)
        self._apply_complete(snapshot.records, position)

    def apply_batch(self, batch: messages.Batch) -> None:
        """Applies the records of a batch and advances the position to its end.

        A batch of a later era must hold all records of that era.
        """
        if batch.era > self.era or batch.is_complete or self.position is None:
            self._apply_complete(batch.records, batch.position)
            return
        has_changed = self.position is None
        self.is_contiguous = self._continues(batch.records, batch.position)
        for record in batch.records:
            has_changed |= self._apply(record, batch.position)
        self._advance(batch.position)
        if has_changed:
            self.changed = self.position

    def records_since(self, position: positions.Position) -> messages.Batch:
        """Returns the newest record of each key changed from a position on.

        They are all records if keys may have been removed from that position
        on that this VM does not know. The records are in order of their
        positions.
        """
        is_complete = position < self._removals_from
        newer = [
            r for r in self._newest.values() if is_complete or r.end > position
        ]
        newer.sort(key=lambda record: record.end)
        own = self.position or positions.START
        return messages.Batch(
            tuple(newer), own.offset, own.era, own.carried, is_complete
        )

    def on_source_lost(self) -> None:
        """Reports to the applier that the store cannot be read."""
        self._applier.on_source_lost()

    def on_source_regained(self) -> None:
        """Reports to the applier that the store can be read again."""
        self._applier.on_source_regained()

    def _apply_complete(
        self,
        records: tuple[messages.Record, ...],
        position: positions.Position,
    ) -> None:
        """Applies all records that a topic has at a position."""
        if position.era < self.era:
            return
        if self.position is not None and position.era > self.era:
            self._applier.on_source_regained()
        self.is_contiguous = self._continues(records, position)
        for record in records:
            self._apply(record, position)
        keys = {record.key for record in records}
        last_offset = position.offset - 1
        for key, record in list(self._newest.items()):
            is_missing = key not in keys and record.value is not None
            if is_missing and record.end <= position:
                tombstone = messages.Record(
                    key, None, last_offset, position.era
                )
                self._apply(tombstone, position)
        self._removals_from = max(self._removals_from, position)
        self._advance(position)
        self.changed = self.position

    def _continues(
        self,
        records: tuple[messages.Record, ...],
        end: positions.Position,
    ) -> bool:
        """Whether records up to `end` follow the position without a gap."""
        if self.position is None or end.era != self.position.era:
            return False
        start = self.position.offset
        newer = {r.offset for r in records if start <= r.offset < end.offset}
        return len(newer) >= end.offset - start

    def _apply(
        self, record: messages.Record, position: positions.Position
    ) -> bool:
        """Applies a record, unless it is older than the current one.

        Args:
            record: A record that the topic has at `position`.
            position: Where the snapshot or batch with the record ends.

        Returns:
            Whether peers are to learn of it at once.
        """
        current = self._newest.get(record.key)
        if current is not None:
            if current.end >= record.end:
                if current.end > record.end:
                    self.on_superseded(record)
                return False
            if record.era > current.era and not self._supersedes(
                record, current
            ):
                self._carry_over(current, position)
                return True
        if self._may_hide_another(record, current):
            self.on_unseen(record)
        self._newest[record.key] = record
        has_changed = self._apply_to_state(record)
        if record.value is None:
            self._drop_oldest_tombstone()
        return has_changed

    def _may_hide_another(
        self, record: messages.Record, current: messages.Record | None
    ) -> bool:
        """Whether a key is removed that came after the last batch."""
        if record.value is not None or self.position is None:
            return False
        is_unknown = current is None or current.value is None
        return is_unknown and not self.is_contiguous

    def _apply_to_state(self, record: messages.Record) -> bool:
        """Applies a record; one that cannot be applied costs no other one."""
        try:
            return self._applier.apply_record(record)
        except Exception:
            self._log_skipped(record)
            return True

    def _supersedes(
        self, record: messages.Record, current: messages.Record
    ) -> bool:
        try:
            return self._applier.supersedes(record, current)
        except Exception:
            self._log_skipped(record)
            return True

    def _log_skipped(self, record: messages.Record) -> None:
        self._log.exception(
            "record_skipped",
            key=record.key,
            offset=record.offset,
            era=record.era,
        )

    def _carry_over(
        self, record: messages.Record, position: positions.Position
    ) -> None:
        """Keeps a record that the store has lost, until a newer one comes.

        It gets a position after all records of the copy, so that it reaches
        peers that have read only the copy.
        """
        carried = messages.Record(
            record.key,
            record.value,
            position.offset - 1,
            position.era,
            carried=True,
        )
        self._newest[record.key] = carried
        self._advance(carried.end)

    def _drop_oldest_tombstone(self) -> None:
        tombstones = [r for r in self._newest.values() if r.value is None]
        if len(tombstones) > MAX_TOMBSTONES:
            oldest = min(tombstones, key=lambda record: record.end)
            self._removals_from = max(self._removals_from, oldest.end)
            del self._newest[oldest.key]

    def _advance(self, position: positions.Position) -> None:
        if self.position is None or position > self.position:
            self.position = position
            self.currency.advance(position)
