"""Fields of the records that operators and endpoints write; see `bounds`."""

import functools
from typing import Annotated

import msgspec

from hornbeampier import bounds
from hornbeampier.platform import settings

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

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def decode_address(text: str) -> settings.Address:
    """Decodes IP:PORT; raises ValueError if the text is malformed.

    The host is an IP literal, so that no name is ever looked up.
    """
    host, _, port = text.rpartition(":")
    if not (_is_port(port) and bounds.is_ip_address(host)):
        raise ValueError(f"{text[:SHOWN_CHARACTERS]!r} is not IP:PORT")
    return settings.Address(host, int(port))


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit()
    return (
        is_number
        and len(text) <= MAX_PORT_DIGITS
        and 1 <= int(text) <= MAX_PORT
    )


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
