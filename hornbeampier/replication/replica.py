"""This VM's replica of a topic."""

from hornbeampier.replication import messages

# Maximum number of tombstones kept per topic. Peers that missed the removal of
# a key get its tombstone.
MAX_TOMBSTONES = 2_000


class TopicReplica:
    """The newest record of each key.

    Records may come from the store and from peers, out of order and repeatedly.
    A record is applied only if it is newer than the current one of its key, and
    the offset never decreases.

    Attributes:
        offset: Offset of the next record; None before the first snapshot or
            batch.
    """

    def __init__(self, topic: str, applier: messages.Applier):
        self.topic = topic
        self._applier = applier
        self._newest: dict[str, messages.Record] = {}
        self.offset: int | None = None

    def apply_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Applies a snapshot and removes older keys that it does not have."""
        for record in snapshot.records:
            self._apply(record)
        snapshot_keys = {record.key for record in snapshot.records}
        for key, record in list(self._newest.items()):
            is_missing = key not in snapshot_keys and record.value is not None
            if is_missing and record.offset < snapshot.end:
                self._apply(messages.Record(key, None, snapshot.end - 1))
        self._advance(snapshot.end)

    def apply_batch(self, batch: messages.Batch) -> None:
        """Applies the records of a batch and advances the offset to its end."""
        for record in batch.records:
            self._apply(record)
        self._advance(batch.end)

    def records_since(self, offset: int) -> messages.Batch:
        """Returns the newest record of each key changed from `offset` on.

        The records are in order of their offsets.
        """
        newer = [r for r in self._newest.values() if r.offset >= offset]
        newer.sort(key=lambda record: record.offset)
        return messages.Batch(tuple(newer), self.offset or 0)

    def on_source_lost(self) -> None:
        """Reports to the applier that the store cannot be read."""
        self._applier.on_source_lost()

    def on_source_regained(self) -> None:
        """Reports to the applier that the store can be read again."""
        self._applier.on_source_regained()

    def _apply(self, record: messages.Record) -> None:
        current = self._newest.get(record.key)
        if current is not None and current.offset >= record.offset:
            return
        self._newest[record.key] = record
        self._applier.apply_record(record)
        if record.value is None:
            self._drop_oldest_tombstone()

    def _drop_oldest_tombstone(self) -> None:
        tombstones = [r for r in self._newest.values() if r.value is None]
        if len(tombstones) > MAX_TOMBSTONES:
            oldest = min(tombstones, key=lambda record: record.offset)
            del self._newest[oldest.key]

    def _advance(self, offset: int) -> None:
        if self.offset is None or offset > self.offset:
            self.offset = offset
