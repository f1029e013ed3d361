"""A stand-in for the platform's API for duties, with fences and faults."""

import json

import gevent
from gevent import pywsgi

HOST = "127.0.0.1"


class DutyStandin:
    """Accepts reports and orders.

    Attributes:
        requires_fence: Whether calls with a lower token than before get a 409
            response.
        status: Status of every response, if not None; nothing is executed.
        late_s: Seconds after which calls are executed, without a response.
        accepted: (path, holder, token, body) of each executed call, in order.
        refused: The same of each call that the fence refused.
    """

    def __init__(self, requires_fence=True):
        self.requires_fence = requires_fence
        self.status = None
        self.late_s = None
        self.accepted = []
        self.refused = []
        self._tokens = {}
        self._server = pywsgi.WSGIServer((HOST, 0), self._respond, log=None)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def _respond(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        call = (
            environ["PATH_INFO"],
            environ["HTTP_X_HORNBEAMPIER_DUTY_HOLDER"],
            int(environ["HTTP_X_HORNBEAMPIER_FENCING_TOKEN"]),
            body,
        )
        if self.late_s is not None:
            gevent.sleep(self.late_s)
            self._execute(call)
            gevent.sleep(60)
        status = self.status or self._execute(call)
        start_response(f"{status} Status", [])
        return [b""]

    def _execute(self, call):
        path, _, token, body = call
        subject = (path, body.get("service"), body.get("zone"))
        if self.requires_fence and token < self._tokens.get(subject, 0):
            self.refused.append(call)
            return 409
        self._tokens[subject] = token
        self.accepted.append(call)
        return 200
