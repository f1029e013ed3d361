"""Client of the platform's store."""

import base64
from collections.abc import Iterable
import json
import struct
from typing import Annotated
from urllib import parse

import msgspec
import structlog

from hornbeampier import bounds
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.duties import lease_records
from hornbeampier.http1 import client
from hornbeampier.platform import connection
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.replication import messages

CALL_TIMEOUT_MS = 3_000.0
FIRST_PARTITION = 0
KIB = 1024
MIB = 1024 * KIB
# Bounds of responses, by the contract of the store. A record is no larger than
# the body of an append. A read and a page have 1 MiB, or the first record that
# exceeds it; values of a page are in base64, and its keys may be escaped.
MAX_RECORD_BYTES = 2 * MIB
MAX_READ_BYTES = MIB + MAX_RECORD_BYTES
MAX_PAGE_BYTES = 5 * MIB
MAX_APPENDED_BYTES = 64 * KIB
# Bound of the records of a topic that are read in several calls.
MAX_TOPIC_BYTES = 32 * MIB
MAX_ERA_DIGITS = 18
# How keys are encoded that are not valid Unicode.
SURROGATES = "surrogatepass"
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: bounds.Count


class _Page(msgspec.Struct, rename="camel"):
    """A page of the latest records; `end` is the topic's end offset."""

    items: list[_Item]
    end: bounds.Count
    has_more: bool = False


class _Trimmed(msgspec.Struct):
    """The body of a 410 response; `first` is the first retained offset."""

    first: bounds.Count


class _AppendOffsets(msgspec.Struct):
    offset: Annotated[int, msgspec.Meta(ge=0)]
    end: Annotated[int, msgspec.Meta(ge=1)]


_page_decoder = msgspec.json.Decoder(_Page)
_trimmed_decoder = msgspec.json.Decoder(_Trimmed)
_append_decoder = msgspec.json.Decoder(_AppendOffsets)


class UnexpectedStatusError(errors.PlatformError):
    """The store responded with an error status."""

    def __init__(self, call: str, status: int, era: int):
        super().__init__(f"{call} returned {status}")
        self.status = status
        self.era = era


class StoreClient:
    """A client with one connection to the store, for one call at a time."""

    def __init__(
        self,
        address: settings.Address,
        clock: clocks.Clock,
        partition: int = FIRST_PARTITION,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ):
        self._clock = clock
        self._partition = partition
        self._timeout_ms = timeout_ms
        self._conn = connection.ServiceConnection(address, clock)
        self._log = structlog.get_logger(task="store")

    def read_snapshot(self, topic: str) -> messages.Snapshot:
        """Returns the latest record of each key.

        Pages are fetched at different times, so the snapshot has the end
        offset of the first one: reading on from there repeats records that a
        later page already contains, but misses none.

        Raises:
            errors.PlatformError: The store sent no valid response, or its era
                changed between two pages.
        """
        records: list[messages.Record] = []
        size = 0
        first = None
        query = {"topic": topic, "part": self._partition}
        while True:
            page, era = self._newest_page(query)
            first = first or (page.end, era)
            end, first_era = first
            if era != first_era:
                raise errors.PlatformError("the era changed between two pages")
            size += sum(len(item.value) for item in page.items)
            _check_size(size)
            records += self._to_records(topic, page.items, era)
            if not page.has_more or not page.items:
                return messages.Snapshot(tuple(records), end, era)
            query["after"] = page.items[-1].key

    def read(self, topic: str, offset: int, wait_ms: float) -> messages.Batch:
        """Long-polls for the records from `offset` on.

        Raises:
            messages.RecordsCompactedError: The store no longer has `offset`.
            errors.PlatformError: The store sent no valid response.
        """
        return self._read(topic, offset, wait_ms)[0]

    def read_to_end(self, topic: str, offset: int) -> messages.Batch:
        """Returns all records from `offset` on, without waiting for more.

        They reach to where the log ended when the call was made.

        Raises:
            messages.RecordsCompactedError: The store no longer has `offset`.
            errors.PlatformError: The store sent no valid response, or its era
                changed between two of them.
        """
        batch, log_end = self._read(topic, offset, 0.0)
        records = list(batch.records)
        size = _size(batch)
        while batch.end < log_end:
            next_batch, _ = self._read(topic, batch.end, 0.0)
            if next_batch.era != batch.era or not next_batch.records:
                raise errors.PlatformError("the log changed while it was read")
            batch = next_batch
            size += _size(batch)
            _check_size(size)
            records += batch.records
        return messages.Batch(
            tuple(records), batch.end, batch.era, reaches_end=True
        )

    def append(
        self, topic: str, at: int, records: Iterable[tuple[str, bytes]]
    ) -> lease_records.Appended:
        """Appends records if the topic ends at offset `at`.

        Raises:
            lease_records.AppendConflictError: The topic ends elsewhere.
            errors.PlatformError: The store sent no valid response. It may have
                executed the append, or may later.
        """
        query = {"topic": topic, "part": self._partition, "at": at}
        body = b"".join(_encode_record(*record) for record in records)
        response = self._call(
            "/log-append",
            query,
            MAX_APPENDED_BYTES,
            method=b"POST",
            body=body,
        )
        if response.status == 412:
            raise lease_records.AppendConflictError(
                f"the topic does not end at {at}"
            )
        _check_status("log-append", response)
        try:
            offsets = _append_decoder.decode(response.body)
        except errors.DECODE_ERRORS as exc:
            raise errors.PlatformError(
                f"malformed log-append response: {exc}"
            ) from exc
        return lease_records.Appended(
            offsets.offset, offsets.end, _decode_era(response)
        )

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()

    def _read(
        self, topic: str, offset: int, wait_ms: float
    ) -> tuple[messages.Batch, int]:
        """Returns records from `offset` on, and the offset of the log's end."""
        query = {
            "topic": topic,
            "part": self._partition,
            "from": offset,
            "waitMs": round(wait_ms),
        }
        response = self._call("/log-read", query, MAX_READ_BYTES, wait_ms)
        if response.status == 410:
            raise messages.RecordsCompactedError(
                "the store no longer has the requested records",
                _decode_first(response.body),
            )
        _check_status("log-read", response)
        return _decode_batch(response.body, offset, _decode_era(response))

    def _to_records(
        self, topic: str, items: list[_Item], era: int
    ) -> list[messages.Record]:
        """Returns the records of a page without those that are unreadable."""
        records = []
        for item in items:
            try:
                records.append(_to_record(item, era))
            except ValueError as exc:
                self._log.warning(
                    "item_unreadable",
                    topic=topic,
                    offset=item.offset,
                    error=str(exc),
                )
        return records

    def _newest_page(self, query: dict) -> tuple[_Page, int]:
        """Returns a page and the era of the store."""
        response = self._call("/log-newest", query, MAX_PAGE_BYTES)
        _check_status("log-newest", response)
        try:
            page = _decode_page(response.body)
        except (*errors.DECODE_ERRORS, ValueError) as exc:
            raise errors.PlatformError(
                f"malformed log-newest page: {exc}"
            ) from exc
        return page, _decode_era(response)

    def _call(
        self,
        path: str,
        query: dict,
        max_bytes: int,
        wait_ms: float = 0.0,
        method: bytes = b"GET",
        body: bytes = b"",
    ) -> client.CompleteResponse:
        deadline_ms = self._clock.now() + wait_ms + self._timeout_ms
        target = f"{path}?{parse.urlencode(query, errors=SURROGATES)}"
        return self._conn.call(
            method, target, deadline_ms, max_bytes, body=body
        )


