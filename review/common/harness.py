"""Starts the router's own processes with stand-ins, for the scripts here."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMON = pathlib.Path(__file__).resolve().parent
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
KEY = "key-of-tenant-1"
CALLER_HOST = "desk.example"
START_S = 20.0
# Exit codes of a script.
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# Settings that a small deployment has, from the pages.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
    "recoveryS": 12,
    "passMs": 120,
    "againS": 10,
}


class CouldNotRunError(Exception):
    """The case could not be played."""


def has_trouble():
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count, kind=socket.SOCK_STREAM, host=HOST):
    """Returns free ports of an address."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


class Record:
    """What was sent, answered and run; written to `record.txt`."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def add(self, text):
        """Writes a line with the time since the start."""
        elapsed_s = time.monotonic() - self._began
        self._file.write(f"{elapsed_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Closes the file."""
        self._file.close()


class World(contextlib.ExitStack):
    """The store, servers and routers of one run, in a temporary folder."""

    def __init__(self, folder):
        super().__init__()
        self.extra_settings = {}
        self.bounds = BOUNDS
        self.record = Record(folder)
        self.callback(self.record.close)
        self.path = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        self._store = self.start_process("store", [COMMON / "store.py"])
        self.store_port = int(self._store.stdout.readline())

    def start_process(self, name, args, env=None, wants_output=True):
        """Starts a Python process, which is killed at the end at the latest."""
        log = self.enter_context((self.path / f"{name}.log").open("ab"))
        process = subprocess.Popen(
            [sys.executable, "-S", *map(str, args)],
            cwd=ROOT,
            env=env or {"PATH": os.environ["PATH"]},
            stdout=subprocess.PIPE if wants_output else log,
            stderr=log,
            text=True,
        )
        self.callback(_end, process)
        return process

    def put(self, topic, key, value):
        """Writes to the store as the operator or a server does."""
        conn = http.client.HTTPConnection(HOST, self.store_port, timeout=0.5)
        body = b"" if value is None else json.dumps(value).encode()
        conn.request("POST", f"/put?topic={topic}&key={key}", body)
        conn.getresponse().read()
        conn.close()

    def put_config(self, value):
        """Publishes a configuration."""
        self.put("keyed.op", "config", value)

    def stop_store(self):
        """The store answers nothing from now on."""
        self._store.send_signal(signal.SIGSTOP)
        self.record.add("the store is down")

    def continue_store(self):
        """The store answers again."""
        self._store.send_signal(signal.SIGCONT)
        self.record.add("the store is back")

    def begin_drill(self, age_s, away_s):
        """The store is away for a moment, and comes back from a copy."""
        self.record.add(f"the store is away; its copy is {age_s} s old")
        conn = http.client.HTTPConnection(HOST, self.store_port, timeout=30)
        conn.request("POST", f"/drill?age={age_s}&away={away_s}", b"")
        conn.getresponse().read()
        conn.close()
        self.record.add("the store is back")

    def start_routers(self, count=1, extra=None, extra_bounds=None):
        """Starts the routers of some machines, as the deploy file says.

        `extra` holds further settings, `extra_bounds` further bounds.
        """
        self.extra_settings = extra or {}
        self.bounds = {**BOUNDS, **(extra_bounds or {})}
        ports = free_ports(3)
        peer_port = free_ports(1, socket.SOCK_DGRAM)[0]
        # The port of the metrics is fixed, so each run has its own addresses.
        run = os.getpid()
        prefix = f"127.{1 + run // 250 % 250}.{1 + run % 250}"
        hosts = [f"{prefix}.{11 + number}" for number in range(count)]
        seeds = [f"{host}:{ports[2]}" for host in hosts[:3]]
        routers = [Router(self, h, ports, peer_port, seeds) for h in hosts]
        start_all(routers, bootstrap=True)
        return routers

    def log_text(self, name):
        """Returns what a process has logged."""
        return (self.path / f"{name}.log").read_text()


def _end(process):
    if process.poll() is None:
        process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()


class Router:
    """The process of one machine, on an address of its own."""

    def __init__(self, world, ip, ports, peer_port, seeds):
        self._world = world
        self.ip = ip
        self._zone = "auckland"
        self.name = f"front-{self._zone}-{ip.rpartition('.')[2]}"
        # Ports are the same on all machines.
        self.front, self._ready, self.control = ports
        self._seeds = seeds
        self._ports = peer_port
        self._settings = world.path / f"{self.name}.yaml"
        self.process = None

    def wait_ready(self):
        """Waits until it counts as ready."""
        wait_until(self.is_ready, START_S, f"{self.name} is not ready")
        self._world.record.add(f"{self.name} is ready")

    def launch(self, bootstrap):
        """Starts the process."""
        fields = {
            "nodeId": self.name,
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self._zone,
            "region": "aotearoa",
            "zones": {self._zone: "aotearoa"},
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "readyAddr": f"{self.ip}:{self._ready}",
                "control": f"{self.ip}:{self.control}",
            },
            "portRange": [self._ports, self._ports + 15],
            "seeds": self._seeds,
            "bootstrap": bootstrap,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuSpeed": 2,
                "memoryMb": 150,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": round(HEARTBEAT_S * 1_000),
            "contracts": ["base", "drain", "config", "retry", "stream"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self._world.bounds,
            "platform": {
                "address": f"{HOST}:{self._world.store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "keep_s": 300,
                "ttlMinMs": 1000,
            },
            **self._world.extra_settings,
        }
        # JSON is YAML too.
        self._settings.write_text(json.dumps(fields, indent=1))
        self.process = self._world.start_process(
            self.name,
            ["-m", "hornbeampier", "node"],
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self._world.path),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "HORNBEAMPIER_SETTINGS": str(self._settings),
            },
            wants_output=False,
        )

    def is_ready(self):
        """Whether it counts as ready."""
        try:
            conn = http.client.HTTPConnection(self.ip, self._ready, timeout=1)
            conn.request("GET", "/readiness")
            status = conn.getresponse().status
            conn.close()
        except OSError:
            return False
        return status == 200

    def kill(self):
        """Kills the process."""
        self.process.kill()
        self.process.wait()
        self._world.record.add(f"{self.name} is killed")


