"""Stand-in for a plain service over HTTP; see docs/endpoints.md."""

import gevent
import msgspec

from hornbeampier import application
from hornbeampier import wsgi
from hornbeampier.endpoints import messages


class ServiceControl(msgspec.Struct):
    """Faults that a test switches on.

    Attributes:
        leaving: Decline new requests with 503.
        delay_ms: Time that each request takes.
        lose_answers: How many of the next requests run and have their
            connection closed before the response.
        refuse_before_run: How many of the next requests have their connection
            closed without a run.
        cut_answers: How many of the next requests run and have their
            connection closed in the middle of the response.
        status: The status code of all responses.
    """

    leaving: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    refuse_before_run: int = 0
    cut_answers: int = 0
    status: int = 200


class ServiceRun(msgspec.Struct):
    """The service's own record of one execution."""

    request_id: str
    method: str
    path: str
    body: str


class ServiceApp:
    """The WSGI application of a stand-in service; it echoes requests."""

    def __init__(self, name: str, slots: int):
        self.name = name
        self._slots = slots
        self._running = 0
        self.control = ServiceControl()
        self.runs: list[ServiceRun] = []

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/load":
            report = messages.LoadReport(
                self._running, 0, self._slots, self.control.leaving
            )
            return wsgi.json_response(start_response, 200, report)
        if path == "/runs":
            return wsgi.json_response(start_response, 200, self.runs)
        if path == "/control":
            body = wsgi.read_body(environ)
            self.control = msgspec.json.decode(body, type=ServiceControl)
            return wsgi.json_response(start_response, 200, {})
        return self._run(environ, path, start_response)

    def _run(self, environ, path, start_response):
        if self.control.leaving:
            return wsgi.json_response(start_response, 503, {})
        body = wsgi.read_body(environ).decode(errors="replace")
        if self.control.refuse_before_run > 0:
            self.control.refuse_before_run -= 1
            raise wsgi.DropConnectionError("dropped before the run")
        run = ServiceRun(
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ["REQUEST_METHOD"],
            path,
            body,
        )
        self.runs.append(run)
        self._running += 1
        try:
            gevent.sleep(self.control.delay_ms / 1000.0)
        finally:
            self._running -= 1
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            raise wsgi.DropConnectionError("dropped after the run")
        if self.control.cut_answers > 0:
            self.control.cut_answers -= 1
            return _cut_response(start_response)
        return wsgi.json_response(start_response, self.control.status, run)


def _cut_response(start_response):
    start_response("200 OK", [("Content-Length", "100")])
    yield b"half"
    raise wsgi.DropConnectionError("dropped in the middle of the response")


class ServiceStandin(application.BaseComponent):
    """A stand-in service with its server."""

    def __init__(self, name: str, host: str, port: int, slots: int = 16):
        self.app = ServiceApp(name, slots)
        self.server = wsgi.HttpServer(host, port, self.app)

    def start(self) -> None:
        """Starts the listener."""
        self.server.start()

    def stop(self) -> None:
        """Stops the listener."""
        self.server.stop()
