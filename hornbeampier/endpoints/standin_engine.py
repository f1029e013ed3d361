"""Stand-in for a model engine over HTTP; see docs/endpoints.md.

Words in the last message control it: `tokens=N` sets the response's length,
`crash` drops every connection for a while, `truncate` ends the response without
its end marker, `hang` accepts the request and never responds.
"""

import collections
import enum
import re

import gevent
import msgspec

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import wsgi
from hornbeampier.endpoints import continuous_batch
from hornbeampier.endpoints import messages

DEFAULT_TOKENS = 20
# An `EngineRun` keeps this many characters of its prompt.
PROMPT_CHARS = 100
TOKENS_PATTERN = re.compile(r"tokens=(\d+)")
CANCEL_PATH = re.compile(r"^/cancel/([^/]+)/(\d+)$")
SSE_HEADERS = [("Content-Type", "text/event-stream")]
# How long the engine drops connections after a crash.
RESTART_MS = 500.0
CANCEL_POLL_S = 0.02
MAX_CANCELS = 1_024


class StreamFault(enum.StrEnum):
    """Faults in the middle of a stream.

    Attributes:
        DROP: Closes the connection.
        TRUNCATE: Ends the body without the end marker.
        STALL: Sends nothing until the request is cancelled.
        CORRUPT: Sends an event that is not valid JSON.
        CROSS: Sends an event of another request.
    """

    DROP = "drop"
    TRUNCATE = "truncate"
    STALL = "stall"
    CORRUPT = "corrupt"
    CROSS = "cross"


class EngineControl(msgspec.Struct):
    """Faults that a test switches on.

    Attributes:
        leaving: Decline new requests with 503.
        frozen: Accept requests and compute nothing.
        drop_after: Drop each connection after this many events; 0 for never.
        fault: The fault of the next streams, or None.
        fault_after: Number of events of a stream before its fault.
        fault_count: How many streams have the fault.
        no_resume: Ignore the text and tokens to resume from.
        software_version: Version that the engine names; empty for none.
    """

    leaving: bool = False
    frozen: bool = False
    drop_after: int = 0
    fault: StreamFault | None = None
    fault_after: int = 0
    fault_count: int = 0
    no_resume: bool = False
    software_version: str = ""


class EngineRun(msgspec.Struct):
    """The engine's own record of one execution.

    Attributes:
        start: Number of tokens computed by earlier attempts.
        resume_text: The text of these tokens, as the router sent it.
        tokens: Number of tokens sent by this execution.
        software_version: Version that the engine named.
    """

    request_id: str
    priority: int
    prompt: str = ""
    start: int = 0
    resume_text: str = ""
    tokens: int = 0
    software_version: str = ""
    finished: bool = False
    cancelled: bool = False


class _Message(msgspec.Struct, frozen=True):
    role: str = ""
    content: str = ""


class _Body(msgspec.Struct, frozen=True):
    model: str = ""
    messages: tuple[_Message, ...] = ()
    max_tokens: int | None = None
    resume_text: str = ""


