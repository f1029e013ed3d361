"""Heads of HTTP requests and responses."""

import dataclasses
import http

# (name, value) pairs; names in lower case, values as received.
Headers = tuple[tuple[bytes, bytes], ...]

# Bytes of a request line besides method and target: spaces, version, CRLF.
REQUEST_LINE_BYTES = 12
# Bytes of a header line besides name and value: colon, space, CRLF.
HEADER_LINE_BYTES = 4

# Larger values are invalid (RFC 9110, section 15).
MAX_STATUS = 599

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def get(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def connection_options(headers: Headers) -> set[bytes]:
    """Returns the header names that `Connection` declares hop-by-hop."""
    options = set()
    for key, value in headers:
        if key == b"connection":
            options.update(
                option.strip().lower() for option in value.split(b",")
            )
    return options


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers; `target` is not decoded."""

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return get(self.headers, name)

    @property
    def size(self) -> int:
        """The size of the head in bytes, in the form that most callers send."""
        size = len(self.method) + len(self.target) + REQUEST_LINE_BYTES
        for key, value in self.headers:
            size += len(key) + len(value) + HEADER_LINE_BYTES
        return size

    @property
    def host(self) -> str:
        """The value of the `Host` header without its port."""
        return host_name(self.get(b"host") or b"")

    @property
    def path(self) -> str:
        """The path, without the query."""
        return target_path(self.target)


def host_name(value: bytes) -> str:
    """Returns the value of a `Host` header without its port."""
    text = value.decode("latin-1")
    name, separator, port = text.rpartition(":")
    return name if separator and port.isdigit() else text


def target_path(target: bytes) -> str:
    """Returns the path of a request target, without the query."""
    return target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        length: The value of `Content-Length`, or None.
    """

    status: int
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return get(self.headers, name)


def reason_phrase(status: int) -> bytes:
    """Returns the reason phrase of a status; empty if it has none."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
