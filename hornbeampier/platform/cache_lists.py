"""An engine's list of the prompt parts that it keeps."""

import msgspec

from hornbeampier import errors
from hornbeampier.http1 import messages
from hornbeampier.routing import domain


class _CacheList(msgspec.Struct):
    """The list; an entry holds an empty text, an id, tokens and a model."""

    held: list[tuple[str, str, int, str]]


_decoder = msgspec.json.Decoder(_CacheList)


def encode_request(endpoint: domain.Endpoint) -> messages.RequestHead:
    """Returns the head of the call that asks for the list."""
    host = f"{endpoint.host}:{endpoint.port}".encode()
    return messages.RequestHead(b"GET", b"/kv-list", ((b"host", host),))


def decode(body: bytes) -> list[domain.PromptSegment]:
    """Returns the parts in a list.

    Raises:
        errors.PlatformError: The list cannot be read.
    """
    try:
        found = _decoder.decode(body)
    except errors.DECODE_ERRORS as exc:
        raise errors.PlatformError(f"unreadable list: {exc}") from exc
    return [
        domain.PromptSegment(part_id, tokens)
        for _, part_id, tokens, _ in found.held
    ]