def start_all(routers, bootstrap=False):
    """Starts machines at the same moment and waits until all are ready."""
    for router in routers:
        router.launch(bootstrap)
    for router in routers:
        router.wait_ready()


def wait_until(condition, timeout_s, failure):
    """Polls until a condition holds; raises CouldNotRunError if it does not."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CouldNotRunError(failure)
        time.sleep(0.02)


def play(folder, case):
    """Plays a case and exits; `case(world)` returns whether the rule held."""
    try:
        with World(folder) as world:
            held = case(world)
            world.record.add("the rule held" if held else "THE RULE WAS BROKEN")
    except (CouldNotRunError, OSError, ValueError) as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)


class Server:
    """The process of one server, which writes its entry in the store."""

    def __init__(self, world, instance, service, behaviour, version="v1"):
        self._world = world
        self.instance = instance
        self._service = service
        self._behaviour = behaviour
        self.version = version
        self._sequence = 0
        self._is_gone = False
        self.state = "ready"
        self.lines = []
        self.process = None
        self.port = 0
        self.start()
        threading.Thread(target=self._beat, daemon=True).start()

    def start(self):
        """Starts the process, at the same address as before if there is one."""
        self._born = round(time.time() * 1_000)
        args = [COMMON / "server.py", self._behaviour, self.instance]
        args += [f"{self._service}-{self.version}", self.port]
        self.process = self._world.start_process(self.instance, args)
        self.port = int(self.process.stdout.readline())
        threading.Thread(
            target=self._read, args=(self.process.stdout,), daemon=True
        ).start()
        # The store may be down; the heartbeats go on.
        with contextlib.suppress(OSError):
            self.write_entry()

    def write_entry(self):
        """Writes the entry as it is now."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": f"{HOST}:{self.port}",
            "zone": "auckland",
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self._born,
        }
        self._world.put("keyed.servers", self.instance, entry)

    def drain(self):
        """Says in the store that it leaves."""
        self.state = "draining"
        self.write_entry()
        self._world.record.add(f"{self.instance} says that it is draining")

    def kill(self):
        """Kills the process."""
        self._is_gone = True
        self.process.kill()
        self.process.wait()
        self._world.record.add(f"{self.instance} is killed")

    def restart(self, version):
        """Starts again under its id and at its address, with a version."""
        self.process.kill()
        self.process.wait()
        self._world.record.add(f"{self.instance} {self.version} is killed")
        self.version = version
        self._sequence = 0
        self.start()
        self._world.record.add(f"{self.instance} starts again with {version}")

    def running(self):
        """Returns the ids of the requests that it works on."""
        runs = [line.split()[1] for line in self.lines if line[:4] == "runs"]
        ends = {line.split()[1] for line in self.lines if line[:4] == "ends"}
        return [run for run in runs if run not in ends]

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if self._is_gone:
                return
            with contextlib.suppress(OSError):
                self.write_entry()

    def _read(self, stdout):
        with contextlib.suppress(ValueError):
            for line in stdout:
                self.lines.append(line.strip())
                self._world.record.add(f"{self.instance}: {line.strip()}")


class Answer:
    """What a client got for one attempt.

    Attributes:
        status: The status; None if no head came.
        headers: The headers, names in lower case.
        body: What came of the body.
        is_complete: Whether the body came to its end in the protocol.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False

    def events(self):
        """Returns the texts of the events of a stream."""
        return [
            line[6:]
            for line in self.body.decode().splitlines()
            if line.startswith("data: ")
        ]

    def event_ids(self):
        """Returns the ids of the events of a stream."""
        return [
            int(line[3:])
            for line in self.body.decode().splitlines()
            if line.startswith("id:")
        ]


def ask(
    router,
    request_id,
    path,
    deadline_ms,
    method="POST",
    body=b"{}",
    headers=(),
):
    """Sends a request on a new connection and waits for its answer."""
    answer = Answer()
    conn = http.client.HTTPConnection(
        router.ip, router.front, timeout=deadline_ms / 1_000 + 2
    )
    headers = {
        **dict(headers),
        "Host": CALLER_HOST,
        "X-Hornbeampier-Attempt-Id": request_id,
        "X-Hornbeampier-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    try:
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        while block := response.read1(65_536):
            answer.body += block
        length = response.getheader("Content-Length")
        answer.is_complete = length is None or len(answer.body) == int(length)
    except (OSError, http.client.HTTPException):
        answer.is_complete = False
    finally:
        conn.close()
    return answer


def config(routes, services, version=1):
    """Returns a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "headerBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


def route(name, prefix, kind, service, timeout_ms, **other):
    """Returns a route."""
    return {
        "name": name,
        "host": CALLER_HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "sloMs": 2_000,
        "priority": 1,
        "maxAttempts": 1,
        "anonymous": False,
        **other,
    }


def service(name):
    """Returns a service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 370,
        "protocol": "h1",
        "tls": False,
    }
