"""Types and bounds of the fields of records that other processes write.

What is within these bounds can be used, summed and sent to other VMs anywhere.
"""

import functools
import socket
from typing import Annotated

import msgspec

from hornbeampier.platform import settings

MAX_INTEGER = 2**63 - 1
MAX_MS = 1e12
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
MAX_PORT_DIGITS = len(str(MAX_PORT))
# Endpoints write the same addresses with each heartbeat.
MAX_CACHED_ADDRESSES = 16_384
# How much of an invalid value is shown in an error.
SHOWN_CHARACTERS = 60
# Stands for bytes of a key that are not UTF-8.
_REPLACEMENT = "\ufffd"
# Only with this escape can a JSON text hold code points that have no encoding.
_UNICODE_ESCAPE = b"\\u"

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
# A time that may lie in the past.
Ms = Annotated[float, msgspec.Meta(ge=-MAX_MS, le=MAX_MS)]


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def decode_address(text: str) -> settings.Address:
    """Decodes IP:PORT; raises ValueError if the text is malformed.

    The host is an IP literal, so that no name is ever looked up.
    """
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_port or not 1 <= int(port) <= MAX_PORT or not is_ip_address(host):
        raise ValueError(f"{text[:SHOWN_CHARACTERS]!r} is not IP:PORT")
    return settings.Address(host, int(port))


def is_ip_address(host: str) -> bool:
    """Whether a host is an IP literal."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True


def check_id(endpoint_id: str) -> None:
    """Raises ValueError for an id that cannot be the value of a header."""
    if (
        not endpoint_id.isprintable()
        or endpoint_id.strip() != endpoint_id
        or not endpoint_id
        or _REPLACEMENT in endpoint_id
    ):
        raise ValueError(f"{endpoint_id[:SHOWN_CHARACTERS]!r} is not an id")


def check_text(record: msgspec.Struct, value: bytes) -> None:
    """Raises ValueError if a text of a record cannot be encoded again.

    Args:
        record: The decoded record.
        value: The JSON text that it was decoded from.
    """
    if _UNICODE_ESCAPE in value:
        msgspec.json.encode(record)
