"""Measures the cost of idle VMs and the time to publish a configuration."""

from collections.abc import Callable
import pathlib
import statistics
import subprocess
import sys
import time

import gevent
import psutil

from tests import processes

ENDPOINTS = (1, 40, 160, 324)
VMS = (1, 3, 9, 18)
PUBLISHES = 3
SETTLE_S = 2.5
MEASUREMENT_S = 4.0
BYTES_PER_MB = 1_000_000
MS_PER_S = 1_000
IMPORTS = (
    "pass",
    "import gevent.pywsgi, geventhttpclient, msgspec",
    "import grpc",
    "import pydantic",
    "import typer",
    "from hornbeampier import patched",
)
REPORT_RSS = (
    "import re; print(re.search(r'VmRSS:\\s+(\\d+)', "
    "open('/proc/self/status').read())[1])"
)


class PolledDeployment(processes.Deployment):
    """One VM that polls many endpoints; one stand-in serves all of them."""

    def __init__(self, count: int):
        self._count = count
        super().__init__(vms=1, engines=0, services=1)

    def configuration(self):
        """Returns a configuration file that repeats the stand-in's port."""
        rows = [
            (f"service-{i}", self.services[0].port) for i in range(self._count)
        ]
        return processes.configuration([], rows)


def measure(
    print_costs: Callable[[str, str, list[tuple[int, float]]], None],
) -> None:
    """Prints processor time and memory of idle VMs, by polled endpoints."""
    cpu_percent, memory_mb = [], []
    for count in ENDPOINTS:
        with PolledDeployment(count) as deployment:
            gevent.sleep(SETTLE_S)
            router = psutil.Process(deployment.vms[0].process.pid)
            cpu_before_s = _cpu_s(router)
            gevent.sleep(MEASUREMENT_S)
            used_s = _cpu_s(router) - cpu_before_s
            cpu_percent.append((count, used_s / MEASUREMENT_S * 100))
            memory_mb.append((count, router.memory_info().rss / BYTES_PER_MB))
    print_costs("idle router by endpoints polled", "% of a core", cpu_percent)
    print_costs("idle router's resident memory by endpoints", "MB", memory_mb)
    for statement in IMPORTS:
        print(f"resident after '{statement}' [MB] {_rss_mb(statement):.1f}")


def measure_publish(
    print_costs: Callable[[str, str, list[tuple[int, float]]], None],
) -> None:
    """Prints the time until a publish is in force on every VM.

    It counts from the start of the `publish` command.
    """
    rows = []
    for count in VMS:
        with processes.Deployment(vms=count) as deployment:
            times_ms = []
            for version in range(1, PUBLISHES + 1):
                started_s = time.perf_counter()
                deployment.publish(deployment.configuration())
                published_s = time.perf_counter()
                deployment.wait_ready(version)
                times_ms.append((time.perf_counter() - started_s) * MS_PER_S)
                print(
                    f"  {count} VMs: publish took "
                    f"{(published_s - started_s) * MS_PER_S:.0f} ms, "
                    f"in force everywhere after {times_ms[-1]:.0f} ms"
                )
            rows.append((count, statistics.median(times_ms)))
    print_costs("publish until in force on all VMs, by VMs", "ms", rows)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _rss_mb(statement: str) -> float:
    """Returns the resident memory of a Python process after `statement`."""
    completed = subprocess.run(
        [sys.executable, "-c", f"{statement}; {REPORT_RSS}"],
        capture_output=True,
        text=True,
        check=True,
        cwd=pathlib.Path(__file__).parent.parent,
    )
    return int(completed.stdout) * 1_024 / BYTES_PER_MB
