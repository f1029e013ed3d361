"""Client of the platform's append-only log service."""

from collections.abc import Iterator
from typing import Protocol

import msgspec

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import verdict
from hornbeampier.coordination import records

READ_LIMIT = 500


class Log(Protocol):
    """An append-only log of named streams."""

    def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset.

        Raises:
            errors.AppendOutcomeUnknownError: The record may have been appended.
            errors.PlatformError: The record was not appended.
        """
        ...

    def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
        limit: int = READ_LIMIT,
    ) -> records.ReadResponse:
        """Reads up to `limit` records, waiting up to `wait_ms` for the first.

        Raises:
            errors.OffsetTrimmedError: The log was trimmed past `offset`.
            errors.PlatformError: The log could not be read.
        """
        ...


class HttpLog:
    """The log service over HTTP; see docs/platform.md."""

    def __init__(self, host: str, port: int, timeout_ms: float):
        self._timeout_ms = timeout_ms
        self._client = http_client.HttpClient(host, port, timeout_ms)
        # The log may hold a read for `timeout_ms` before it responds.
        self._poll_client = http_client.HttpClient(host, port, timeout_ms * 2)

    def append(self, stream: str, data: bytes) -> int:
        """Appends a record; see `Log.append`."""
        req = http_client.OutgoingRequest(
            "POST", f"/streams/{stream}/records", body=data
        )
        try:
            status, body = self._client.call(req)
        except errors.AttemptError as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                raise errors.PlatformError(str(exc)) from exc
            raise errors.AppendOutcomeUnknownError(str(exc)) from exc
        if status == 503:
            raise errors.PlatformError(
                "the log refused the append with status 503"
            )
        if status == 413:
            raise errors.PlatformError(
                "the log refused the append with status 413: record too large"
            )
        if status != 200:
            raise errors.AppendOutcomeUnknownError(
                f"the log responded to an append with status {status}"
            )
        try:
            return msgspec.json.decode(body, type=records.AppendResponse).offset
        except errors.DECODE_ERRORS as exc:
            raise errors.AppendOutcomeUnknownError(
                "unreadable response of the log to an append"
            ) from exc

    def read(
        self,
        stream: str,
        offset: int,
        wait_ms: float = 0,
        limit: int = READ_LIMIT,
    ) -> records.ReadResponse:
        """Reads records; see `Log.read`."""
        wait_ms = min(wait_ms, self._timeout_ms)
        path = (
            f"/streams/{stream}/records?from={offset}"
            f"&limit={limit}&wait_ms={int(wait_ms)}"
        )
        try:
            status, body = self._poll_client.call(
                http_client.OutgoingRequest("GET", path)
            )
        except errors.AttemptError as exc:
            raise errors.PlatformError(str(exc)) from exc
        if status not in (200, 410):
            raise errors.PlatformError(
                f"the log responded to a read with status {status}"
            )
        try:
            response = msgspec.json.decode(body, type=records.ReadResponse)
        except errors.DECODE_ERRORS as exc:
            raise errors.PlatformError(
                "unreadable response of the log to a read"
            ) from exc
        if status == 410:
            raise errors.OffsetTrimmedError(response.first)
        return response

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()
        self._poll_client.close()


def read_to_end(
    log: Log, stream: str, offset: int
) -> Iterator[records.LogRecord]:
    """Yields the records from `offset` on, without those already trimmed.

    Raises:
        errors.PlatformError: The log could not be read.
    """
    while True:
        try:
            response = log.read(stream, offset)
        except errors.OffsetTrimmedError as exc:
            offset = exc.first_offset
            continue
        if not response.records:
            return
        yield from response.records
        offset = response.next
