"""A stand-in of the platform's API for duties, in the process of a script."""

import http.server
import json
import threading

HOST = "127.0.0.1"


class DutyApi:
    """Accepts usage reports whose fencing token is not lower than before.

    Attributes:
        accepted: The accepted reports in order, as (holder, token, window,
            counts).
    """

    def __init__(self, record):
        self._record = record
        self._lock = threading.Lock()
        self._token = 0
        self.accepted = []
        api = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                """Writes no access log."""

            def do_POST(self):
                length = int(self.headers["Content-Length"])
                report = json.loads(self.rfile.read(length))
                status = api.report(self.headers, report)
                self.send_response(status)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self._server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Where it listens."""
        return f"{HOST}:{self._server.server_port}"

    def report(self, headers, report):
        """Accepts or refuses a report; returns the status."""
        holder = headers["X-Hornbeampier-Duty-Holder"]
        token = int(headers["X-Hornbeampier-Fencing-Token"])
        window, counts = report["windowId"], report["counts"]
        with self._lock:
            is_accepted = token >= self._token
            if is_accepted:
                self._token = token
                self.accepted.append((holder, token, window, counts))
        self._record.add(
            f"{holder} reports window {window} with token {token}: {counts}, "
            + ("accepted" if is_accepted else "refused")
        )
        return 200 if is_accepted else 409

    def changed_windows(self):
        """Returns the windows of which different counts were accepted."""
        counts_by_window = {}
        for _, _, window, counts in list(self.accepted):
            rows = counts_by_window.setdefault(window, [])
            if counts not in rows:
                rows.append(counts)
        return {
            w: rows for w, rows in counts_by_window.items() if len(rows) > 1
        }
