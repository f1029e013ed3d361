"""Measures the router's overhead: first-token latency and processor time.

Calls one stand-in engine alternately directly and through one `serve` process,
both in the same run. Run it with `python -m bench.overhead`.
"""

# Patches the standard library before any other module imports it.
from hornbeampier import patched  # isort: skip

import dataclasses
import json
import statistics
import time
from typing import Annotated

import gevent
from gevent import pool
import psutil
import typer

from hornbeampier import http_client
from tests import processes

CHAT_PATH = "/v1/chat/completions"
TIMEOUT_MS = 60_000.0
ENGINE_SLOTS = 32
ENGINE_SLOWDOWN = 0.2
CALLERS = 16
LATENCY_PAIRS = 100
# Pairs of tokens per response and number of requests.
LOADS = ((1, 640), (64, 96), (256, 32))
IDLE_S = 2.0
US_PER_S = 1_000_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class Repetition:
    """The figures of one repetition.

    Attributes:
        direct_ms: First-token latencies of calls to the engine.
        routed_ms: First-token latencies of calls through the router.
        request_us: Router's processor time per request.
        chunk_us: Router's processor time per streamed chunk.
        idle_core: Fraction of a core that the idle router used.
    """

    direct_ms: list[float]
    routed_ms: list[float]
    request_us: float
    chunk_us: float
    idle_core: float


class FastDeployment(processes.Deployment):
    """One VM in front of one engine that is faster than the router."""

    def __init__(self):
        super().__init__(vms=1, engines=0, slots=ENGINE_SLOTS)

    def _start_extra_standins(self):
        engine = processes.Standin(
            "engine",
            "--name",
            "engine-1",
            "--slots",
            ENGINE_SLOTS,
            "--slowdown",
            ENGINE_SLOWDOWN,
        )
        self.engines.append(self._add(engine))


class Caller:
    """Sends streamed requests to one port over keep-alive connections."""

    def __init__(self, port: int):
        self._client = http_client.HttpClient(processes.HOST, port, TIMEOUT_MS)

    def stream(self, tokens: int) -> float:
        """Reads a complete response; returns its first-token latency in ms."""
        body = {
            "model": "notes",
            "stream": True,
            "messages": [{"role": "user", "content": f"tokens={tokens}"}],
        }
        headers = (("Authorization", "Bearer key-1"), ("X-Request-Id", "r"))
        req = http_client.OutgoingRequest(
            "POST", CHAT_PATH, headers, json.dumps(body).encode()
        )
        started_s = time.perf_counter()
        response = self._client.send(req)
        events = (
            line for line in response.lines() if line.startswith(b"data: ")
        )
        next(events)
        first_ms = (time.perf_counter() - started_s) * MS_PER_S
        count = sum(1 for _ in events)
        response.close()
        if response.status != 200 or count != tokens:
            raise RuntimeError(
                f"status {response.status}: got {count} of {tokens} tokens"
            )
        return first_ms


def measure(deployment: FastDeployment) -> Repetition:
    """Runs one repetition and returns its figures."""
    vm = deployment.vms[0]
    direct = Caller(deployment.engines[0].port)
    routed = Caller(vm.port)
    latencies = ([], [])
    for _ in range(LATENCY_PAIRS):
        latencies[0].append(direct.stream(1))
        latencies[1].append(routed.stream(1))
    router = psutil.Process(vm.process.pid)
    cpu_before_s = _cpu_s(router)
    gevent.sleep(IDLE_S)
    idle_core = (_cpu_s(router) - cpu_before_s) / IDLE_S
    costs = [
        (tokens, _request_cost_s(router, routed, tokens, count, idle_core))
        for tokens, count in LOADS
    ]
    slope, intercept = statistics.linear_regression(*zip(*costs, strict=True))
    return Repetition(
        *latencies, intercept * US_PER_S, slope * US_PER_S, idle_core
    )


def _request_cost_s(
    router: psutil.Process,
    caller: Caller,
    tokens: int,
    count: int,
    idle_core: float,
) -> float:
    """Returns the processor time per request, less that of an idle router."""
    callers = pool.Pool(CALLERS)
    started_s, cpu_before_s = time.perf_counter(), _cpu_s(router)
    for _ in callers.imap_unordered(caller.stream, [tokens] * count):
        pass
    wall_s = time.perf_counter() - started_s
    return (_cpu_s(router) - cpu_before_s - wall_s * idle_core) / count


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100)[percent - 1]


def _print_median(name: str, values: list[float], unit: str) -> None:
    median = statistics.median(values)
    print(
        f"{name:<42} {median:8.2f} {unit}"
        f"  ({min(values):.2f} to {max(values):.2f})"
    )


def main(
    repetitions: Annotated[int, typer.Option(help="Repetitions.")] = 5,
) -> None:
    """Prints the median and the spread over the repetitions."""
    with FastDeployment() as deployment:
        # Warm-up: the first repetition is not counted.
        measure(deployment)
        rows = [measure(deployment) for _ in range(repetitions)]
    for percent in (50, 95):
        direct = [_percentile(r.direct_ms, percent) for r in rows]
        routed = [_percentile(r.routed_ms, percent) for r in rows]
        added = [b - a for a, b in zip(direct, routed, strict=True)]
        _print_median(f"first token, direct, p{percent}", direct, "ms")
        _print_median(f"first token, routed, p{percent}", routed, "ms")
        _print_median(f"first token, added, p{percent}", added, "ms")
    _print_median(
        "processor time per request", [r.request_us for r in rows], "us"
    )
    _print_median("processor time per chunk", [r.chunk_us for r in rows], "us")
    _print_median("idle", [r.idle_core * 100 for r in rows], "% of a core")


if __name__ == "__main__":
    del patched
    typer.run(main)
