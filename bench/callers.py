"""Load generator: one greenlet for each planned request."""

import dataclasses
import json

import gevent
import msgspec

from bench import load
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.endpoints import messages
from tests import processes

READ_TIMEOUT_MS = 60_000.0
MAX_RETURNS = 2
HEARTBEAT_MS = 20.0


@dataclasses.dataclass
class Outcome:
    """The result of one request; times are in ms since its planned arrival.

    Attributes:
        late_ms: Delay of the generator in sending the request.
        code: The refusal's code or the kind of failure; empty if complete.
        gaps_ms: Times between the tokens of a streamed response.
        returns: Number of retries after a refusal.
    """

    planned: load.PlannedRequest
    late_ms: float = 0.0
    status: int = 0
    code: str = ""
    verdict: str = ""
    first_ms: float | None = None
    end_ms: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    text: str = ""
    whole: bool = False
    retry_after_s: int | None = None
    returns: int = 0


class Balancer:
    """Spreads requests round-robin over the VMs' ports for callers."""

    def __init__(self, ports: list[int]):
        self._ports = list(ports)
        self._next = 0

    def choose(self) -> int:
        """Returns the port of the next VM."""
        self._next += 1
        return self._ports[self._next % len(self._ports)]

    def add(self, port: int) -> None:
        """Adds the port of a new VM."""
        self._ports.append(port)

    def remove(self, port: int) -> None:
        """Removes the port of a VM."""
        self._ports.remove(port)


class Callers:
    """Open-loop generator: sends each request at its planned time."""

    def __init__(self, balancer: Balancer, clk: clocks.Clock, comes_back: bool):
        self._balancer = balancer
        self._clock = clk
        self._comes_back = comes_back
        self.start_ms = 0.0
        self.loop_lags_ms: list[float] = []

    def run(self, plan: list[load.PlannedRequest]) -> list[Outcome]:
        """Sends all requests and returns their outcomes."""
        heartbeat = gevent.spawn(self._measure_lag)
        self.start_ms = self._clock.now()
        tasks = []
        for planned in plan:
            self._clock.sleep(planned.at_ms - self._elapsed_ms())
            tasks.append(gevent.spawn(self._call, planned))
        gevent.joinall(tasks)
        heartbeat.kill()
        return [task.value for task in tasks]

    def _elapsed_ms(self) -> float:
        return self._clock.now() - self.start_ms

    def _measure_lag(self) -> None:
        """Records the lag of this process's own event loop."""
        while True:
            before_ms = self._clock.now()
            self._clock.sleep(HEARTBEAT_MS)
            lag_ms = self._clock.now() - before_ms - HEARTBEAT_MS
            self.loop_lags_ms.append(lag_ms)

    def _call(self, planned: load.PlannedRequest) -> Outcome:
        out = Outcome(planned, late_ms=self._elapsed_ms() - planned.at_ms)
        while True:
            self._attempt(out)
            if not self._may_return(out):
                return out
            out.returns += 1
            self._clock.sleep(out.retry_after_s * clocks.MS_PER_SECOND)

    def _may_return(self, out: Outcome) -> bool:
        return (
            self._comes_back
            and out.verdict == "not_run"
            and out.retry_after_s is not None
            and out.returns < MAX_RETURNS
        )

    def _attempt(self, out: Outcome) -> None:
        out.code = out.verdict = ""
        peer = http_client.HttpClient(
            processes.HOST, self._balancer.choose(), READ_TIMEOUT_MS
        )
        try:
            reply = peer.send(_encode(out.planned))
            try:
                self._read(out, reply)
            finally:
                reply.close()
        except errors.AttemptError as exc:
            out.code = "connection_lost"
            out.verdict = exc.verdict.value
        out.end_ms = self._since_planned(out)

    def _since_planned(self, out: Outcome) -> float:
        return self._elapsed_ms() - out.planned.at_ms

    def _read(self, out: Outcome, reply: http_client.HttpResponse) -> None:
        out.status = reply.status
        if reply.status != 200:
            _record_refusal(out, reply.header("Retry-After"), reply.read())
        elif out.planned.is_service:
            reply.read()
            out.whole = True
        elif out.planned.stream:
            self._read_stream(out, reply)
        else:
            body = json.loads(reply.read())
            out.text = body["choices"][0]["message"]["content"]
            out.whole = True

    def _read_stream(
        self, out: Outcome, reply: http_client.HttpResponse
    ) -> None:
        texts = []
        last_ms = 0.0
        for line in reply.lines():
            if line.startswith(b"event: error"):
                continue
            if not line.startswith(messages.DATA_PREFIX):
                continue
            if line.rstrip() == messages.DONE_LINE:
                out.whole = not out.code
                break
            payload = line[len(messages.DATA_PREFIX) :]
            chunk = msgspec.json.decode(payload, type=messages.Chunk)
            if not chunk.choices:
                _record_refusal(out, None, payload)
                continue
            now_ms = self._since_planned(out)
            if out.first_ms is None:
                out.first_ms = now_ms
            else:
                out.gaps_ms.append(now_ms - last_ms)
            last_ms = now_ms
            texts.append(chunk.choices[0].delta.content)
        out.text = "".join(texts)
        if not out.whole and not out.code:
            out.code = "cut_off"


def _encode(planned: load.PlannedRequest) -> http_client.OutgoingRequest:
    headers = (
        ("Authorization", f"Bearer {planned.account.key}"),
        ("X-Request-Class", planned.class_name),
    )
    if planned.is_service:
        path = f"/services/{planned.target}/lists"
        return http_client.OutgoingRequest("GET", path, headers, b"", True)
    return http_client.OutgoingRequest(
        "POST", "/v1/chat/completions", headers, planned.body(), True
    )


def _record_refusal(out: Outcome, retry_after: str | None, body: bytes) -> None:
    detail = json.loads(body)["error"]
    out.code = detail["code"]
    out.verdict = detail["verdict"]
    if retry_after is not None:
        out.retry_after_s = int(retry_after)
