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
COMMENT = b":"
# Status codes by which an engine says that it did not run the request.
NOT_RUN_STATUSES = frozenset({404, 429, 503})
BUSY_STATUSES = frozenset({429, 503})
# Sent by an engine that is leaving; an engine that is full sends 429.
REFUSES_ALL_STATUS = 503
# Status codes by which an engine says that the caller's request is invalid.
CALLER_STATUSES = frozenset({400, 413, 422})
CANCEL_TIMEOUT_MS = 1_000.0
# Limits the wait for the end of the body after the end marker.
END_TIMEOUT_MS = 200.0
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
        attempt: Number of the attempt at the request, from 1 on.
        new_connection: Whether to use a new connection, not an idle one.
    """

    request_id: str
    body: bytes
    priority: int
    timeouts: Timeouts
    resume_text: str = ""
    resume_tokens: int = 0
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
    """One event of an answer: the SSE line and the text that it adds.

    Attributes:
        resumable: Whether another engine can resume the answer from its text.
    """

    line: bytes
    text: str
    finish_reason: str | None
    resumable: bool = True


@dataclasses.dataclass
class _Silence:
    """Measures how long an engine has been silent.

    Attributes:
        since_ms: Monotonic time since which the router waits for an event.
        limit_ms: The longest silence allowed.
    """

    since_ms: float
    limit_ms: float

    def is_over(self, now_ms: float) -> bool:
        """Returns whether the engine was silent for too long."""
        return now_ms - self.since_ms > self.limit_ms

    def was_paused(self, now_ms: float) -> bool:
        """Returns whether this VM was paused, and not the engine silent."""
        return self.is_over(now_ms - PAUSE_MS)


class EngineClient:
    """Sends chat requests to one engine."""

    def __init__(self, peer: http_client.HttpClient, clk: clock.Clock):
        self._peer = peer
        self._clock = clk

    def stream(self, req: EngineRequest) -> Iterator[EngineEvent]:
        """Sends a request and yields its events up to the end marker.

        If the stream fails or is closed before its end, the request is
        cancelled at the engine.

        Raises:
            errors.AttemptError: The engine refused the request, or the stream
                is incomplete, invalid or that of another request.
            errors.RefusalError: The engine says that the request is invalid.
        """
        ended = False
        silence = _Silence(self._clock.now(), req.timeouts.first_token_ms)
        try:
            yield from self._exchange(req, silence)
            ended = True
        except errors.AttemptError as exc:
            ended = exc.verdict is verdict.Verdict.NOT_RUN
            if exc.timed_out and silence.was_paused(self._clock.now()):
                raise _paused() from exc
            raise
        finally:
            if not ended:
                gevent.spawn(self._cancel, req)

    def _exchange(
        self, req: EngineRequest, silence: _Silence
    ) -> Iterator[EngineEvent]:
        reply = self._peer.send(
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
            _check_status(req, reply)
            yield from self._events(req, reply, silence)
        finally:
            reply.close()

    def _events(
        self,
        req: EngineRequest,
        reply: http_client.HttpResponse,
        silence: _Silence,
    ) -> Iterator[EngineEvent]:
        finished = False
        for line in reply.lines():
            line = line.rstrip()
            if not line or line.startswith(COMMENT):
                if silence.is_over(self._clock.now()):
                    raise _stalled()
                continue
            if line == messages.DONE_LINE:
                _check_finished(finished)
                _end(reply)
                return
            event = _parse(req.request_id, line)
            finished = finished or event.finish_reason is not None
            if silence.limit_ms != req.timeouts.between_tokens_ms:
                silence.limit_ms = req.timeouts.between_tokens_ms
                reply.set_read_timeout(silence.limit_ms)
            yield event
            silence.since_ms = self._clock.now()
        raise _corrupt("the answer ended without its end marker")

    def _cancel(self, req: EngineRequest) -> None:
        path = CANCEL_PATH.format(
            request_id=req.request_id, attempt=req.attempt
        )
        order = http_client.OutgoingRequest(
            "POST", path, timeout_ms=CANCEL_TIMEOUT_MS
        )
        try:
            self._peer.call(order)
        except errors.AttemptError:
            # An unreachable engine still notices the closed connection.
            return


def _check_status(req: EngineRequest, reply: http_client.HttpResponse) -> None:
    """Raises unless the engine accepted the request, resumed where asked."""
    status = reply.status
    if status == 200:
        if req.resume_tokens and reply.header(RESUME_HEADER) != str(
            req.resume_tokens
        ):
            raise _corrupt("the engine did not resume the answer")
        return
    if status in CALLER_STATUSES and not req.resume_tokens:
        raise errors.RefusalError(
            status,
            errors.RefusalCode.BAD_REQUEST,
            f"the engine refused the request with {status}",
        )
    run = verdict.Verdict.MAY_HAVE_RUN
    if status in NOT_RUN_STATUSES | CALLER_STATUSES:
        run = verdict.Verdict.NOT_RUN
    raise errors.AttemptError(
        f"the engine answered {status}",
        run,
        declined=status in BUSY_STATUSES,
        refuses_all=status == REFUSES_ALL_STATUS,
    )


def _end(reply: http_client.HttpResponse) -> None:
    """Reads the end of the body, so that the connection can be reused."""
    reply.set_read_timeout(END_TIMEOUT_MS)
    try:
        reply.read()
    except errors.AttemptError:
        return


def _check_finished(finished: bool) -> None:
    if not finished:
        raise _corrupt("the answer ended without its finish reason")


def _parse(request_id: str, line: bytes) -> EngineEvent:
    if not line.startswith(messages.DATA_PREFIX):
        raise _corrupt("a line is not an event")
    payload = line[len(messages.DATA_PREFIX) :]
    try:
        chunk = msgspec.json.decode(payload, type=messages.Chunk)
    except errors.DECODE_ERRORS as exc:
        raise _corrupt("an event is not valid JSON") from exc
    if chunk.id != request_id:
        raise _corrupt("an event belongs to another request")
    if not chunk.choices:
        return EngineEvent(line, "", None)
    choice = chunk.choices[0]
    return EngineEvent(
        line,
        choice.delta.content or "",
        choice.finish_reason,
        not choice.delta.tool_calls,
    )


def _corrupt(message: str) -> errors.AttemptError:
    return errors.AttemptError(message, verdict.Verdict.MAY_HAVE_RUN)


def _stalled() -> errors.AttemptError:
    return errors.AttemptError(
        "the engine computes no tokens",
        verdict.Verdict.MAY_HAVE_RUN,
        timed_out=True,
    )


def _paused() -> errors.AttemptError:
    """Returns the error of a connection that this VM could not read in time."""
    return errors.AttemptError(
        "this VM was paused", verdict.Verdict.MAY_HAVE_RUN, crashed=True
    )
