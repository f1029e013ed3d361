"""Reads and writes the headers of requests and responses."""

import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.http1 import messages
from hornbeampier.platform import announcements
from hornbeampier.platform import load_reports
from hornbeampier.platform import names
from hornbeampier.routing import announcements as routing_announcements
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_speed
from hornbeampier.routing import requests

# Larger counts of tokens are taken for malformed.
MAX_TOKENS = 100_000_000
MAX_TOKENS_DIGITS = len(str(MAX_TOKENS))
AUTH_SCHEME = b"token"
# Number of urgency ranks that engines distinguish, from 0 on.
URGENCY_RANK_COUNT = 10
# Request headers that are not copied: the router or its HTTP server handles
# them, or their value from a caller is not trusted.
_UNFORWARDED = frozenset(
    {b"host", b"content-length", b"expect", *names.RESERVED}
)
# Headers that are forwarded even if `Connection` names them as hop-by-hop.
_PROTECTED = frozenset(
    {
        b"content-type",
        names.REQUEST_ID,
        names.MODEL,
        names.TOKENS,
        names.PROMPT_SEGMENTS,
        names.LENGTH_HINT,
        names.LAST_EVENT_ID,
        names.RESUMES,
    }
)
_HIDDEN_FROM_CALLERS = frozenset({names.LOAD, b"content-length"})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """The decoded head of a caller's request.

    Attributes:
        timeout_ms: How long the caller waits from now on, or None.
        key: The key of a client account, or None.
        prompt: Tokens and segments of the prompt, or None.
        resumed: The stream that the caller takes up again, or None.
    """

    request_id: str
    timeout_ms: float | None
    key: str | None
    prompt: domain.Prompt | None
    resumed: requests.ResumedStream | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFields:
    """The decoded head of an endpoint's response.

    Attributes:
        is_signed: Whether the response carries an endpoint's signature.
        not_executed: Whether the endpoint states that it does not run the
            request.
        has_content_coding: Whether the body is encoded, for example with gzip,
            and therefore not as the endpoint made it.
        keep_alive_ms: How long the endpoint keeps an idle connection open, or
            None.
        will_close: Whether the endpoint closes the connection afterwards.
        announcement: What the endpoint announces about itself; None if the
            response is another endpoint's.
        load: The load that the endpoint reports, or None.
    """

    status: int
    is_signed: bool
    not_executed: bool
    has_content_coding: bool
    keep_alive_ms: float | None
    will_close: bool
    announcement: routing_announcements.Announcement | None
    load: endpoint_speed.LoadReport | None = None


def decode_request(head: messages.RequestHead) -> RequestFields:
    """Decodes the head of a caller's request; malformed values are None."""
    request_id = head.get(names.REQUEST_ID) or b""
    return RequestFields(
        request_id=request_id.decode("latin-1"),
        timeout_ms=_decode_number(head.get(names.DEADLINE)),
        key=_decode_key(head.get(b"authorization")),
        prompt=_decode_prompt(head),
        resumed=_decode_resumed(head),
    )


def request_headers_to_forward(
    head: messages.RequestHead, keep_authorization: bool
) -> messages.Headers:
    """Returns the caller's headers that are forwarded unchanged."""
    hop_by_hop = messages.connection_options(head.headers) - _PROTECTED
    dropped = messages.HOP_BY_HOP | _UNFORWARDED | hop_by_hop
    if not keep_authorization:
        dropped = dropped | {b"authorization"}
    return tuple(
        (key, value) for key, value in head.headers if key not in dropped
    )


def encode_request(
    req: requests.Request,
    endpoint: domain.Endpoint,
    remaining_ms: float,
    last_event_id: str | None = None,
    fetch_from: domain.Endpoint | None = None,
) -> messages.RequestHead:
    """Returns the head of the request that is sent to an endpoint.

    Args:
        req: The caller's request.
        endpoint: The endpoint to send to. The head names its instance, so that
            another one at the same address does not run the request.
        remaining_ms: How long the endpoint may take.
        last_event_id: ID of the event after which an interrupted stream is
            resumed.
        fetch_from: The engine from which to fetch cached prompt segments.
    """
    headers = [(b"Host", req.host)]
    for key, value in req.headers:
        if key != names.LAST_EVENT_ID or last_event_id is None:
            headers.append((key, value))
    headers.append((names.DEADLINE, b"%d" % max(1, remaining_ms)))
    headers.append((names.EXPECT_INSTANCE, endpoint.id.encode()))
    if req.account is not None:
        headers.append((names.ACCOUNT, req.account.name.encode()))
    if req.prompt is not None:
        headers.append((names.URGENCY, b"%d" % req.urgency))
    if fetch_from is not None:
        source = f"{fetch_from.host}:{fetch_from.port}"
        headers.append((names.KV_FETCH, source.encode()))
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if req.body or req.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", b"%d" % len(req.body)))
    return messages.RequestHead(req.method, req.target, tuple(headers))


