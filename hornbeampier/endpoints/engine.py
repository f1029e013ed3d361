"""Client of the model engines: streaming, resume and cancel over HTTP."""

from collections.abc import Iterator
import dataclasses

import gevent
import msgspec

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import verdict
from hornbeampier.endpoints import messages

CHAT_PATH = "/v1/chat/completions"
CANCEL_PATH = "/cancel/{request_id}/{attempt}"
RESUME_HEADER = "X-Resume-Tokens"
RESUME_FIELD = "resume_text"
# In a response, the version of the engine's software; in a request to resume a
# response, the version that began it.
VERSION_HEADER = "X-Software-Version"
SSE_COMMENT = b":"
# Status codes by which an engine says that it did not run the request.
NOT_RUN_STATUSES = frozenset({404, 429, 503})
DECLINE_STATUSES = frozenset({429, 503})
# Sent by an engine that is leaving; an engine that is full sends 429.
DECLINES_ALL_STATUS = 503
# Status codes by which an engine says that the caller's request is invalid.
INVALID_REQUEST_STATUSES = frozenset({400, 413, 422})
CANCEL_TIMEOUT_MS = 1_000.0
# Limits the wait for the end of the body after the end marker.
BODY_END_TIMEOUT_MS = 200.0
# A timeout that fires this much too late means that this VM was paused.
PAUSE_MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """How long an engine may be silent, in ms."""

    first_token_ms: float
    between_tokens_ms: float


