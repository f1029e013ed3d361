"""Heads of requests and responses."""

import dataclasses

# Names in lower case, values as received.
Headers = tuple[tuple[bytes, bytes], ...]

# Spaces, version and line end of a request line.
REQUEST_LINE_BYTES = 12
# Colon, space and line end of a header.
HEADER_LINE_BYTES = 4

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


def named_by_connection(headers: Headers) -> set[bytes]:
    """Returns the names that `Connection` declares to be hop-by-hop."""
    named = set()
    for key, value in headers:
        if key == b"connection":
            named.update(n.strip().lower() for n in value.split(b","))
    return named


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The first part of a request; `target` as it stood on the wire."""

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return get(self.headers, name)

    @property
    def size(self) -> int:
        """The bytes of the head, as it is written by most callers."""
        size = len(self.method) + len(self.target) + REQUEST_LINE_BYTES
        for key, value in self.headers:
            size += len(key) + len(value) + HEADER_LINE_BYTES
        return size

    @property
    def host(self) -> str:
        """The name of the host, without a port."""
        value = (self.get(b"host") or b"").decode("latin-1")
        name, separator, port = value.rpartition(":")
        return name if separator and port.isdigit() else value

    @property
    def path(self) -> str:
        """The path, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The first part of a response.

    Attributes:
        length: Bytes of the body if they are known in advance, else None.
    """

    status: int
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return get(self.headers, name)
