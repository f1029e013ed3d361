"""A small deployment for the scripts of the review.

The routers and the servers are processes; the store and the clients are tasks
of the script's own process. Everything is on loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1_200
# An entry is removed after three heartbeat intervals of silence.
EXPIRY_S = 3 * HEARTBEAT_MS / 1000
COMMAND = ("-S", "-m", "hornbeampier", "node")
HOST_NAME = "site.example"
KEY = "key-of-tenant-1"


# Offsets of the ports from the first one of a deployment.
FRONT, READY, CONTROL, PEERS, SERVER = 0, 1, 2, 10, 30
PORT_COUNT = 40


def free_ports():
    """Returns the first of some ports that nobody listens on."""
    while True:
        first = random.randrange(20_000, 30_000, PORT_COUNT)
        try:
            for port in range(first, first + PORT_COUNT):
                with socket.socket() as sock:
                    sock.bind(("", port))
        except OSError:
            # Another process has one of them.
            continue
        return first


# A case that takes longer is ended.
TIME_LIMIT_S = 105
# What a machine's process may open (`maxFds`).
OPEN_FILES = 4_100
# Exit codes of a case; that of an unexpected error is 1.
HELD, NOT_RUN, BROKEN = 0, 2, 10


class Store:
    """The platform's store: two keyed topics with one partition each."""

    def __init__(self):
        self.records = {"keyed.op": [], "keyed.servers": []}
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        """Starts to listen on a free port."""
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, topic, key, value):
        """Appends a record; None removes the key."""
        self.records[topic].append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer):
        """Serves the calls of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path, _, text = head.split(" ")[1].partition("?")
                query = dict(p.split("=", 1) for p in text.split("&"))
                status, body = await self.answer(path, query)
                lines = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}"
                writer.write(f"{lines}\r\n\r\n".encode() + body)
        except (OSError, asyncio.IncompleteReadError):
            # The router has closed the connection.
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        """Returns the status and the body of an answer."""
        rows = self.records.get(query.get("topic"))
        if rows is None:
            return 404, b""
        if path == "/log-newest":
            return 200, json.dumps(self.newest(rows)).encode()
        if path != "/log-read":
            return 404, b""
        first = int(query["from"])
        if first >= len(rows):
            try:
                wait_s = int(query.get("waitMs", 0)) / 1000
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                # No record came.
                pass
        body = struct.pack(">QQ", len(rows), 0)
        for key, value in rows[first:]:
            name = key.encode()
            record = bytes([len(name)]) + name + (value or b"")
            body += struct.pack(">I", len(record)) + record
        return 200, body

    @staticmethod
    def newest(rows):
        """Returns the newest record of each key."""
        newest = {key: (value, at) for at, (key, value) in enumerate(rows)}
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": at}
            for k, (v, at) in newest.items()
            if v is not None
        ]
        return {"items": items, "hasMore": False, "end": len(rows)}


class Server:
    """A server whose process may be killed and started again.

    Attributes:
        version: The version of its software.
        is_cut: Whether it cannot reach the store.
    """

    def __init__(self, deployment, service, address, **options):
        self.deployment = deployment
        self.service = service
        self.host, self.port = address
        self.options = options
        self.process = None
        self.id = None
        self.version = "v1"
        self.is_cut = False
        self.beats = None

    async def start(self, server_id=None, version="v1"):
        """Starts a process; with an id, it starts again under that id."""
        self.id = server_id or f"i-{random.getrandbits(40):010x}"
        self.version = version
        self.born = int(time.time() * 1000)
        options = {
            "id": self.id,
            "host": self.host,
            "port": self.port,
            "born": self.born,
            "runs": str(self.deployment.directory / "runs.txt"),
            "slots": 64,
            "version": version,
            **self.options,
        }
        program = pathlib.Path(__file__).with_name("standin_server.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            program,
            json.dumps(options),
            stdout=asyncio.subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        """Writes the entry again and again, while the store is reached."""
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "zone-1",
                "version": self.version,
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": self.born,
            }
            if not self.is_cut:
                value = json.dumps(entry).encode()
                self.deployment.store.put("keyed.servers", self.id, value)
                self.deployment.expire_later(self.id)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def cut_off(self):
        """Cuts the server off from the store, but not from the routers."""
        self.is_cut = True

    async def kill(self):
        """Ends the process as a crash does."""
        self.beats.cancel()
        self.process.kill()
        await self.process.wait()


class Router:
    """A process with the command of the deploy file.

    Attributes:
        address: Where clients connect.
    """

    def __init__(self, deployment, index, host, seeds, limits):
        self.deployment = deployment
        self.host = host
        self.address = (host, deployment.port + FRONT)
        self.name = f"front-{index}"
        self.log = deployment.directory / f"{self.name}.log"
        self.settings = deployment.directory / f"{self.name}.yaml"
        fields = {
            "nodeId": self.name,
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen": {
                "front": f"{host}:{deployment.port + FRONT}",
                "readyAddr": f"{host}:{deployment.port + READY}",
                "control": f"{host}:{deployment.port + CONTROL}",
            },
            "portRange": [
                deployment.port + PEERS,
                deployment.port + PEERS + 15,
            ],
            "seeds": [f"{seed}:{deployment.port + CONTROL}" for seed in seeds],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuSpeed": 2,
                "memoryMb": 150,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
                **limits,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
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
            },
            "platform": {
                "address": deployment.store.address,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "partMbS": 20.0,
                "readMbS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
        }
        # JSON is YAML.
        self.settings.write_text(json.dumps(fields))

    async def start(self):
        """Starts the process with the command of the deploy file."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *COMMAND,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "HORNBEAMPIER_SETTINGS": str(self.settings),
                },
            )

    def signal(self, signum):
        """Sends a signal, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(signum)

    async def is_ready(self):
        """Whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.deployment.port + READY
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            # Not started yet.
            return False


