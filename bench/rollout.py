"""Measures attainment during a rollout, next to a quiet time before it.

Two VMs and four engines; a load at about half of what the engines take. An
urgent request counts if its whole answer arrives within its target for the
first token, a bulk request within its target for the whole answer.
"""

# The entry module patches the standard library and must come first.
from hornbeampier import core  # isort: skip

import dataclasses
import random
import time
from typing import Annotated

import gevent
import typer

from tests import calls
from tests import processes

ENGINES = 4
LOAD_MS = 2_000
REQUESTS_PER_S = 12.0
URGENT_SHARE = 0.5
TARGETS_S = {"urgent": 1.1, "bulk": 60.0}
TOKENS = {"urgent": 10, "bulk": 60}
PLACEMENT = """
[[placements]]
model = "notes"
version = "{version}"
availability_zone = "zone-1"
endpoints = 4
[rollout]
loads_per_minute = 60
"""


@dataclasses.dataclass(frozen=True)
class Sample:
    """One request: its class, whether it was whole, and its time in s."""

    name: str
    whole: bool
    duration_s: float


def main(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    quiet_s: Annotated[float, typer.Option(help="Time before it.")] = 20.0,
) -> None:
    """Prints attainment by class before and during a rollout."""
    with processes.Deployment(vms=2, engines=ENGINES) as deployment:
        for engine in deployment.engines:
            body = f'{{"load_ms": {LOAD_MS}}}'.encode()
            calls.call(engine.port, "POST", "/models/faults", body)
        _publish(deployment, "v1")
        _wait_held(deployment, "v1")
        quiet = _measure(deployment, seed, lambda: gevent.sleep(quiet_s))
        _show("before", quiet)

        def roll_out() -> None:
            _publish(deployment, "v2")
            _wait_held(deployment, "v2")

        _show("during", _measure(deployment, seed + 1, roll_out))


def _publish(deployment: processes.Deployment, version: str) -> None:
    text = deployment.configuration() + PLACEMENT.format(version=version)
    assert deployment.publish(text).exit_code == 0


def _wait_held(deployment: processes.Deployment, version: str) -> None:
    def holds(engine: processes.Standin) -> bool:
        state = calls.call(engine.port, "GET", "/models").json()
        return [m["version"] for m in state["models"]] == [version]

    processes.wait_until(lambda: all(map(holds, deployment.engines)))


def _measure(deployment: processes.Deployment, seed: int, body) -> list[Sample]:
    """Sends the load while `body` runs and returns its samples."""
    samples: list[Sample] = []
    source = gevent.spawn(_send_all, deployment, random.Random(seed), samples)
    started = time.monotonic()
    body()
    print(f"took {time.monotonic() - started:.1f} s")
    source.kill()
    gevent.sleep(5)
    return samples


def _send_all(deployment, rng: random.Random, samples: list[Sample]) -> None:
    for number in range(100_000):
        gevent.sleep(rng.expovariate(REQUESTS_PER_S))
        name = "urgent" if rng.random() < URGENT_SHARE else "bulk"
        vm = deployment.vms[number % len(deployment.vms)]
        gevent.spawn(_send, vm, number, name, samples)


def _send(vm, number: int, name: str, samples: list[Sample]) -> None:
    started = time.monotonic()
    text = f"{number} tokens={TOKENS[name]}"
    answer = vm.chat(text, headers=[("X-Request-Class", name)])
    duration_s = time.monotonic() - started
    samples.append(Sample(name, answer.status == 200, duration_s))


def _show(label: str, samples: list[Sample]) -> None:
    for name, target_s in TARGETS_S.items():
        own = [s for s in samples if s.name == name]
        kept = [s for s in own if s.whole and s.duration_s <= target_s]
        slowest = max((s.duration_s for s in own), default=0.0)
        print(
            f"{label} {name}: {len(kept)} of {len(own)} within target, "
            f"{sum(not s.whole for s in own)} refused, slowest {slowest:.2f} s"
        )


if __name__ == "__main__":
    del core
    typer.run(main)
