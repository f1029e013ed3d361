"""Measures the latency and the log appends that a claim adds to a request.

Run it as `python -m bench.claims`. Closed-loop callers send non-idempotent
requests to three VMs, first without an idempotency key, then with one.
"""

# Patches the standard library before any other module imports it.
from hornbeampier import patched  # isort: skip

import dataclasses
import itertools
import json
import statistics
import sys
import time
import tracemalloc
from typing import Annotated

import gevent
import msgspec
import typer

from hornbeampier.coordination import claim_index
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import records
from tests import calls
from tests import processes

VMS = 3
SERVICES = 2
SLOTS = 128
FEE_PATH = "/services/entry/fees/1"
MS_PER_SECOND = 1_000.0
INDEX_KEYS = 20_000
STREAM_PATH = f"/streams/{claim_records.STREAM}/records?from=0&limit=1000000"


@dataclasses.dataclass(frozen=True)
class Figures:
    """The results of one run."""

    keyed: bool
    callers: int
    requests: int
    failed: int
    rate_per_s: float
    median_ms: float
    p95_ms: float
    appends: int
    entries: int

    def row(self) -> str:
        """Returns one line of the table."""
        return (
            f"{'key' if self.keyed else 'no key':7} {self.callers:7} "
            f"{self.requests:8} {self.failed:6} {self.rate_per_s:8.0f} "
            f"{self.median_ms:9.1f} {self.p95_ms:7.1f} {self.appends:7} "
            f"{self.entries / max(1, self.appends):14.1f}"
        )


class Run:
    """One run of closed-loop callers, each with one request at a time."""

    def __init__(self, deployment, keyed: bool, callers: int, requests: int):
        self._deployment = deployment
        self._keyed = keyed
        self._callers = callers
        self._requests = requests
        self._request_numbers = iter(range(requests))
        self._latencies_ms: list[float] = []
        self._failed = 0

    def measure(self) -> Figures:
        """Sends all requests and returns the results."""
        old_records = self._read_stream()
        started_s = time.perf_counter()
        tasks = [gevent.spawn(self._call) for _ in range(self._callers)]
        gevent.joinall(tasks, raise_error=True)
        elapsed_s = time.perf_counter() - started_s
        gevent.sleep(0.5)
        new_records = self._read_stream()[len(old_records) :]
        return Figures(
            self._keyed,
            self._callers,
            self._requests,
            self._failed,
            self._requests / elapsed_s,
            statistics.median(self._latencies_ms),
            statistics.quantiles(self._latencies_ms, n=20)[-1],
            len(new_records),
            sum(len(claim_records.decode(r).entries) for r in new_records),
        )

    def _call(self) -> None:
        for number in self._request_numbers:
            vm = self._deployment.vms[number % VMS]
            headers = []
            if self._keyed:
                key = f"{self._callers}-{number}"
                headers = [("Idempotency-Key", key)]
            started_s = time.perf_counter()
            response = vm.call("PUT", FEE_PATH, b"fee", headers=headers)
            elapsed_s = time.perf_counter() - started_s
            self._latencies_ms.append(elapsed_s * MS_PER_SECOND)
            self._failed += response.status != 200

    def _read_stream(self) -> list[str]:
        port = self._deployment.platform.port
        response = calls.call(port, "GET", STREAM_PATH)
        return [row["data"] for row in json.loads(response.body)["records"]]


def measure_index() -> tuple[float, float]:
    """Returns memory in bytes and processor time in us per indexed key."""
    rows = []
    for number in range(INDEX_KEYS):
        key, claim_id = f"{number:032x}", f"claim-{number:024x}"
        entries = (
            claim_records.Claim(key, claim_id, key, 0),
            claim_records.Outcome(key, claim_id, "ran"),
        )
        batch = claim_records.ClaimBatch("vm-1", entries)
        data = msgspec.json.encode(batch).decode()
        rows.append(records.LogRecord(number, 0, data))
    started_s = time.process_time()
    for row in rows:
        claim_index.ClaimIndex().apply(row)
    elapsed_s = time.process_time() - started_s
    tracemalloc.start()
    index = claim_index.ClaimIndex()
    for row in rows:
        index.apply(row)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory_bytes / index.size, elapsed_s * 1e6 / INDEX_KEYS


def main(
    callers: Annotated[
        str, typer.Option(help="Numbers of callers, separated by commas.")
    ] = ("1,16,64"),
    requests: Annotated[int, typer.Option(help="Requests per run.")] = 1_000,
) -> None:
    """Prints the cost of requests without and with an idempotency key."""
    memory_bytes, apply_us = measure_index()
    print(
        f"index: {memory_bytes:.0f} bytes a key, "
        f"{apply_us:.0f} us to apply a key"
    )
    print(
        "request callers requests failed  rate/s median ms  p95 ms "
        "appends entries/append"
    )
    with processes.Deployment(
        vms=VMS, engines=0, services=SERVICES, slots=SLOTS
    ) as deployment:
        for vm in deployment.vms:
            processes.wait_until(
                lambda vm=vm: vm.call("PUT", FEE_PATH, b"warm").status == 200
            )
        gevent.sleep(1)
        counts = [int(count_text) for count_text in callers.split(",")]
        for count, keyed in itertools.product(counts, (False, True)):
            run = Run(deployment, keyed, count, requests)
            print(run.measure().row(), flush=True)


if __name__ == "__main__":
    del patched
    sys.exit(typer.run(main))
