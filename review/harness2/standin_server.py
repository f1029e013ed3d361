"""A stand-in for a server of a service, as its own process.

It answers as PROTOCOL.md says. Each run is appended to a file, which outlives
the process. Usage: python3 standin_server.py JSON
"""

import asyncio
import json
import pathlib
import sys
import time

SEAL = "X-Hornbeampier-Server-Seal: seal"
# Requests that wait for a slot at most; the site file of kauri-ramps has 192.
QUEUE = 192
SHORT_EVENTS = 10
NOT_RUN = "X-Hornbeampier-Not-Executed: 1"


class Server:
    """One process of a server.

    The options are `id`, `host`, `port`, `born`, `runs` (path of the file with
    the runs), `events` (of a stream), `pause_ms` (between events) and
    `slots`.
    """

    def __init__(self, options):
        self.options = options
        self.slots = asyncio.Semaphore(options["slots"])
        # Requests that run or wait for a slot.
        self.present = 0
        self.runs = pathlib.Path(options["runs"])

    async def serve(self):
        """Listens until the process is killed."""
        server = await asyncio.start_server(
            self.handle, self.options["host"], self.options["port"], backlog=512
        )
        print("listening", flush=True)
        await server.serve_forever()

    async def handle(self, reader, writer):
        """Serves the requests of one connection."""
        try:
            while await self.handle_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            # The router has closed the connection.
            pass
        finally:
            writer.close()

    async def handle_request(self, reader, writer):
        """Serves a request; returns whether another may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        expected = fields.get("x-hornbeampier-expect-instance")
        self.echo = fields.get("x-hornbeampier-attempt-id")
        if expected not in (None, self.options["id"]):
            self.respond(writer, "421 Misdirected Request", [NOT_RUN])
        elif target == "/report":
            report = {"stage": "both", "born": self.options["born"]}
            self.respond(writer, "200 OK", [], json.dumps(report).encode())
        elif target == "/health":
            instance = f"X-Hornbeampier-Instance-Id: {self.options['id']}"
            self.respond(writer, "200 OK", [instance])
        elif "x-hornbeampier-attempt-id" not in fields:
            self.respond(writer, "400 Bad Request", [NOT_RUN])
        elif self.present >= self.options["slots"] + QUEUE:
            self.respond(writer, "503 Service Unavailable", [NOT_RUN])
        else:
            return await self.run(writer, method, target, fields, body)
        return True

    def respond(self, writer, status, lines, body=b""):
        """Writes a complete answer."""
        head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *lines]
        if self.echo:
            head.append(f"X-Hornbeampier-Attempt-Id: {self.echo}")
        writer.write("\r\n".join([*head, "", ""]).encode() + body)

    async def run(self, writer, method, target, fields, body):
        """Runs a request; returns whether another may follow."""
        request_id = fields["x-hornbeampier-attempt-id"]
        self.present += 1
        try:
            async with self.slots:
                self.record("run", request_id, method, target, len(body))
                return await self.stream(writer, request_id, target, fields)
        finally:
            self.present -= 1

    async def stream(self, writer, request_id, target, fields):
        """Sends the pieces after the last one that the client has."""
        # Some answers have no length and end with their connection.
        framed = "/unframed/" not in target
        framing = "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=10"
        if not framed:
            framing = "Connection: close"
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"{framing}\r\n{SEAL}\r\n"
                f"X-Hornbeampier-Attempt-Id: {request_id}\r\n\r\n"
            ).encode()
        )
        first = int(fields.get("last-event-id") or 0) + 1
        events = SHORT_EVENTS if "/short/" in target else self.options["events"]
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {self.options['version']}\n\n"
            data = event.encode()
            if framed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(self.options["pause_ms"] / 1000)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("complete", request_id)
        return framed

    def record(self, *words):
        """Appends a line to the file with the runs."""
        at = f"{time.time():.3f}"
        with self.runs.open("a") as runs:
            print(at, self.options["id"], *words, file=runs)


asyncio.run(Server(json.loads(sys.argv[1])).serve())
