"""Bodies and headers of responses to callers."""

from collections.abc import Iterator
import math

import msgspec

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier import wsgi

SSE_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
)
DONE = b"data: [DONE]\n\n"
OBJECT_CHAT = "chat.completion"


class ErrorDetail(msgspec.Struct, frozen=True):
    """OpenAI's error object with a `verdict`: whether the request ran."""

    message: str
    type: str
    code: str
    verdict: str
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every refusal."""

    error: ErrorDetail


class ResponseMessage(msgspec.Struct, frozen=True):
    """The message of an unstreamed response."""

    content: str
    role: str = "assistant"


class ResponseChoice(msgspec.Struct, frozen=True):
    """The only choice of an unstreamed response."""

    message: ResponseMessage
    finish_reason: str
    index: int = 0


class ChatResponse(msgspec.Struct, frozen=True):
    """An unstreamed response in OpenAI's chat format."""

    id: str
    model: str
    created: int
    choices: tuple[ResponseChoice, ...]
    object: str = OBJECT_CHAT


def error_body(refusal: errors.RefusalError) -> ErrorBody:
    """Returns the response body of a refusal."""
    error_type = (
        "server_error" if refusal.status >= 500 else "invalid_request_error"
    )
    if refusal.status == 429:
        error_type = "rate_limit_error"
    return ErrorBody(
        ErrorDetail(
            refusal.message,
            error_type,
            refusal.code.value,
            refusal.verdict.value,
        )
    )


def refusal_headers(refusal: errors.RefusalError) -> list[tuple[str, str]]:
    """Returns `Retry-After`, rounded up to seconds, if the refusal has one."""
    if refusal.retry_after_ms is None:
        return []
    seconds = math.ceil(refusal.retry_after_ms / clock.MS_PER_SECOND)
    return [("Retry-After", str(max(1, seconds)))]


def send_refusal(
    start_response, request_id: str, refusal: errors.RefusalError
) -> Iterator[bytes]:
    """Sends a refusal as the response."""
    body = msgspec.json.encode(error_body(refusal))
    headers = [
        wsgi.JSON_TYPE,
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
        *refusal_headers(refusal),
    ]
    start_response(wsgi.status_line(refusal.status), headers)
    yield body


def error_event(refusal: errors.RefusalError) -> bytes:
    """Returns the event that ends an interrupted stream."""
    body = msgspec.json.encode(error_body(refusal))
    return b"event: error\ndata: " + body + b"\n\n"


def send_unstreamed(
    start_response, info: request_info.RequestInfo, response: ChatResponse
) -> Iterator[bytes]:
    """Sends an unstreamed chat response."""
    body = msgspec.json.encode(response)
    headers = [
        wsgi.JSON_TYPE,
        ("Content-Length", str(len(body))),
        ("X-Request-Id", info.request_id),
    ]
    start_response(wsgi.status_line(200), headers)
    yield body
