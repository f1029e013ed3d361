"""What the process of an endpoint reports about itself, outside of requests."""

import msgspec

from hornbeampier import errors
from hornbeampier.http1 import messages
from hornbeampier.platform import names
from hornbeampier.routing import domain

# A report lists the runs of its process, some 40 bytes each.
MAX_BYTES = 64 * 1024


class _Report(msgspec.Struct):
    """A report; `born` is the Unix time of the process's start in ms."""

    born: int


_decoder = msgspec.json.Decoder(_Report)


def encode_request(endpoint: domain.Endpoint) -> messages.RequestHead:
    """Returns the head of the request for the report of `endpoint`."""
    host = f"{endpoint.host}:{endpoint.port}".encode()
    return messages.RequestHead(
        b"GET",
        b"/report",
        ((b"host", host), (names.EXPECT_INSTANCE, endpoint.id.encode())),
    )


def decode_started_ms(body: bytes) -> int:
    """Returns when the process started that sent a report, in Unix ms.

    Raises:
        errors.PlatformError: The report is malformed.
    """
    try:
        return _decoder.decode(body).born
    except errors.DECODE_ERRORS as exc:
        raise errors.PlatformError(f"malformed report: {exc}") from exc
