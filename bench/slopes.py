"""Measures how control-plane costs grow with the size of a deployment.

Most lines show one cost at three sizes or more and the slope over them. Run it
with `python -m bench.slopes`; docs/CAPACITY.md is derived from its output.
"""

# Patches the standard library before any other module imports it.
from hornbeampier import patched  # isort: skip

from collections.abc import Callable
import dataclasses
import random
import statistics
import sys
import time
import tracemalloc

import gevent
from gevent import socket
import msgspec

from bench import idle
from hornbeampier import clock
from hornbeampier.callers import requests
from hornbeampier.coordination import records
from hornbeampier.endpoints import messages as endpoint_messages
from hornbeampier.endpoints import registry
from hornbeampier.operators import configuration_log
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.vms import catch_up
from hornbeampier.vms import hints
from hornbeampier.vms import messages
from tests import processes

ENDPOINTS = (40, 160, 324, 640)
PEERS = (3, 9, 36, 339)
ACCOUNTS = (10, 70, 280, 1_120)
LISTED_VMS = (20, 340, 1_360)
FILE_ENDPOINTS = (10, 324, 1_296)
MIN_RUN_S = 0.2
REPEATS = 3
US_PER_S = 1_000_000
BUSY_ENDPOINTS = 40


@dataclasses.dataclass(frozen=True)
class HintPeers:
    """A real hint exchange, from which the chooser gets its peers' loads.

    `sink` receives the hints that the exchange sends.
    """

    exchange: hints.HintExchange
    sink: socket.socket


def cost_us(function: Callable[[], object]) -> float:
    """Returns the processor time of a call in us, the least of `REPEATS`."""
    best_s = float("inf")
    for _ in range(REPEATS):
        call_count = 0
        started_s = time.process_time()
        while (used_s := time.process_time() - started_s) < MIN_RUN_S:
            function()
            call_count += 1
        best_s = min(best_s, used_s / call_count)
    return best_s * US_PER_S


def print_costs(name: str, unit: str, rows: list[tuple[int, float]]) -> None:
    """Prints one line with the cost at each size and the slope."""
    regression = statistics.linear_regression(*zip(*rows, strict=True))
    cells = "  ".join(f"{size}: {value:.1f}" for size, value in rows)
    print(f"{name} [{unit}]  {cells}  slope {regression.slope:.3f}", flush=True)


def configuration_text(endpoints: int, accounts: int = 10) -> str:
    """Returns a configuration file with that many engines and accounts."""
    rows = [(f"engine-{i}", 20_000 + i) for i in range(endpoints)]
    services = [("entry-1", 9_999)]
    return processes.configuration(rows, services, accounts=accounts)


def make_states(count: int) -> list[registry.EndpointState]:
    """Returns the states of `count` engines that have reported their load."""
    endpoints = registry.Registry(clock.ManualClock(1.0))
    endpoints.apply(schema.parse(configuration_text(count)))
    for state in endpoints.all():
        report = endpoint_messages.LoadReport(1, 0, 8)
        endpoints.record_report(state, report)
    return endpoints.serving("notes")


def make_hint(vm: str, endpoints: int) -> messages.Hint:
    """Returns a hint with up to `BUSY_ENDPOINTS` busy endpoints."""
    busy = {f"engine-{i}": 2 for i in range(min(BUSY_ENDPOINTS, endpoints))}
    return messages.Hint(vm, 1, 1, 7, busy, {"notes": {1: 2, 3: 9}}, {})


