"""The list of prompt segments that an engine holds in its KV cache."""

import msgspec

from hornbeampier import bounds
from hornbeampier import errors
from hornbeampier.http1 import messages
from hornbeampier.platform import fields
from hornbeampier.routing import domain

# Some 25,000 segments; an engine may list more of them only if these are few
# tokens each. Decoded, they take ten times as much.
MAX_BYTES = 1024 * 1024


class _CacheList(msgspec.Struct):
    """A cache list; entries are (empty text, segment id, tokens, model)."""

    held: list[tuple[str, str, bounds.Count, str]]


_decoder = msgspec.json.Decoder(_CacheList)


def encode_request(endpoint: domain.Endpoint) -> messages.RequestHead:
    """Returns the head of the request for the list of `endpoint`."""
    host = f"{endpoint.host}:{endpoint.port}".encode()
    return messages.RequestHead(b"GET", b"/kv-list", ((b"host", host),))


def decode(body: bytes) -> list[domain.PromptSegment]:
    """Decodes the body of the response to `encode_request`.

    Raises:
        errors.PlatformError: The body is malformed.
    """
    try:
        cache_list = _decoder.decode(body)
        fields.check_text(cache_list, body)
    except (*errors.DECODE_ERRORS, ValueError) as exc:
        raise errors.PlatformError(f"malformed KV cache list: {exc}") from exc
    return [
        domain.PromptSegment(segment_id, tokens)
        for _, segment_id, tokens, _ in cache_list.held
    ]
