"""A stand-in of the platform's store, as its own process.

It keeps keyed topics with one partition each and prints its port. Operators and
servers write with `POST /put?topic=T&key=K`, and a script begins a drill with
`POST /drill?age=S&away=S`; these calls are not part of the protocol.
"""

import base64
import http.server
import json
import struct
import sys
import threading
import time
from urllib import parse

HOST = "127.0.0.1"


class Topics:
    """All records, by topic and partition.

    Attributes:
        era: How often the store has returned from a copy, and one.
        is_away: Whether it responds to no call.
    """

    def __init__(self):
        self._rows = {}
        self._changed = threading.Condition()
        self.era = 1
        self.is_away = False

    def append(self, name, rows, at=None):
        """Appends `(key, value)` rows; returns the first offset and the end.

        The offset is None if the topic does not end at `at`.
        """
        with self._changed:
            stored = self._rows.setdefault(name, [])
            if at is not None and at != len(stored):
                return None, len(stored)
            offset = len(stored)
            now_s = time.monotonic()
            stored += [(key, value, now_s) for key, value in rows]
            self._changed.notify_all()
            return offset, len(stored)

    def drill(self, age_s, away_s):
        """Is away for a moment, and comes back from a copy of some age."""
        copied_s = time.monotonic() - age_s
        self.is_away = True
        with self._changed:
            self._changed.notify_all()
        time.sleep(away_s)
        with self._changed:
            self._rows = {
                name: [row for row in rows if row[2] <= copied_s]
                for name, rows in self._rows.items()
            }
            self.era += 1
        self.is_away = False

    def newest(self, name):
        """Returns the newest record of each key, and the end."""
        with self._changed:
            rows = list(self._rows.get(name, ()))
        newest = {key: (value, n) for n, (key, value, _) in enumerate(rows)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
            if value
        ]
        return {"items": items, "hasMore": False, "end": len(rows)}

    def read(self, name, start, wait_s):
        """Returns the records from an offset on; None if it is not there."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.is_away or len(self._rows.get(name, ())) > start,
                wait_s,
            )
            rows = list(self._rows.get(name, ()))
        if start > len(rows):
            return None
        body = struct.pack(">QQ", len(rows), 0)
        for key, value, _ in rows[start:]:
            record = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(record)) + record
        return body


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to the store."""

    protocol_version = "HTTP/1.1"
    topics = Topics()

    def log_message(self, *args):
        """Writes no access log."""

    def do_GET(self):
        """Serves a read."""
        path, name, query = self._target()
        if path == "/log-newest":
            self._send(200, json.dumps(self.topics.newest(name)).encode())
        elif path == "/log-read":
            wait_s = min(30.0, int(query.get("waitMs", 0)) / 1_000)
            body = self.topics.read(name, int(query["from"]), wait_s)
            if body is None:
                self._send(410, b'{"first": 0}')
            else:
                self._send(200, body)
        else:
            self._send(404, b"{}")

    def do_POST(self):
        """Serves an append, or a call of a script."""
        path, name, query = self._target()
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if path == "/drill":
            self.topics.drill(float(query["age"]), float(query["away"]))
            self._send(200, b"{}")
            return
        if path == "/put":
            self.topics.append(name, [(query["key"], body or None)])
            self._send(200, b"{}")
            return
        rows = []
        while body:
            length = int.from_bytes(body[:4], "big")
            record, body = body[4 : 4 + length], body[4 + length :]
            end = 1 + record[0]
            rows.append((record[1:end].decode(), record[end:] or None))
        at = int(query["at"]) if "at" in query else None
        offset, end = self.topics.append(name, rows, at)
        status = 412 if offset is None else 200
        answer = {"offset": offset, "end": end}
        self._send(status, json.dumps(answer).encode())

    def _target(self):
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        name = query.get("topic", "") + "/" + query.get("part", "0")
        return url.path, name, query

    def _send(self, status, body):
        if self.topics.is_away:
            self.close_connection = True
            return
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.topics.era))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main():
    """Serves until killed."""
    server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
    server.daemon_threads = True
    print(server.server_port, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    sys.exit(main())