@dataclasses.dataclass(frozen=True)
class EngineRequest:
    """A chat request as an engine receives it.

    Attributes:
        body: The caller's JSON body, with `stream` set.
        priority: The tier; engines run lower numbers first.
        resume_text: The text received in earlier attempts.
        resume_tokens: The number of events in `resume_text`.
        resume_version: The software version that wrote `resume_text`; empty if
            its engine named none.
        attempt: Number of the attempt at the request, from 1 on.
        new_connection: Whether to use a new connection, not an idle one.
    """

    request_id: str
    body: bytes
    priority: int
    timeouts: Timeouts
    resume_text: str = ""
    resume_tokens: int = 0
    resume_version: str = ""
    attempt: int = 1
    new_connection: bool = False

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the HTTP headers of the request."""
        rows = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", self.request_id),
            ("X-Attempt", str(self.attempt)),
            ("X-Priority", str(self.priority)),
        ]
        if self.resume_tokens:
            rows.append((RESUME_HEADER, str(self.resume_tokens)))
        if self.resume_tokens and self.resume_version:
            rows.append((VERSION_HEADER, self.resume_version))
        return tuple(rows)

    def full_body(self) -> bytes:
        """Returns the body, with the text to resume from if there is one."""
        if not self.resume_tokens:
            return self.body
        fields = msgspec.json.decode(self.body, type=dict[str, msgspec.Raw])
        fields[RESUME_FIELD] = msgspec.Raw(
            msgspec.json.encode(self.resume_text)
        )
        return msgspec.json.encode(fields)


@dataclasses.dataclass(frozen=True)
class EngineEvent:
    """One event of a response: the SSE line and the text that it adds.

    Attributes:
        resumable: Whether another engine can resume the response from its text.
        software_version: Version of the engine's software; empty if it names
            none.
    """

    line: bytes
    text: str
    finish_reason: str | None
    resumable: bool = True
    software_version: str = ""


@dataclasses.dataclass
class _EventTimeout:
    """The timeout of the wait for an engine's next event.

    Attributes:
        since_ms: Monotonic time at which the wait began.
        limit_ms: The longest wait allowed.
    """

    since_ms: float
    limit_ms: float

    def has_expired(self, now_ms: float) -> bool:
        """Returns whether the engine was silent for too long."""
        return now_ms - self.since_ms > self.limit_ms

    def fired_after_pause(self, now_ms: float) -> bool:
        """Returns whether it fires so late that this VM must have paused."""
        return self.has_expired(now_ms - PAUSE_MS)


class EngineClient:
    """Sends chat requests to one engine."""

    def __init__(self, http: http_client.HttpClient, clk: clock.Clock):
        self._http = http
        self._clock = clk

    def stream(self, req: EngineRequest) -> Iterator[EngineEvent]:
        """Sends a request and yields its events up to the end marker.

        If the stream fails or is closed before its end, the request is
        cancelled at the engine, unless it surely did not run there.

        Raises:
            errors.AttemptError: The engine declined the request, or the stream
                is incomplete, invalid or that of another request.
            errors.RefusalError: The engine says that the request is invalid.
        """
        ended = False
        event_timeout = _EventTimeout(
            self._clock.now(), req.timeouts.first_token_ms
        )
        try:
            yield from self._send_and_read(req, event_timeout)
            ended = True
        except errors.AttemptError as exc:
            ended = exc.verdict is verdict.Verdict.NOT_RUN
            if exc.timed_out and event_timeout.fired_after_pause(
                self._clock.now()
            ):
                raise _paused() from exc
            raise
        finally:
            if not ended:
                gevent.spawn(self._cancel, req)

    def _send_and_read(
        self, req: EngineRequest, event_timeout: _EventTimeout
    ) -> Iterator[EngineEvent]:
        resp = self._http.send(
            http_client.OutgoingRequest(
                "POST",
                CHAT_PATH,
                req.headers(),
                req.full_body(),
                req.new_connection,
                timeout_ms=req.timeouts.first_token_ms,
            )
        )
        try:
            _check_status(req, resp)
            yield from self._read_events(req, resp, event_timeout)
        finally:
            resp.close()

    def _read_events(
        self,
        req: EngineRequest,
        resp: http_client.HttpResponse,
        event_timeout: _EventTimeout,
    ) -> Iterator[EngineEvent]:
        finished = False
        for line in resp.lines():
            line = line.rstrip()
            if not line or line.startswith(SSE_COMMENT):
                if event_timeout.has_expired(self._clock.now()):
                    raise _stalled()
                continue
            if line == messages.DONE_LINE:
                _check_finished(finished)
                _read_to_end(resp)
                return
            event = _parse(req.request_id, line, _version(resp))
            finished = finished or event.finish_reason is not None
            if event_timeout.limit_ms != req.timeouts.between_tokens_ms:
                event_timeout.limit_ms = req.timeouts.between_tokens_ms
                resp.set_read_timeout(event_timeout.limit_ms)
            yield event
            event_timeout.since_ms = self._clock.now()
        raise _invalid_stream("the stream ended without its [DONE] marker")

    def _cancel(self, req: EngineRequest) -> None:
        path = CANCEL_PATH.format(
            request_id=req.request_id, attempt=req.attempt
        )
        cancel_req = http_client.OutgoingRequest(
            "POST", path, timeout_ms=CANCEL_TIMEOUT_MS
        )
        try:
            self._http.call(cancel_req)
        except errors.AttemptError:
            # The engine also cancels the request when it notices that the
            # connection is closed.
            return


def _check_status(req: EngineRequest, resp: http_client.HttpResponse) -> None:
    """Raises unless the engine accepted the request or resumes it if asked."""
    status = resp.status
    if status == 200:
        if req.resume_tokens and resp.header(RESUME_HEADER) != str(
            req.resume_tokens
        ):
            raise _invalid_stream("the engine did not resume the response")
        if req.resume_tokens and _version(resp) != req.resume_version:
            raise _invalid_stream(
                f"software version {_version(resp)!r} cannot resume what "
                f"{req.resume_version!r} began"
            )
        return
    if status in INVALID_REQUEST_STATUSES and not req.resume_tokens:
        raise errors.RefusalError(
            status,
            errors.RefusalCode.BAD_REQUEST,
            f"the engine rejected the request with HTTP status {status}",
        )
    attempt_verdict = verdict.Verdict.MAY_HAVE_RUN
    if status in NOT_RUN_STATUSES | INVALID_REQUEST_STATUSES:
        attempt_verdict = verdict.Verdict.NOT_RUN
    raise errors.AttemptError(
        f"the engine responded with HTTP status {status}",
        attempt_verdict,
        declined=status in DECLINE_STATUSES,
        declines_all=status == DECLINES_ALL_STATUS,
    )


def _read_to_end(resp: http_client.HttpResponse) -> None:
    """Reads the end of the body, so that the connection can be reused."""
    resp.set_read_timeout(BODY_END_TIMEOUT_MS)
    try:
        resp.read()
    except errors.AttemptError:
        return


def _check_finished(finished: bool) -> None:
    if not finished:
        raise _invalid_stream("the stream ended without a finish reason")


def _version(resp: http_client.HttpResponse) -> str:
    return resp.header(VERSION_HEADER) or ""


def _parse(request_id: str, line: bytes, software_version: str) -> EngineEvent:
    if not line.startswith(messages.DATA_PREFIX):
        raise _invalid_stream("a line of the stream is not an SSE data line")
    payload = line[len(messages.DATA_PREFIX) :]
    try:
        chunk = msgspec.json.decode(payload, type=messages.Chunk)
    except errors.DECODE_ERRORS as exc:
        raise _invalid_stream("a stream event is not a valid chunk") from exc
    if chunk.id != request_id:
        raise _invalid_stream("a stream event belongs to another request")
    if not chunk.choices:
        return EngineEvent(line, "", None, software_version=software_version)
    choice = chunk.choices[0]
    return EngineEvent(
        line,
        choice.delta.content or "",
        choice.finish_reason,
        not choice.delta.tool_calls,
        software_version,
    )


def _invalid_stream(message: str) -> errors.AttemptError:
    return errors.AttemptError(message, verdict.Verdict.MAY_HAVE_RUN)


def _stalled() -> errors.AttemptError:
    return errors.AttemptError(
        "the engine sent no token within the timeout",
        verdict.Verdict.MAY_HAVE_RUN,
        timed_out=True,
    )


def _paused() -> errors.AttemptError:
    """Returns the error for a timeout caused by a pause of this VM.

    It counts as a lost connection, not as a timeout of the engine, so that the
    engine is probed and can resume the response.
    """
    return errors.AttemptError(
        "this VM was paused while it waited for the engine",
        verdict.Verdict.MAY_HAVE_RUN,
        connection_lost=True,
    )
