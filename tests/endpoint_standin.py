"""A stand-in for an endpoint; its responses are sent by the test's handler."""

import contextlib
import json

import gevent
from gevent import server
from gevent import socket

HOST = "127.0.0.1"
SEAL = "X-Hornbeampier-Server-Seal: seal"


class ReceivedRequest:
    """A received request, with methods to respond over its connection."""

    def __init__(self, sock, head, body):
        self.sock = sock
        lines = head.decode("latin-1").split("\r\n")
        self.request_line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = body
        self.rest = b""

    def read_body(self):
        """Reads the rest of the body, and perhaps the start of a request."""
        length = int(self.headers.get("content-length", 0))
        data = bytearray(self.body)
        while len(data) < length:
            block = self.sock.recv(65536)
            if not block:
                raise ConnectionError("connection closed within a body")
            data += block
        self.body, self.rest = bytes(data[:length]), bytes(data[length:])

    @property
    def id(self):
        return self.headers["x-hornbeampier-attempt-id"]

    def send(self, data):
        self.sock.sendall(data if isinstance(data, bytes) else data.encode())

    def respond(self, body=b"done", status="200 OK", headers=(), seal=True):
        """Sends a complete response."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [SEAL] if seal else []
        request_id = self.headers.get("x-hornbeampier-attempt-id")
        if request_id is not None:
            lines.append(f"X-Hornbeampier-Attempt-Id: {request_id}")
        lines += headers
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def begin_stream(self, headers=()):
        """Sends the head of a streamed response with chunked encoding."""
        self.send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n{SEAL}\r\n"
            f"X-Hornbeampier-Attempt-Id: {self.id}\r\n"
            + "".join(f"{header}\r\n" for header in headers)
            + "\r\n"
        )

    def send_event(self, number):
        self.send_chunk(f"id: {number}\ndata: piece-{number}\n\n".encode())

    def send_chunk(self, data):
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self):
        self.send(b"0\r\n\r\n")

    def close_connection(self):
        """Closes the connection without finishing the response."""
        self.sock.close()

    def wait_closed(self, timeout_s=2.0):
        """Returns whether the router closes the connection in time."""
        with gevent.Timeout(timeout_s, False):
            with contextlib.suppress(OSError):
                return self.sock.recv(1) == b""
            return True
        return False


class EndpointStandin:
    """Accepts connections and passes each request to a handler.

    Attributes:
        born: When its process started, as it reports; None if it has no
            report, and passes requests for it to the handler.
        reports: Number of reports that it sent.
        on_connect: Called for each connection, before anything is read.
        reads_bodies: Whether a body has been read when its request is passed
            to the handler. If not, the request has the part that came with
            its head, and its connection takes no other.
    """

    def __init__(
        self, handler=ReceivedRequest.respond, born=1, reads_bodies=True
    ):
        self.handler = handler
        self.born = born
        self.reads_bodies = reads_bodies
        self.reports = 0
        self.on_connect = lambda: None
        self.received = []
        self._socks = set()
        self._server = server.StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"{HOST}:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0)

    def kill(self):
        """Ends the process: its connections close, idle ones too."""
        self.stop()
        for sock in list(self._socks):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock, _):
        self._socks.add(sock)
        # Each part is sent at once, also on a connection in use again.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_connect()
        try:
            self._serve_requests(sock)
        finally:
            self._socks.discard(sock)

    def _serve_requests(self, sock):
        buffer = b""
        with contextlib.suppress(OSError):
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                req = ReceivedRequest(sock, head, buffer)
                if self._is_report(req):
                    self._send_report(req)
                    continue
                if self.reads_bodies:
                    req.read_body()
                self.received.append(req)
                self.handler(req)
                if not self.reads_bodies:
                    return
                buffer = req.rest

    def _is_report(self, req):
        is_report = req.request_line.startswith("GET /report ")
        return is_report and self.born is not None

    def _send_report(self, req):
        self.reports += 1
        body = json.dumps({"stage": "both", "born": self.born}).encode()
        lines = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        req.send(lines.encode() + body)
