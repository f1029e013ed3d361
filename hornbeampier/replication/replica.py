"""This VM's copy of a topic, which only ever moves forward."""

from hornbeampier.replication import messages

# Removed keys that are remembered for peers that missed the removal.
MAX_TOMBSTONES = 2_000


class TopicReplica:
    """The newest record of each key.

    Records may come from the store and from peers, in any order and more than
    once: of each key, only a newer record takes effect.

    Attributes:
        offset: Where the next record begins; None before the first load.
    """

    def __init__(self, topic: str, applier: messages.Applier):
        self.topic = topic
        self._applier = applier
        self._newest: dict[str, messages.Record] = {}
        self.offset: int | None = None

    def apply_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Takes over all keys; older ones that are missing are gone."""
        for record in snapshot.records:
            self._apply(record)
        listed = {record.key for record in snapshot.records}
        for key, record in list(self._newest.items()):
            is_missing = key not in listed and record.value is not None
            if is_missing and record.offset < snapshot.end:
                self._apply(messages.Record(key, None, snapshot.end - 1))
        self._advance(snapshot.end)

    def apply_batch(self, batch: messages.Batch) -> None:
        """Takes over changes that follow one another."""
        for record in batch.records:
            self._apply(record)
        self._advance(batch.end)

    def since(self, offset: int) -> messages.Batch:
        """Returns the newest records from `offset` on, in order."""
        found = [r for r in self._newest.values() if r.offset >= offset]
        found.sort(key=lambda record: record.offset)
        return messages.Batch(tuple(found), self.offset or 0)

    def note_lost(self) -> None:
        """Tells that the store cannot be read."""
        self._applier.note_lost()

    def note_regained(self) -> None:
        """Tells that the store can be read again after an outage."""
        self._applier.note_regained()

    def _apply(self, record: messages.Record) -> None:
        known = self._newest.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self._newest[record.key] = record
        self._applier.apply_record(record)
        if record.value is None:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        removed = [r for r in self._newest.values() if r.value is None]
        if len(removed) > MAX_TOMBSTONES:
            oldest = min(removed, key=lambda record: record.offset)
            del self._newest[oldest.key]

    def _advance(self, offset: int) -> None:
        if self.offset is None or offset > self.offset:
            self.offset = offset
