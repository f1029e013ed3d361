"""A stand-in of one server of a service, as its own process.

It prints its port, then a line for each request that it runs and for each run
that ends. What it does with a request is an argument: see `BEHAVIOURS`.
"""

import socket
import socketserver
import sys
import threading
import time

HOST = "127.0.0.1"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
EVENT_COUNT = 40
EVENT_GAP_S = 0.1
_lock = threading.Lock()


def say(text):
    """Prints a line for the script."""
    with _lock:
        print(text, flush=True)


class Connection(socketserver.StreamRequestHandler):
    """Serves the requests of one connection, one at a time."""

    behaviour = None
    instance = ""
    software = ""
    after = 0

    def setup(self):
        """Sends small writes at once."""
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()

    def handle(self):
        """Reads requests until the connection ends."""
        try:
            while self._serve_one():
                pass
        except OSError:
            pass

    def _serve_one(self):
        line = self.rfile.readline()
        if not line:
            return False
        headers = {}
        while (row := self.rfile.readline()) not in (b"\r\n", b"\n", b""):
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        self.rfile.read(int(headers.get("content-length", 0)))
        expected = headers.get("x-hornbeampier-expect-instance")
        if expected not in (None, self.instance):
            self.send_head("421 Misdirected Request", ["Content-Length: 0"])
            return True
        path = line.decode("latin-1").split(" ")[1]
        request_id = headers.get("x-hornbeampier-attempt-id", "")
        self.after = int(headers.get("last-event-id", 0))
        say(f"runs {request_id} {path} from event {self.after + 1}")
        keep = BEHAVIOURS[self.behaviour](self, request_id, path)
        say(f"ends {request_id}")
        return keep

    def send_head(self, status, lines, request_id=None):
        """Sends the head of an answer."""
        rows = [f"HTTP/1.1 {status}", *lines]
        if request_id is not None:
            rows.append(f"X-Hornbeampier-Attempt-Id: {request_id}")
            rows.append(f"X-Hornbeampier-Server-Seal: {SEAL}")
        self.wfile.write(("\r\n".join(rows) + "\r\n\r\n").encode())
        self.wfile.flush()


def answer(conn, request_id, path):
    """Answers with a length."""
    del path
    body = b"done " * 160
    conn.send_head("200 OK", [f"Content-Length: {len(body)}"], request_id)
    conn.wfile.write(body)
    return True


def stream_without_length(conn, request_id, path):
    """Streams events; the answer has no length and ends with its connection."""
    del path
    conn.send_head("200 OK", ["Content-Type: text/event-stream"], request_id)
    for number in range(1, EVENT_COUNT + 1):
        event = f"id: {number}\ndata: piece {number} of {EVENT_COUNT}\n\n"
        conn.wfile.write(event.encode())
        conn.wfile.flush()
        time.sleep(EVENT_GAP_S)
    return False


def stream(conn, request_id, path):
    """Streams events after `Last-Event-Id`; each names its software."""
    del path
    conn.send_head(
        "200 OK",
        ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"],
        request_id,
    )
    for number in range(conn.after + 1, EVENT_COUNT + 1):
        event = f"id: {number}\ndata: piece {number} by {conn.software}\n\n"
        conn.wfile.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
        conn.wfile.flush()
        time.sleep(EVENT_GAP_S)
    conn.wfile.write(b"0\r\n\r\n")
    return True


BEHAVIOURS = {
    "answer": answer,
    "stream": stream,
    "stream_without_length": stream_without_length,
}


class Server(socketserver.ThreadingTCPServer):
    """Accepts connections, each in a thread of its own."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128


def main():
    """Serves until killed: BEHAVIOUR INSTANCE SOFTWARE PORT; 0 is any port."""
    Connection.behaviour, Connection.instance = sys.argv[1:3]
    Connection.software = sys.argv[3]
    port = int(sys.argv[4])
    server = Server((HOST, port), Connection)
    say(server.server_address[1])
    server.serve_forever()


if __name__ == "__main__":
    main()