class Deployment:
    """Owns all processes; ends them one by one."""

    def __init__(self, record_path):
        # For the clients' and the servers' ends of all connections.
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        soft = OPEN_FILES
        if hard != resource.RLIM_INFINITY:
            soft = min(soft, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self._record_path = pathlib.Path(record_path)
        self._record_path.write_text("")
        self._directory = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._directory.name)
        (self.directory / "runs.txt").touch()
        self.store = Store()
        # When each server wrote its entry last.
        self.last_writes = {}
        self.servers = []
        self.routers = []
        # A part of 127.0.0.0/8 that nobody else is likely to use.
        self.net = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        self.port = free_ports()

    def record(self, *words):
        """Appends a line to the record."""
        with self._record_path.open("a") as record:
            print(f"{time.time():.3f}", *words, file=record)

    async def add_server(self, service, **options):
        """Starts a server of a service."""
        host = f"{self.net}.{100 + len(self.servers)}"
        address = (host, self.port + SERVER)
        server = Server(self, service, address, **options)
        self.servers.append(server)
        await server.start()
        return server

    def put_configuration(self, routes, services, version=1):
        """Writes a configuration, as the operator does."""
        cfg = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "headerBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
        }
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())

    async def start_routers(self, count, **limits):
        """Starts the routers and waits until they are ready."""
        hosts = [f"{self.net}.{i + 1}" for i in range(count)]
        for index, host in enumerate(hosts):
            router = Router(self, index, host, hosts[:3], limits)
            self.routers.append(router)
            await router.start()
        for _ in range(200):
            if all([await r.is_ready() for r in self.routers]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the routers did not become ready")

    def expire_later(self, server_id):
        """Removes an entry after three heartbeats without another write."""
        written = self.last_writes[server_id] = time.monotonic()

        def expire():
            if self.last_writes[server_id] == written:
                self.store.put("keyed.servers", server_id, None)

        asyncio.get_running_loop().call_later(EXPIRY_S, expire)

    def runs(self):
        """The lines that the servers have written."""
        return [
            line.split()
            for line in (self.directory / "runs.txt").read_text().splitlines()
        ]

    async def close(self):
        """Ends all processes."""
        for server in self.servers:
            if server.beats:
                server.beats.cancel()
            if server.process and server.process.returncode is None:
                server.process.kill()
                await server.process.wait()
        for router in self.routers:
            if router.process.returncode is None:
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
                await router.process.wait()
        self._directory.cleanup()


class Answer:
    """What a client got; `complete` as HTTP/1.1 frames it."""

    def __init__(self):
        self.status = None
        self.fields = {}
        self.body = b""
        self.complete = False
        self.error = None


async def send(address, method, path, fields, body=b"", timeout_s=20):
    """Sends a request on a new connection and reads the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await exchange(
                    reader, writer, method, path, fields, body, answer
                )
            finally:
                writer.close()
    except (
        OSError,
        TimeoutError,
        ValueError,
        asyncio.IncompleteReadError,
    ) as exc:
        answer.error = repr(exc)
    return answer


async def exchange(reader, writer, method, path, fields, body, answer):
    """Sends a request on a connection and reads its answer."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Token {KEY}",
    ]
    lines += [f"{k}: {v}" for k, v in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        answer.fields[name.lower()] = value.strip()
    if answer.fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += chunk[:-2]
    else:
        length = int(answer.fields["content-length"])
        answer.body = await reader.readexactly(length)
    answer.complete = True


async def wait(condition, timeout_s=20):
    """Waits until a condition holds; returns whether it did."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


async def run(main):
    """Returns the exit code of a case; ends its processes if it is stopped."""
    stop = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await main()
