"""Reads and appends to the store's partition of a duty."""

from collections.abc import Mapping

import msgspec

from hornbeampier import bounds
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.duties import lease_records
from hornbeampier.platform import fields
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.platform import store
from hornbeampier.replication import messages

HOLDER_KEY = "holder"
# Successive reads that may return records before the partition is read anew.
MAX_FOLLOWING_READS = 8


class _Holder(msgspec.Struct, rename="camel", omit_defaults=True):
    vm: str
    process: bounds.Number
    era: bounds.Count
    released: bool = False


_holder_decoder = msgspec.json.Decoder(_Holder)
# Stands for a record that cannot be decoded, as if another VM held the lease.
_UNKNOWN_HOLDER = lease_records.HolderRecord(vm="", process=-1, era=-1)


class DutyStore:
    """Reads one partition, and appends to it.

    After the first read, only the records since the previous call are fetched.
    """

    def __init__(
        self,
        address: settings.Address,
        partition: int,
        timeout_ms: float,
        clock: clocks.Clock,
    ):
        self._client = store.StoreClient(address, clock, partition, timeout_ms)
        self._newest: dict[str, bytes] = {}
        self._end = 0
        self._era = 0

    def read(self) -> lease_records.Contents:
        """Returns the partition's contents; see `lease_records.LeaseStore`."""
        if self._end == 0 or not self._read_following():
            self._read_all()
        return self._contents()

    def append(
        self,
        at: int,
        holder: lease_records.HolderRecord | None,
        records: Mapping[str, bytes],
    ) -> lease_records.Appended:
        """Appends records if the partition ends at `at`; see `LeaseStore`."""
        rows = dict(records)
        if holder is not None:
            rows[HOLDER_KEY] = _encode_holder(holder)
        appended = self._client.append(names.DUTY_TOPIC, at, rows.items())
        if at == self._end and appended.era == self._era:
            self._newest.update(rows)
            self._end = appended.end
        return appended

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()

    def _read_all(self) -> None:
        try:
            snapshot = self._client.read_snapshot(names.DUTY_TOPIC)
        except store.UnexpectedStatusError as exc:
            # The first append creates the topic.
            if exc.status != 404:
                raise
            snapshot = messages.Snapshot((), 0, exc.era)
        self._newest = {r.key: r.value for r in snapshot.records}
        self._end = snapshot.end
        self._era = snapshot.era

    def _read_following(self) -> bool:
        """Reads the records since the last call; False if that fails."""
        for _ in range(MAX_FOLLOWING_READS):
            try:
                batch = self._client.read(names.DUTY_TOPIC, self._end, 0.0)
            except (
                messages.RecordsCompactedError,
                store.UnexpectedStatusError,
            ):
                return False
            if batch.era != self._era:
                return False
            if not batch.records:
                return True
            self._apply(batch)
        return False

    def _apply(self, batch: messages.Batch) -> None:
        for record in batch.records:
            if record.value is None:
                self._newest.pop(record.key, None)
            else:
                self._newest[record.key] = record.value
        self._end = batch.end

    def _contents(self) -> lease_records.Contents:
        records = dict(self._newest)
        holder = records.pop(HOLDER_KEY, None)
        return lease_records.Contents(
            None if holder is None else _decode_holder(holder),
            records,
            self._end,
            self._era,
        )


def _encode_holder(holder: lease_records.HolderRecord) -> bytes:
    return msgspec.json.encode(
        _Holder(holder.vm, holder.process, holder.era, holder.released)
    )


def _decode_holder(value: bytes) -> lease_records.HolderRecord:
    try:
        record = _holder_decoder.decode(value)
        fields.check_text(record, value)
    except (*errors.DECODE_ERRORS, ValueError):
        return _UNKNOWN_HOLDER
    return lease_records.HolderRecord(
        record.vm, record.process, record.era, record.released
    )
