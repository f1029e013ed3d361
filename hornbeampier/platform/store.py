"""Client of the platform's store."""

import base64
import struct
from urllib import parse

import msgspec

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.http1 import client
from hornbeampier.http1 import messages as http
from hornbeampier.http1 import sockets
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.replication import messages

CONNECT_TIMEOUT_MS = 1_000.0
CALL_TIMEOUT_MS = 3_000.0
PARTITION = 0
MAX_ERA_DIGITS = 18
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct, rename="camel"):
    """A page of the latest records; `end` is the topic's end offset."""

    items: list[_Item]
    end: int
    has_more: bool = False


class _Trimmed(msgspec.Struct):
    """The body of a 410 response; `first` is the first retained offset."""

    first: int


_page_decoder = msgspec.json.Decoder(_Page)
_trimmed_decoder = msgspec.json.Decoder(_Trimmed)


class StoreClient:
    """A client with one connection to the store, for one call at a time."""

    def __init__(self, address: settings.Address, clock: clocks.Clock):
        self._address = address
        self._clock = clock
        self._conn: client.ClientConnection | None = None

    def read_snapshot(self, topic: str) -> messages.Snapshot:
        """Returns the latest record of each key.

        Pages are fetched at different times, so the snapshot has the end
        offset of the first one: reading on from there repeats records that a
        later page already contains, but misses none.

        Raises:
            errors.PlatformError: The store sent no valid response, or its era
                changed between two pages.
        """
        records = []
        first = None
        query = {"topic": topic, "part": PARTITION}
        while True:
            page, era = self._newest_page(query)
            first = first or (page.end, era)
            end, first_era = first
            if era != first_era:
                raise errors.PlatformError("the era changed between two pages")
            records += [_to_record(item, era) for item in page.items]
            if not page.has_more or not page.items:
                return messages.Snapshot(tuple(records), end, era)
            query["after"] = page.items[-1].key

    def read(self, topic: str, offset: int, wait_ms: float) -> messages.Batch:
        """Long-polls for the records from `offset` on.

        Raises:
            messages.RecordsCompactedError: The store no longer has `offset`.
            errors.PlatformError: The store sent no valid response.
        """
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": offset,
            "waitMs": round(wait_ms),
        }
        response = self._call("/log-read", query, wait_ms)
        if response.status == 410:
            raise messages.RecordsCompactedError(
                "the store no longer has the requested records",
                _decode_first(response.body),
            )
        if response.status != 200:
            raise errors.PlatformError(f"log-read returned {response.status}")
        return _decode_batch(response.body, offset, _decode_era(response))

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _newest_page(self, query: dict) -> tuple[_Page, int]:
        """Returns a page and the era of the store."""
        response = self._call("/log-newest", query, 0.0)
        if response.status != 200:
            raise errors.PlatformError(f"log-newest returned {response.status}")
        try:
            page = _page_decoder.decode(response.body)
        except errors.DECODE_ERRORS as exc:
            raise errors.PlatformError(
                f"malformed log-newest page: {exc}"
            ) from exc
        return page, _decode_era(response)

    def _call(
        self, path: str, query: dict, wait_ms: float
    ) -> client.CompleteResponse:
        deadline_ms = self._clock.now() + wait_ms + CALL_TIMEOUT_MS
        head = http.RequestHead(
            b"GET",
            f"{path}?{parse.urlencode(query)}".encode(),
            ((b"host", str(self._address).encode()),),
        )
        try:
            conn = self._connect()
            response = conn.call(head, deadline_ms)
        except client.TRANSPORT_ERRORS as exc:
            self.close()
            raise errors.PlatformError(f"store call failed: {exc}") from exc
        except BaseException:
            self.close()
            raise
        if not conn.is_reusable():
            self.close()
        return response

    def _connect(self) -> client.ClientConnection:
        if self._conn is not None and not self._conn.has_no_input():
            self.close()
        if self._conn is None:
            sock = sockets.connect(
                self._address.host, self._address.port, CONNECT_TIMEOUT_MS
            )
            self._conn = client.ClientConnection(sock, self._clock)
        return self._conn


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


def _to_record(item: _Item, era: int) -> messages.Record:
    try:
        value = base64.b64decode(item.value)
    except ValueError as exc:
        raise errors.PlatformError(
            f"record {item.key}: value is not Base64: {exc}"
        ) from exc
    return messages.Record(item.key, value, item.offset, era)


def _decode_batch(body: bytes, offset: int, era: int) -> messages.Batch:
    """Decodes two offsets and the length-prefixed records after them."""
    try:
        # Only checks the length: the end offset is not needed, because it may
        # lie beyond the records of this response.
        _OFFSETS.unpack_from(body)
        records = []
        position = _OFFSETS.size
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            record = body[position : position + length]
            records.append(_decode_record(record, offset + len(records), era))
            position += length
    except (struct.error, IndexError) as exc:
        raise errors.PlatformError(
            f"malformed log-read response: {exc}"
        ) from exc
    return messages.Batch(tuple(records), offset + len(records), era)


def _decode_record(record: bytes, offset: int, era: int) -> messages.Record:
    key_length = record[0]
    key = record[1 : 1 + key_length].decode(errors="replace")
    value = record[1 + key_length :]
    return messages.Record(key, value or None, offset, era)
