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
MAX_RETRIES = 2
LAG_PROBE_INTERVAL_MS = 20.0


@dataclasses.dataclass
class Outcome:
    """The result of one request; times are in ms since its planned arrival.

    Attributes:
        late_ms: Delay of the generator in sending the request.
        code: The refusal's code, `connection_lost` or `cut_off`; empty if the
            response is complete.
        inter_token_delays_ms: Times between the tokens of a streamed response.
        retries: Number of retries after a refusal.
    """

    planned: load.PlannedRequest
    late_ms: float = 0.0
    status: int = 0
    code: str = ""
    verdict: str = ""
    first_ms: float | None = None
    end_ms: float = 0.0
    inter_token_delays_ms: list[float] = dataclasses.field(default_factory=list)
    text: str = ""
    complete: bool = False
    retry_after_s: int | None = None
    retries: int = 0


class Balancer:
    """Spreads requests round-robin over the VMs' ports for callers."""

    def __init__(self, ports: list[int]):
        self._ports = list(ports)
        self._next_index = 0

    def choose(self) -> int:
        """Returns the port of the next VM."""
        self._next_index += 1
        return self._ports[self._next_index % len(self._ports)]

    def add(self, port: int) -> None:
        """Adds the port of a new VM."""
        self._ports.append(port)

    def remove(self, port: int) -> None:
        """Removes the port of a VM."""
        self._ports.remove(port)


class LoadGenerator:
    """Open-loop generator: sends each request at its planned time.

    Neither slow responses nor refusals delay the requests that follow.
    """

    def __init__(
        self, balancer: Balancer, clk: clocks.Clock, retries_refused: bool
    ):
        self._balancer = balancer
        self._clock = clk
        self._retries_refused = retries_refused
        self.start_ms = 0.0
        self.loop_lags_ms: list[float] = []

    def run(self, plan: list[load.PlannedRequest]) -> list[Outcome]:
        """Sends all requests and returns their outcomes."""
        lag_probe = gevent.spawn(self._measure_lag)
        self.start_ms = self._clock.now()
        tasks = []
        for planned in plan:
            self._clock.sleep(planned.at_ms - self._elapsed_ms())
            tasks.append(gevent.spawn(self._call, planned))
        gevent.joinall(tasks)
        lag_probe.kill()
        return [task.value for task in tasks]

    def _elapsed_ms(self) -> float:
        return self._clock.now() - self.start_ms

    def _measure_lag(self) -> None:
        """Records the lag of this process's own event loop."""
        while True:
            before_ms = self._clock.now()
            self._clock.sleep(LAG_PROBE_INTERVAL_MS)
            lag_ms = self._clock.now() - before_ms - LAG_PROBE_INTERVAL_MS
            self.loop_lags_ms.append(lag_ms)

    def _call(self, planned: load.PlannedRequest) -> Outcome:
        outcome = Outcome(planned, late_ms=self._elapsed_ms() - planned.at_ms)
        while True:
            self._attempt(outcome)
            if not self._may_retry(outcome):
                return outcome
            outcome.retries += 1
            self._clock.sleep(outcome.retry_after_s * clocks.MS_PER_SECOND)

    def _may_retry(self, outcome: Outcome) -> bool:
        return (
            self._retries_refused
            and outcome.verdict == "not_run"
            and outcome.retry_after_s is not None
            and outcome.retries < MAX_RETRIES
        )

    def _attempt(self, outcome: Outcome) -> None:
        outcome.code = outcome.verdict = ""
        client = http_client.HttpClient(
            processes.HOST, self._balancer.choose(), READ_TIMEOUT_MS
        )
        try:
            response = client.send(_encode(outcome.planned))
            try:
                self._read(outcome, response)
            finally:
                response.close()
        except errors.AttemptError as exc:
            outcome.code = "connection_lost"
            outcome.verdict = exc.verdict.value
        outcome.end_ms = self._since_planned_ms(outcome)

    def _since_planned_ms(self, outcome: Outcome) -> float:
        return self._elapsed_ms() - outcome.planned.at_ms

    def _read(
        self, outcome: Outcome, response: http_client.HttpResponse
    ) -> None:
        outcome.status = response.status
        if response.status != 200:
            _record_error(
                outcome, response.header("Retry-After"), response.read()
            )
        elif outcome.planned.is_service:
            response.read()
            outcome.complete = True
        elif outcome.planned.stream:
            self._read_stream(outcome, response)
        else:
            body = json.loads(response.read())
            outcome.text = body["choices"][0]["message"]["content"]
            outcome.complete = True

    def _read_stream(
        self, outcome: Outcome, response: http_client.HttpResponse
    ) -> None:
        texts = []
        last_ms = 0.0
        for line in response.lines():
            if line.startswith(b"event: error"):
                continue
            if not line.startswith(messages.DATA_PREFIX):
                continue
            if line.rstrip() == messages.DONE_LINE:
                outcome.complete = not outcome.code
                break
            payload = line[len(messages.DATA_PREFIX) :]
            chunk = msgspec.json.decode(payload, type=messages.Chunk)
            if not chunk.choices:
                _record_error(outcome, None, payload)
                continue
            now_ms = self._since_planned_ms(outcome)
            if outcome.first_ms is None:
                outcome.first_ms = now_ms
            else:
                outcome.inter_token_delays_ms.append(now_ms - last_ms)
            last_ms = now_ms
            texts.append(chunk.choices[0].delta.content)
        outcome.text = "".join(texts)
        if not outcome.complete and not outcome.code:
            outcome.code = "cut_off"


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


def _record_error(
    outcome: Outcome, retry_after: str | None, body: bytes
) -> None:
    detail = json.loads(body)["error"]
    outcome.code = detail["code"]
    outcome.verdict = detail["verdict"]
    if retry_after is not None:
        outcome.retry_after_s = int(retry_after)