class EngineApp:
    """The WSGI application of a stand-in engine."""

    def __init__(
        self,
        name: str,
        profile: continuous_batch.EngineProfile,
        clk: clock.Clock,
    ):
        self.name = name
        self._clock = clk
        self._batch = continuous_batch.ContinuousBatch(profile, clk)
        self._reports: collections.deque = collections.deque(maxlen=4_096)
        self._streams: set[gevent.Greenlet] = set()
        self._sequences: dict[tuple[str, str], continuous_batch.Sequence] = {}
        self._cancelled_keys: collections.deque = collections.deque(
            maxlen=MAX_CANCELS
        )
        self._boots = 1
        self._down_until_ms = 0.0
        self.control = EngineControl()
        self.runs: list[EngineRun] = []

    def run_batch(self) -> None:
        """Runs the engine's decoding steps until killed."""
        self._batch.run()

    def held_requests(self) -> int:
        """Returns 0 if no request runs or waits, else at least their number."""
        held = max(self._batch.running, len(self._sequences))
        return held + self._batch.waiting

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if self._clock.now() < self._down_until_ms:
            raise wsgi.DropConnectionError(
                "connection dropped to simulate a fault"
            )
        if match := CANCEL_PATH.match(path):
            self._cancel(match[1], match[2])
            return wsgi.json_response(start_response, 200, {})
        if path == "/v1/chat/completions":
            return self._chat(environ, start_response)
        if path == "/load":
            return wsgi.json_response(start_response, 200, self._report())
        if path == "/runs":
            return wsgi.json_response(start_response, 200, self.runs)
        if path == "/control":
            body = wsgi.read_body(environ)
            self.control = msgspec.json.decode(body, type=EngineControl)
            self._batch.frozen = self.control.frozen
            return wsgi.json_response(start_response, 200, {})
        return wsgi.json_response(start_response, 404, {})

    def _report(self) -> messages.LoadReport:
        now = self._clock.now()
        current = messages.LoadReport(
            self._batch.running,
            self._batch.waiting,
            self._batch.profile.slots,
            self.control.leaving,
            f"{self.name}:{self._boots}",
            self.control.software_version,
        )
        self._reports.append((now, current))
        max_at_ms = now - self._batch.profile.report_lag_ms
        lagging = [
            report for at_ms, report in self._reports if at_ms <= max_at_ms
        ]
        return lagging[-1] if lagging else self._reports[0][1]

    def _chat(self, environ, start_response):
        raw = wsgi.read_body(environ)
        try:
            body = msgspec.json.decode(raw, type=_Body)
        except msgspec.MsgspecError:
            return wsgi.json_response(start_response, 400, {})
        if self.control.leaving:
            return wsgi.json_response(start_response, 503, {})
        instruction = body.messages[-1].content if body.messages else ""
        run = self._new_run(environ, body)
        if "crash" in instruction.split():
            self.runs.append(run)
            self._crash()
        key = (run.request_id, environ.get("HTTP_X_ATTEMPT", "1"))
        if key in self._cancelled_keys:
            return wsgi.json_response(start_response, 499, {})
        sequence = self._batch.submit(
            run.request_id,
            _prompt(body),
            _response_length(instruction, body.max_tokens),
            run.priority,
            run.start,
        )
        if sequence is None:
            return wsgi.json_response(start_response, 429, {})
        self.runs.append(run)
        self._sequences[key] = sequence
        return self._stream(key, run, instruction, start_response)

    def _new_run(self, environ, body: _Body) -> EngineRun:
        run = EngineRun(
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            priority=int(environ.get("HTTP_X_PRIORITY", "1")),
            prompt=_prompt(body)[:PROMPT_CHARS],
            software_version=self.control.software_version,
        )
        if not self.control.no_resume:
            run.start = int(environ.get("HTTP_X_RESUME_TOKENS", "0"))
            run.resume_text = body.resume_text
        return run

    def _stream(self, key, run, instruction, start_response):
        streams = self._streams
        greenlet = gevent.getcurrent()
        streams.add(greenlet)
        sequence = self._sequences[key]
        words = instruction.split()
        try:
            if "hang" in words:
                _wait_cancelled(sequence)
            start_response("200 OK", _headers(run))
            while (text := sequence.output.get()) is not None:
                run.tokens += 1
                if "truncate" in words and run.tokens > 3:
                    return
                last = run.start + run.tokens >= sequence.length
                yield from self._send(run, sequence, text, last)
                self._drop_if_due(run)
            run.cancelled = sequence.cancelled
            if not run.cancelled:
                run.finished = True
                yield messages.DONE_LINE + b"\n\n"
        except _EndOfStreamError:
            return
        finally:
            streams.discard(greenlet)
            self._sequences.pop(key, None)
            self._batch.cancel(sequence)

    def _send(self, run, sequence, text: str, last: bool):
        """Yields an event, or causes the fault that is switched on."""
        control = self.control
        if control.fault_count <= 0 or run.tokens <= control.fault_after:
            yield _event(run.request_id, text, last)
            return
        control.fault_count -= 1
        if control.fault is StreamFault.DROP:
            raise wsgi.DropConnectionError(
                "connection dropped to simulate a fault"
            )
        if control.fault is StreamFault.TRUNCATE:
            raise _EndOfStreamError
        if control.fault is StreamFault.STALL:
            _wait_cancelled(sequence)
        if control.fault is StreamFault.CORRUPT:
            yield messages.DATA_PREFIX + b'{"id": \xff\n\n'
        if control.fault is StreamFault.CROSS:
            yield _event("req-of-another-caller", "secret ", last)

    def _cancel(self, request_id: str, attempt: str) -> None:
        """Cancels an attempt, even if it has not arrived yet."""
        key = (request_id, attempt)
        self._cancelled_keys.append(key)
        sequence = self._sequences.get(key)
        if sequence is not None:
            self._batch.cancel(sequence)

    def _drop_if_due(self, run: EngineRun) -> None:
        limit = self.control.drop_after
        if limit and run.tokens >= limit:
            raise wsgi.DropConnectionError(
                "connection dropped to simulate a fault"
            )

    def _crash(self) -> None:
        """Drops all connections like a process that crashes and restarts."""
        self._boots += 1
        self._down_until_ms = self._clock.now() + RESTART_MS
        for stream in list(self._streams):
            stream.kill(
                wsgi.DropConnectionError(
                    "connection dropped to simulate a fault"
                ),
                block=False,
            )
        raise wsgi.DropConnectionError("connection dropped to simulate a fault")


class _EndOfStreamError(Exception):
    """The stream ends here without its end marker."""


class EngineStandin(application.BaseComponent):
    """A stand-in engine with its server."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        profile: continuous_batch.EngineProfile,
        clk: clock.Clock,
    ):
        self.app = EngineApp(name, profile, clk)
        self.server = wsgi.HttpServer(host, port, self.app)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the decoding steps and the listener."""
        self._task = gevent.spawn(self.app.run_batch)
        self.server.start()

    def stop(self) -> None:
        """Stops the listener and the decoding steps."""
        self.server.stop()
        if self._task:
            self._task.kill()


def _wait_cancelled(sequence: continuous_batch.Sequence) -> None:
    while not sequence.cancelled:
        gevent.sleep(CANCEL_POLL_S)
    raise wsgi.DropConnectionError("connection dropped to simulate a fault")


def _headers(run: EngineRun) -> list[tuple[str, str]]:
    headers = list(SSE_HEADERS)
    if run.start:
        headers.append(("X-Resume-Tokens", str(run.start)))
    if run.software_version:
        headers.append(("X-Software-Version", run.software_version))
    return headers


def _prompt(body: _Body) -> str:
    return "\n".join(m.content for m in body.messages)


def _response_length(instruction: str, max_tokens: int | None) -> int:
    match = TOKENS_PATTERN.search(instruction)
    length = int(match[1]) if match else DEFAULT_TOKENS
    if max_tokens is not None:
        length = min(length, max_tokens)
    return max(1, length)


def _event(request_id: str, text: str, last: bool) -> bytes:
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    return messages.DATA_PREFIX + msgspec.json.encode(chunk) + b"\n\n"
