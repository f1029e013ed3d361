"""Stand-in of a model engine over HTTP; see docs/endpoints.md.

The last message may steer it: `tokens=N` sets the length of the answer,
`crash` makes the process drop every connection, `truncate` ends the answer
without its end marker, `hang` accepts and never answers.
"""

import collections
import re

import gevent
import msgspec

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import wsgi
from hornbeampier.endpoints import batch
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import standin_models

DEFAULT_TOKENS = 20
TOKENS_PATTERN = re.compile(r"tokens=(\d+)")
SSE_HEADERS = [("Content-Type", "text/event-stream")]


class EngineControl(msgspec.Struct):
    """Faults that a test switches on.

    Attributes:
        leaving: Refuse new work with 503.
        frozen: Accept and compute nothing.
        drop_after: Drop each connection after so many events; 0 is never.
    """

    leaving: bool = False
    frozen: bool = False
    drop_after: int = 0


class EngineRun(msgspec.Struct):
    """The engine's own record of one execution."""

    request_id: str
    priority: int
    start: int = 0
    tokens: int = 0
    finished: bool = False


class _Message(msgspec.Struct, frozen=True):
    role: str = ""
    content: str = ""


class _Body(msgspec.Struct, frozen=True):
    model: str = ""
    messages: tuple[_Message, ...] = ()
    max_tokens: int | None = None


class EngineApp:
    """The WSGI application of a stand-in engine."""

    def __init__(self, name: str, model: batch.EngineModel, clk: clock.Clock):
        self._name = name
        self._clock = clk
        self._batch = batch.Batch(model, clk)
        self._reports: collections.deque = collections.deque(maxlen=4_096)
        self._streams: set[gevent.Greenlet] = set()
        self.control = EngineControl()
        self.memory = standin_models.ModelMemory(clk)
        self.runs: list[EngineRun] = []

    def run_batch(self) -> None:
        """Executes the engine's steps until killed."""
        self._batch.run()

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/v1/chat/completions":
            return self._chat(environ, start_response)
        if path == "/load":
            return wsgi.json_answer(start_response, 200, self._report())
        if path == "/models":
            return self.memory.serve(environ, start_response)
        if path == "/models/faults":
            return self.memory.set_faults(environ, start_response)
        if path == "/runs":
            return wsgi.json_answer(start_response, 200, self.runs)
        if path == "/control":
            body = wsgi.read_body(environ)
            self.control = msgspec.json.decode(body, type=EngineControl)
            self._batch.frozen = self.control.frozen
            return wsgi.json_answer(start_response, 200, {})
        return wsgi.json_answer(start_response, 404, {})

    def _report(self) -> messages.LoadReport:
        now = self._clock.now()
        current = messages.LoadReport(
            self._batch.running,
            self._batch.waiting,
            self._batch.model.slots,
            self.control.leaving,
            self.memory.held,
        )
        self._reports.append((now, current))
        limit = now - self._batch.model.report_lag_ms
        old = [report for at_ms, report in self._reports if at_ms <= limit]
        return old[-1] if old else self._reports[0][1]

    def _chat(self, environ, start_response):
        raw = wsgi.read_body(environ)
        try:
            body = msgspec.json.decode(raw, type=_Body)
        except msgspec.MsgspecError:
            return wsgi.json_answer(start_response, 400, {})
        held = self.memory.held
        missing = held is not None and body.model not in held
        if self.control.leaving or missing:
            return wsgi.json_answer(start_response, 503, {})
        prompt = "\n".join(m.content for m in body.messages)
        order = body.messages[-1].content if body.messages else ""
        run = EngineRun(
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            priority=int(environ.get("HTTP_X_PRIORITY", "1")),
            start=int(environ.get("HTTP_X_RESUME_TOKENS", "0")),
        )
        if "crash" in order.split():
            self.runs.append(run)
            self._crash()
        sequence = self._batch.submit(
            run.request_id,
            prompt,
            _answer_length(order, body.max_tokens),
            run.priority,
            run.start,
        )
        if sequence is None:
            return wsgi.json_answer(start_response, 429, {})
        self.runs.append(run)
        return self._stream(sequence, run, order, start_response)

    def _stream(self, sequence, run, order, start_response):
        streams = self._streams
        own = gevent.getcurrent()
        streams.add(own)
        try:
            start_response("200 OK", SSE_HEADERS)
            while (text := sequence.output.get()) is not None:
                run.tokens += 1
                if "truncate" in order.split() and run.tokens > 3:
                    return
                last = run.start + run.tokens >= sequence.length
                yield _event(run.request_id, text, last)
                self._drop_if_told(run)
            run.finished = True
            yield messages.DONE_LINE + b"\n\n"
        finally:
            streams.discard(own)
            self._batch.cancel(sequence)

    def _drop_if_told(self, run: EngineRun) -> None:
        limit = self.control.drop_after
        if limit and run.tokens >= limit:
            raise ConnectionAbortedError("dropped on purpose")

    def _crash(self) -> None:
        """Drops all connections, as the end of the process would."""
        for stream in list(self._streams):
            stream.kill(block=False)
        raise ConnectionAbortedError("crashed on purpose")


class EngineStandin(application.BaseComponent):
    """A stand-in engine with its server."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        model: batch.EngineModel,
        clk: clock.Clock,
    ):
        self.app = EngineApp(name, model, clk)
        self.server = wsgi.HttpServer(host, port, self.app)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the engine's steps and its listener."""
        self._task = gevent.spawn(self.app.run_batch)
        self.server.start()

    def stop(self) -> None:
        """Stops the listener and the engine's steps."""
        self.server.stop()
        if self._task:
            self._task.kill()


def _answer_length(order: str, max_tokens: int | None) -> int:
    match = TOKENS_PATTERN.search(order)
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