def make_peers(count: int) -> HintPeers:
    """Returns a hint exchange that has received a hint from `count` peers."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind((processes.HOST, 0))
    exchange = hints.HintExchange(
        "own",
        processes.HOST,
        0,
        clock.ManualClock(1.0),
        lambda sequence: make_hint("own", BUSY_ENDPOINTS),
        lambda hint: None,
        500.0,
    )
    exchange.apply_vm_list(
        tuple(
            records.ListedVm(
                f"vm-{i}", "z", processes.HOST, hint_port=sink.getsockname()[1]
            )
            for i in range(count)
        )
    )
    for i in range(count):
        exchange._accept(make_hint(f"vm-{i}", BUSY_ENDPOINTS))
    return HintPeers(exchange, sink)


def measure_choice() -> None:
    """Prints the cost of choosing an endpoint, by endpoints and by peers."""
    rng = random.Random(1)
    peers = make_peers(8)
    rows = []
    for count in ENDPOINTS:
        states = make_states(count)
        chooser = choice.EndpointChooser(peers.exchange, rng)
        rows.append((count, cost_us(_make_choice(chooser, states))))
    print_costs("choice by endpoints, 8 peers", "us", rows)
    states = make_states(324)
    rows = []
    for count in PEERS:
        chooser = choice.EndpointChooser(make_peers(count).exchange, rng)
        rows.append((count, cost_us(_make_choice(chooser, states))))
    print_costs("choice by peers, 324 endpoints", "us", rows)


def _make_choice(chooser, states) -> Callable[[], object]:
    return lambda: chooser.choose(states, True, frozenset(), 2.0)


def measure_hints() -> None:
    """Prints the size of hints and the cost of sending and receiving them."""
    payload = msgspec.msgpack.encode(make_hint("vm-1", BUSY_ENDPOINTS))
    print(f"hint with {BUSY_ENDPOINTS} busy endpoints [bytes] {len(payload)}")
    sizes = [
        (n, float(len(msgspec.msgpack.encode(make_hint("vm-1", n)))))
        for n in (5, 20, 40)
    ]
    print_costs("hint by busy endpoints", "bytes", sizes)
    rows = []
    for count in PEERS:
        peers = make_peers(count)
        exchange = peers.exchange
        exchange.start()
        gevent.killall(exchange._tasks)

        def send(exchange=exchange):
            data = msgspec.msgpack.encode(make_hint("own", BUSY_ENDPOINTS))
            for address in exchange._peers.values():
                exchange._send_to(data, address)

        rows.append((count, cost_us(send)))
        exchange.stop()
        peers.sink.close()
    print_costs("one round of hints sent, by peers", "us", rows)
    exchange = make_peers(36).exchange

    def receive():
        exchange._accept(msgspec.msgpack.decode(payload, type=messages.Hint))

    print(f"hint decoded and stored [us] {cost_us(receive):.1f}")


def measure_accounts() -> None:
    """Prints the cost of authenticating a key, by accounts."""
    rows = []
    for count in ACCOUNTS:
        cfg = schema.parse(configuration_text(10, count))
        environ = {"HTTP_AUTHORIZATION": f"Bearer key-{count}"}
        rows.append(
            (
                count,
                cost_us(lambda e=environ, c=cfg: requests.authenticate(e, c)),
            )
        )
    print_costs("authentication by accounts, the last one", "us", rows)


def measure_files() -> None:
    """Prints size, processor time and memory of configuration files."""
    sizes, apply_costs, memory = [], [], []
    for count in FILE_ENDPOINTS:
        text = configuration_text(count, 280)
        entry = configuration_log.ConfigurationRecord(
            kind=configuration_log.RecordKind.PUBLISH, publish_id="p", text=text
        )
        data = msgspec.json.encode(entry).decode()
        record = records.LogRecord(0, 0.0, data)
        sizes.append((count, float(len(data))))
        apply_costs.append(
            (
                count,
                cost_us(
                    lambda r=record: (
                        configuration_log.ConfigurationState().apply(r)
                    )
                ),
            )
        )
        tracemalloc.start()
        state = configuration_log.ConfigurationState()
        state.apply(record)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1_000))
        tracemalloc.stop()
    print_costs("file by endpoints, 280 accounts", "bytes", sizes)
    print_costs("file applied by endpoints", "us", apply_costs)
    print_costs("file in memory by endpoints", "kB", memory)


def measure_endpoint_memory() -> None:
    """Prints the memory of endpoint states, by endpoints."""
    rows = []
    for count in ENDPOINTS:
        tracemalloc.start()
        states = make_states(count)
        rows.append((count, tracemalloc.get_traced_memory()[0] / 1_000))
        tracemalloc.stop()
        del states
    print_costs("endpoint states with their file", "kB", rows)


def measure_vm_list() -> None:
    """Prints the size and decoding cost of one response of the VM list."""
    sizes, costs = [], []
    for count in LISTED_VMS:
        vms = tuple(
            records.ListedVm(f"vm-{i}", "zone-1", "10.0.0.1", hint_port=7001)
            for i in range(count)
        )
        data = msgspec.json.encode(records.VmListResponse(vms))
        sizes.append((count, float(len(data))))
        costs.append((count, cost_us(lambda d=data: _decode_list(d))))
    print_costs("VM list by VMs", "bytes", sizes)
    print_costs("VM list decoded by VMs", "us", costs)


def _decode_list(data: bytes) -> records.VmListResponse:
    return msgspec.json.decode(data, type=records.VmListResponse)


def measure_catch_up() -> None:
    """Prints the processor time of a catch-up call, client and server."""
    rows = []
    for count in FILE_ENDPOINTS:
        snapshot = configuration_log.ConfigurationRecord(
            kind=configuration_log.RecordKind.SNAPSHOT,
            publish_id="p",
            text=configuration_text(count, 280),
        )
        server = catch_up.CatchUpServer(
            processes.HOST, 0, lambda snapshot=snapshot: snapshot
        )
        server.start()
        client = catch_up.CatchUpClient("own", clock.SystemClock())
        peer = records.ListedVm(
            "peer", "z", processes.HOST, catch_up_port=server.port
        )
        client.apply_vm_list((peer,))
        rows.append((count, cost_us(client.fetch)))
        server.stop()
    print_costs("catch-up from one peer by endpoints in the file", "us", rows)


MEASUREMENTS = {
    "choice": measure_choice,
    "hints": measure_hints,
    "accounts": measure_accounts,
    "files": measure_files,
    "states": measure_endpoint_memory,
    "vm-list": measure_vm_list,
    "catch-up": measure_catch_up,
    "idle": lambda: idle.measure(print_costs),
    "publish": lambda: idle.measure_publish(print_costs),
}


def main() -> None:
    """Runs the measurements that the arguments name, by default all."""
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    del patched
    main()
