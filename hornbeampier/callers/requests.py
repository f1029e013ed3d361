"""Reads and validates requests of callers."""

from collections.abc import Iterator
import contextlib
import dataclasses
import gc
import hashlib

import gevent
import msgspec

from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier import request_info
from hornbeampier.http1 import bodies
from hornbeampier.operators import schema

CLASS_HEADER = "HTTP_X_REQUEST_CLASS"
BEARER = "Bearer "
# A tab is allowed inside a header's value.
CONTROL_CHARACTERS = frozenset(map(chr, range(32))) - {"\t"} | {"\x7f"}


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat; `content` is text or a list of parts."""

    role: str
    content: str | list[dict] | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of OpenAI's chat request that the router reads.

    The messages are only checked.

    An unstreamed response is assembled from the text of the engine's events,
    so it supports neither several choices nor tool calls.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    n: int | None = None
    tools: tuple[msgspec.Raw, ...] | None = None


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A validated chat request; `body` is sent to the engine."""

    info: request_info.RequestInfo
    model: str
    stream: bool
    body: bytes


def check_head(environ) -> None:
    """Refuses a head that an endpoint could parse differently.

    Raises:
        errors.RefusalError: The transfer coding is not supported, or a header
            contains control characters.
    """
    coding = environ.get("HTTP_TRANSFER_ENCODING", "")
    if coding and coding.lower() != "chunked":
        raise _bad_request("Transfer-Encoding: only chunked is supported")
    for key, value in environ.items():
        if key.startswith("HTTP_") and not CONTROL_CHARACTERS.isdisjoint(value):
            raise _bad_request("a header contains control characters")


def authenticate(environ, cfg: schema.Configuration) -> schema.ClientAccount:
    """Returns the client account that owns the bearer key.

    Raises:
        errors.RefusalError: The key is missing or unknown.
    """
    header = environ.get("HTTP_AUTHORIZATION", "")
    if header.startswith(BEARER):
        key = header.removeprefix(BEARER).strip()
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        for account in cfg.accounts:
            if digest in account.key_sha256:
                return account
    raise errors.RefusalError(
        401,
        errors.RefusalCode.UNAUTHENTICATED,
        "send a valid key in 'Authorization: Bearer KEY'",
    )


def read_body(environ, max_bytes: int, timeout_ms: float) -> bytes:
    """Reads the body within limits of size and time.

    Raises:
        errors.RefusalError: The body is too large, too slow or incomplete, or
            the process cannot hold it.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > max_bytes:
        raise _too_large(max_bytes)
    stream = environ["wsgi.input"]
    try:
        with gevent.Timeout(timeout_ms / 1000.0, TimeoutError):
            return stream.read_body(max_bytes)
    except bodies.TooLargeError as exc:
        raise _too_large(max_bytes) from exc
    except memory_budget.ReclaimedError as exc:
        raise errors.RefusalError(
            503,
            errors.RefusalCode.OVERLOADED,
            "this VM cannot hold the request now",
            retry_after_ms=stream.holder.retry_after_ms,
        ) from exc
    except TimeoutError as exc:
        raise errors.RefusalError(
            408,
            errors.RefusalCode.REQUEST_TIMEOUT,
            f"the body did not arrive within {timeout_ms:g} ms",
        ) from exc
    except OSError as exc:
        raise _bad_request(f"the body cannot be read: {exc}") from exc


def choose_class(
    environ, account: schema.ClientAccount, cfg: schema.Configuration
) -> schema.RequestClass:
    """Returns the class of the header, or the account's default class.

    Raises:
        errors.RefusalError: The class is unknown or the account may not use
            it.
    """
    name = environ.get(CLASS_HEADER, account.default_class)
    request_class = cfg.find_class(name)
    if request_class is None:
        raise errors.RefusalError(
            400,
            errors.RefusalCode.UNKNOWN_CLASS,
            f"unknown request class {name!r}; yours are: "
            + ", ".join(account.classes),
        )
    if name not in account.classes:
        raise errors.RefusalError(
            403,
            errors.RefusalCode.CLASS_NOT_ALLOWED,
            f"the account may not use class {name!r}; yours are: "
            + ", ".join(account.classes),
        )
    return request_class


def parse_chat(raw: bytes, cfg: schema.Configuration) -> ChatBody:
    """Decodes and validates the body of a chat request.

    Raises:
        errors.RefusalError: The body is malformed or the model unknown.
    """
    try:
        with _no_collections():
            body = _decode_chat(raw)
    except errors.DECODE_ERRORS as exc:
        raise _bad_request(f"the body is not a chat request: {exc}") from exc
    if body.n not in (None, 1):
        raise _bad_request("n: only 1 is supported")
    if body.tools and not body.stream:
        raise _bad_request("tools: only supported with stream set to true")
    if body.model not in {m.name for m in cfg.models}:
        raise errors.RefusalError(
            404,
            errors.RefusalCode.UNKNOWN_MODEL,
            f"unknown model {body.model!r}",
        )
    return body


def _decode_chat(raw: bytes) -> ChatBody:
    """Returns the fields of a body; its messages are checked and dropped."""
    body = msgspec.json.decode(raw, type=ChatBody)
    if not body.messages:
        raise _bad_request("messages: at least one is needed")
    return msgspec.structs.replace(body, messages=())


def canonical_body(raw: bytes) -> bytes:
    """Returns the body as canonical JSON without `stream`, to fingerprint."""
    try:
        with _no_collections():
            return _encode_sorted(raw)
    except (*errors.DECODE_ERRORS, ValueError) as exc:
        raise _bad_request(f"the body is not a chat request: {exc}") from exc


def _encode_sorted(raw: bytes) -> bytes:
    fields = msgspec.json.decode(raw, type=dict)
    fields.pop("stream", None)
    return msgspec.json.encode(fields, order="sorted")


def streamed_body(raw: bytes) -> bytes:
    """Returns the body with `stream` set to true, for the engine."""
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


@contextlib.contextmanager
def _no_collections() -> Iterator[None]:
    """Keeps garbage collections out while a body is decoded.

    A decoder leaves no garbage, but its objects count towards the next
    collection, which is ten times the cost of a body of many small objects.
    They have to be gone when the context ends.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _bad_request(message: str) -> errors.RefusalError:
    return errors.RefusalError(400, errors.RefusalCode.BAD_REQUEST, message)


def _too_large(max_bytes: int) -> errors.RefusalError:
    return errors.RefusalError(
        413,
        errors.RefusalCode.BODY_TOO_LARGE,
        f"the body is over {max_bytes} bytes",
    )
