"""Client of the model engines: streaming, resume and cancel over HTTP."""

from collections.abc import Iterator
import dataclasses

import msgspec

from hornbeampier import errors
from hornbeampier import exchange
from hornbeampier import verdict
from hornbeampier.endpoints import messages

CHAT_PATH = "/v1/chat/completions"
# Statuses by which an engine says that it did not run the request.
NOT_RUN_STATUSES = frozenset({400, 404, 413, 422, 429, 503})
BUSY_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True)
class EngineRequest:
    """A chat request as an engine receives it.

    Attributes:
        body: The caller's JSON body, with `stream` set.
        priority: The tier; engines run lower numbers first.
        resume_text: The part of the answer that the router already has.
        resume_tokens: The number of events in `resume_text`.
    """

    request_id: str
    body: bytes
    priority: int
    resume_text: str = ""
    resume_tokens: int = 0

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the HTTP headers of the request."""
        rows = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", self.request_id),
            ("X-Priority", str(self.priority)),
        ]
        if self.resume_tokens:
            rows.append(("X-Resume-Tokens", str(self.resume_tokens)))
        return tuple(rows)


@dataclasses.dataclass(frozen=True)
class EngineEvent:
    """One event of an answer: the SSE line and the text that it adds."""

    line: bytes
    text: str
    finish_reason: str | None


class EngineClient:
    """Sends chat requests to one engine."""

    def __init__(self, peer: exchange.HttpPeer):
        self._peer = peer

    def stream(self, req: EngineRequest) -> Iterator[EngineEvent]:
        """Runs a request and yields its events up to the end marker.

        Raises:
            errors.AttemptError: The engine refused, or the answer is not
                whole or belongs to another request.
        """
        reply = self._peer.send(
            exchange.OutgoingRequest("POST", CHAT_PATH, req.headers(), req.body)
        )
        try:
            if reply.status != 200:
                raise _refusal(reply)
            yield from self._events(req, reply)
        finally:
            reply.close()

    def _events(
        self, req: EngineRequest, reply: exchange.Exchange
    ) -> Iterator[EngineEvent]:
        for line in reply.lines():
            line = line.rstrip()
            if not line:
                continue
            if line == messages.DONE_LINE:
                # Reads the end of the body, so that the connection is kept.
                reply.read()
                return
            yield _parse(req.request_id, line)
        raise errors.AttemptError(
            "the answer ended without its end marker",
            verdict.Verdict.MAY_HAVE_RUN,
            crashed=True,
        )


def _parse(request_id: str, line: bytes) -> EngineEvent:
    if not line.startswith(messages.DATA_PREFIX):
        raise _corrupt("a line is not an event")
    payload = line[len(messages.DATA_PREFIX) :]
    try:
        chunk = msgspec.json.decode(payload, type=messages.Chunk)
    except msgspec.MsgspecError as exc:
        raise _corrupt("an event is not valid JSON") from exc
    if chunk.id != request_id:
        raise _corrupt("an event belongs to another request")
    if not chunk.choices:
        return EngineEvent(line, "", None)
    choice = chunk.choices[0]
    return EngineEvent(line, choice.delta.content, choice.finish_reason)


def _refusal(reply: exchange.Exchange) -> errors.AttemptError:
    status = reply.status
    reply.read()
    run = verdict.Verdict.MAY_HAVE_RUN
    if status in NOT_RUN_STATUSES:
        run = verdict.Verdict.NOT_RUN
    return errors.AttemptError(
        f"the engine answered {status}", run, leaving=status in BUSY_STATUSES
    )


def _corrupt(message: str) -> errors.AttemptError:
    return errors.AttemptError(message, verdict.Verdict.MAY_HAVE_RUN)