def decode_response(head: messages.ResponseHead) -> ResponseFields:
    """Decodes the head of an endpoint's response."""
    connection = (head.get(b"connection") or b"").lower()
    encoding = (head.get(b"content-encoding") or b"identity").lower()
    # 421 also means not executed: another endpoint has this address now.
    not_executed = (
        head.get(names.NOT_EXECUTED) is not None or head.status == 421
    )
    return ResponseFields(
        status=head.status,
        is_signed=head.get(names.SIGNATURE) is not None,
        not_executed=not_executed,
        has_content_coding=encoding != b"identity",
        keep_alive_ms=_decode_keep_alive(head.get(b"keep-alive")),
        will_close=b"close" in connection,
        announcement=announcements.decode(head),
        load=load_reports.decode(head.get(names.LOAD)),
    )


def response_headers_to_forward(
    head: messages.ResponseHead,
) -> list[tuple[bytes, bytes]]:
    """Returns the response headers for the caller, except the framing ones."""
    hop_by_hop = messages.connection_options(head.headers)
    dropped = (messages.HOP_BY_HOP | _HIDDEN_FROM_CALLERS | hop_by_hop) - {
        names.SIGNATURE,
        names.REQUEST_ID,
    }
    return [(key, value) for key, value in head.headers if key not in dropped]


def _decode_number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    if number is None or not 0 <= number < math.inf:
        return None
    return number


def _decode_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    if scheme.lower() != AUTH_SCHEME:
        return None
    return key.strip().decode("latin-1") or None


def _decode_resumed(
    head: messages.RequestHead,
) -> requests.ResumedStream | None:
    request_id = (head.get(names.RESUMES) or b"").decode("latin-1").strip()
    last_event_id = head.get(names.LAST_EVENT_ID) or b""
    if not request_id and not last_event_id.strip():
        return None
    return requests.ResumedStream(
        request_id, last_event_id.decode("latin-1").strip()
    )


def _decode_prompt(head: messages.RequestHead) -> domain.Prompt | None:
    tokens = head.get(names.TOKENS)
    if tokens is None:
        return None
    try:
        input_tokens, max_output_tokens = (
            _decode_tokens(n.strip()) for n in tokens.split(b",")
        )
    except ValueError:
        return None
    expected = _decode_number(head.get(names.LENGTH_HINT))
    return domain.Prompt(
        model=(head.get(names.MODEL) or b"").decode("latin-1"),
        input_tokens=input_tokens,
        max_output_tokens=max_output_tokens,
        expected_output_tokens=(
            None if expected is None else int(min(expected, MAX_TOKENS))
        ),
        segments=_decode_segments(head.get(names.PROMPT_SEGMENTS)),
    )


def _decode_segments(value: bytes | None) -> tuple[domain.PromptSegment, ...]:
    """Decodes a list of ID:TOKENS entries; a malformed list is empty."""
    if not value:
        return ()
    segments = []
    for entry in value.decode("latin-1").split(","):
        segment_id, _, tokens = entry.strip().partition(":")
        try:
            count = _decode_tokens(tokens.encode("latin-1"))
        except ValueError:
            return ()
        segments.append(domain.PromptSegment(segment_id, count))
    return tuple(segments)


def _decode_tokens(value: bytes) -> int:
    """Decodes a count of tokens; raises ValueError if it is out of range."""
    if not value.isdigit() or len(value) > MAX_TOKENS_DIGITS:
        raise ValueError(f"{value[:MAX_TOKENS_DIGITS]!r} is no count of tokens")
    count = int(value)
    if count > MAX_TOKENS:
        raise ValueError(f"{count} tokens exceed {MAX_TOKENS}")
    return count


def _decode_keep_alive(value: bytes | None) -> float | None:
    for parameter in (value or b"").split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout":
            number = _decode_number(seconds)
            return None if number is None else number * clocks.MS_PER_SECOND
    return None
