"""The admin HTTP interface of a VM: health, metrics and report."""

from collections.abc import Callable

from hornbeampier import wsgi
from hornbeampier.operators import report

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class AdminApp:
    """The WSGI application of the admin listener."""

    def __init__(
        self,
        render_metrics: Callable[[], bytes],
        make_report: Callable[[], report.VmReport],
    ):
        self._render_metrics = render_metrics
        self._make_report = make_report

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return wsgi.json_response(start_response, 200, {"status": "ok"})
        if path == "/readyz":
            ready = self._make_report().ready
            status = 200 if ready else 503
            return wsgi.json_response(start_response, status, {"ready": ready})
        if path == "/metrics":
            body = self._render_metrics()
            headers = [
                ("Content-Type", METRICS_TYPE),
                ("Content-Length", str(len(body))),
            ]
            start_response("200 OK", headers)
            return [body]
        if path == "/report":
            return wsgi.json_response(start_response, 200, self._make_report())
        return wsgi.json_response(start_response, 404, {"error": "not found"})