def _decode_era(response: client.CompleteResponse) -> int:
    """Returns the store's era; 0 if it names none.

    Raises:
        errors.PlatformError: The era is malformed.
    """
    value = response.head.get(names.ERA) or b"0"
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise errors.PlatformError(f"malformed era: {value[:MAX_ERA_DIGITS]!r}")
    return int(value)


def _decode_first(body: bytes) -> int | None:
    try:
        return _trimmed_decoder.decode(body).first
    except errors.DECODE_ERRORS:
        return None


def _size(batch: messages.Batch) -> int:
    return sum(len(record.value or b"") for record in batch.records)


def _check_size(size: int) -> None:
    """Raises PlatformError for more of a topic than a VM can hold."""
    if size > MAX_TOPIC_BYTES:
        raise errors.PlatformError(
            f"the topic has more than {MAX_TOPIC_BYTES} bytes"
        )


def _check_status(call: str, response: client.CompleteResponse) -> None:
    if response.status != 200:
        raise UnexpectedStatusError(
            call, response.status, _decode_era(response)
        )


def _decode_page(body: bytes) -> _Page:
    """Decodes a page, also one with text that is not valid Unicode."""
    try:
        return _page_decoder.decode(body)
    except errors.DECODE_ERRORS:
        return msgspec.convert(json.loads(body.decode(errors="replace")), _Page)


def _to_record(item: _Item, era: int) -> messages.Record:
    """Returns the record of an item; raises ValueError if it has none."""
    # Peers get the key, so that it has to have an encoding.
    key = item.key.encode(errors=SURROGATES).decode(errors="replace")
    return messages.Record(key, base64.b64decode(item.value), item.offset, era)


def _decode_batch(
    body: bytes, offset: int, era: int
) -> tuple[messages.Batch, int]:
    """Decodes two offsets and the length-prefixed records after them.

    The first of the offsets is the log's end, which may lie beyond the records.
    A last record that is incomplete is left for the next read.
    """
    try:
        log_end, _ = _OFFSETS.unpack_from(body)
        records = []
        position = _OFFSETS.size
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            record = body[position : position + length]
            if len(record) < length and records:
                break
            if len(record) < length:
                raise ValueError("the first record is incomplete")
            records.append(_decode_record(record, offset + len(records), era))
            position += length
    except (struct.error, ValueError) as exc:
        raise errors.PlatformError(
            f"malformed log-read response: {exc}"
        ) from exc
    end = offset + len(records)
    batch = messages.Batch(tuple(records), end, era, reaches_end=end >= log_end)
    return batch, log_end


def _decode_record(record: bytes, offset: int, era: int) -> messages.Record:
    """Decodes a record; one without a key has the key of no endpoint."""
    key_length = record[0] if record else 0
    key = record[1 : 1 + key_length].decode(errors="replace")
    value = record[1 + key_length :]
    return messages.Record(key, value or None, offset, era)


def _encode_record(key: str, value: bytes) -> bytes:
    key_bytes = key.encode()
    record = bytes([len(key_bytes)]) + key_bytes + value
    return _LENGTH.pack(len(record)) + record
