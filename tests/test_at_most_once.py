"""A request with an idempotency key runs at most once, whatever fails.

The runs are counted at the endpoints.
"""

import struct

import gevent
from gevent import socket
import testtools

from hornbeampier import http_client
from hornbeampier.coordination import standin
from hornbeampier.endpoints import standin_service
from tests import calls
from tests import embedded
from tests import golden
from tests import processes

ROUTE = "/services/entry/fees/1"
IDEMPOTENT_ROUTE = "/services/entry/pieces"
SHORT_WAIT_MS = 1_000
# The option by which a closed socket resets its connection.
RESET = struct.pack("ii", 1, 0)


def shorten_max_wait(text):
    return text.replace("max_wait_ms = 10000", f"max_wait_ms = {SHORT_WAIT_MS}")


def describe(response):
    """The status of a response, with code and verdict if it is a refusal."""
    if b'"verdict"' in response.body and response.status != 200:
        text = "{} {} {}".format(*embedded.refusal_fields(response))
        return text + (" retry" if "retry-after" in response.headers else "")
    replayed = response.headers.get("idempotent-replayed")
    return f"{response.status}" + (" replayed" if replayed else "")


class Session:
    """Sends requests and records each response with the runs so far."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._count = 0
        self.lines = []
        self.max_runs = 0

    @property
    def body(self):
        return f"fee {self._count:02}"

    def begin(self, title):
        """Starts a new key with a body of its own."""
        self._deployment.settle()
        for service in self._deployment.services:
            service.app.control = standin_service.ServiceControl()
        self._count += 1
        self.lines.append(f"\n{title}")

    def break_log(self, **faults):
        self._deployment.platform.faults = standin.Faults(
            faulty_stream="claims", **faults
        )

    def break_services(self, **faults):
        for service in self._deployment.services:
            service.app.control = standin_service.ServiceControl(**faults)

    def settle(self):
        self._deployment.settle()

    def apply_late_appends(self):
        """Applies delayed appends; waits until all VMs have read them."""
        self._deployment.platform.apply_late_appends()
        self._deployment.wait_claims_read()

    def end_service_faults(self):
        """Ends the faults of the services; waits for their reports."""
        self.break_services()
        self._deployment.wait_no_endpoint_leaving()

    def wait_for_outcome(self):
        """Waits until both VMs know how the run ended."""
        for vm in self._deployment.vms:
            processes.wait_until(
                lambda vm=vm: not vm.daemon.make_report().open_requests
            )
        self.settle()

    def send_and_reset(self, number, method, path, body):
        """Sends a request and resets the connection during its run."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
            "Authorization: Bearer key-1\r\n"
            f"Idempotency-Key: key-{self._count}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        port = self._deployment.vms[number - 1].port
        with socket.create_connection((processes.HOST, port)) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.sendall((head + body).encode())
            processes.wait_until(self.runs)
        self.record_line(f"vm-{number}: the caller disconnected")

    def send(self, number, body=None, key=True, account="key-1"):
        """Sends the request of the scenario and records its response."""
        response = self.request(number, body, key, account)
        self.record_line(f"vm-{number}: {describe(response)}")

    def request(self, number, body=None, key=True, account="key-1"):
        """Sends the request of the scenario through a VM."""
        headers = embedded.idempotency_headers(
            f"key {self._count}".replace(" ", "-")
        )
        return self._deployment.vms[number - 1].call(
            "PUT",
            ROUTE,
            (body or self.body).encode(),
            key=account,
            headers=headers if key else [],
        )

    def chat(self, number, directives, stream):
        """Sends a chat with the scenario's key and directives to the engine."""
        headers = embedded.idempotency_headers(f"key-{self._count}")
        response = self._deployment.vms[number - 1].chat(
            f"{self.body} {directives}", stream=stream, headers=headers
        )
        text = describe(response)
        if "event: error" in response.body.decode():
            text += " with an error event"
        self.record_line(f"vm-{number}: {text}")

    def break_engines(self, drop_after):
        for engine in self._deployment.engines:
            engine.app.control.drop_after = drop_after

    def record_line(self, text):
        runs = self.runs()
        self.max_runs = max(self.max_runs, runs)
        self.lines.append(f"  {text}; runs: {runs}")

    def runs(self):
        return sum(
            run.body.startswith(self.body)
            for service in self._deployment.services
            for run in service.app.runs
        ) + sum(
            self.body in run.prompt
            for engine in self._deployment.engines
            for run in engine.app.runs
        )

    def transcript(self):
        return "\n".join(self.lines).strip() + "\n"


def replay(session):
    session.begin("A repeat gets the stored response, through any VM")
    session.send(1)
    session.settle()
    session.send(2)
    session.send(1)
    session.send(2, body="another body")


def key_of_another_account(session):
    session.begin("Two accounts use the same key")
    session.send(1)
    session.settle()
    session.send(2, body="fee of the other account", account="key-2")


def concurrent(session):
    session.begin("Concurrent repeats through both VMs")
    session.break_services(delay_ms=100)
    tasks = [
        gevent.spawn(session.request, number) for number in (1, 2, 1, 2, 1, 2)
    ]
    gevent.joinall(tasks, raise_error=True)
    texts = sorted(describe(task.value) for task in tasks)
    session.record_line(", ".join(texts))


def lost_append_response(session):
    session.begin("The response to the append of the claim is lost")
    session.break_log(lose_append_answers=1)
    session.send(1)
    session.settle()
    session.send(2)


def claim_after_release(session):
    session.begin("An abandoned claim takes effect after its release")
    session.break_log(late_appends=1)
    session.send(1)
    session.settle()
    session.send(2)
    session.settle()
    session.send(1)


def claim_before_release(session):
    session.begin("An abandoned claim takes effect before its release")
    session.break_log(late_appends=1, refuse_appends=True)
    session.send(1)
    session.apply_late_appends()
    session.send(2)
    session.settle()
    session.send(2)


def outage(session):
    session.begin("The log is down: a known key")
    session.send(1)
    session.settle()
    session.break_log(log_down=True)
    session.send(2)
    session.begin("The log is down: a new key")
    session.break_log(log_down=True)
    session.send(2)
    session.settle()
    session.send(2)


def endpoint_faults(session):
    for title, fault in (
        ("The endpoint drops the request before its run", "refuse_before_run"),
        ("The endpoint drops the request after its run", "lose_answers"),
        ("The endpoint truncates its response", "cut_answers"),
    ):
        session.begin(title)
        session.break_services(**{fault: 1})
        session.send(1)
        session.settle()
        session.send(2)
    session.begin("Without a key")
    session.break_services(lose_answers=1)
    session.send(1, key=False)


def responses_and_errors(session):
    session.begin("Every endpoint is leaving, then open")
    session.break_services(leaving=True)
    session.send(1)
    session.settle()
    session.end_service_faults()
    session.send(2)
    session.begin("An error response is stored and replayed")
    session.break_services(status=500)
    session.send(1)
    session.settle()
    session.send(2)
    session.begin("A response too large to be stored")
    big = session.body + "x" * 5_000
    session.send(1, body=big)
    session.settle()
    session.send(2, body=big)


def disconnected_caller(session):
    session.begin("The caller disconnects during the run")
    session.break_services(delay_ms=150)
    session.send_and_reset(1, "PUT", ROUTE, session.body)
    session.wait_for_outcome()
    session.send(2)
    session.begin("The caller disconnects during a streamed chat")
    body = calls.chat_body(f"{session.body} tokens=20", stream=True)
    session.send_and_reset(1, "POST", "/v1/chat/completions", body)
    session.wait_for_outcome()
    session.chat(2, "tokens=20", stream=True)


def chats(session):
    for stream in (True, False):
        session.begin(f"A chat, streamed: {stream}")
        session.chat(1, "tokens=5", stream)
        session.settle()
        session.chat(2, "tokens=5", stream)
        session.chat(2, "tokens=5", not stream)
        session.begin(f"A chat is interrupted, streamed: {stream}")
        session.break_engines(drop_after=2)
        session.chat(1, "tokens=5", stream)
        session.settle()
        session.break_engines(drop_after=0)
        session.chat(2, "tokens=5", stream)


SCENARIOS = (
    replay,
    key_of_another_account,
    concurrent,
    lost_append_response,
    claim_after_release,
    claim_before_release,
    outage,
    endpoint_faults,
    responses_and_errors,
    disconnected_caller,
    chats,
)


class AtMostOnceTest(testtools.TestCase):
    def test_no_key_runs_twice_under_faults(self):
        with embedded.EmbeddedDeployment(
            2, engines=2, services=2, edit_configuration=shorten_max_wait
        ) as deployment:
            session = Session(deployment)
            for scenario in SCENARIOS:
                scenario(session)
        self.assertEqual(1, session.max_runs)
        golden.verify("at_most_once", session.transcript())

    def test_requests_that_must_not_run_twice_use_new_connections(self):
        sent_requests = []
        send = http_client.HttpClient.send

        def record(peer, req):
            sent_requests.append((peer.port, req.path, req.new_connection))
            return send(peer, req)

        with embedded.EmbeddedDeployment(
            1, engines=1, services=1
        ) as deployment:
            vm = deployment.vms[0]
            self.patch(http_client.HttpClient, "send", record)
            vm.chat("tokens=1")
            vm.chat("tokens=1", headers=embedded.idempotency_headers("chat"))
            vm.call("PUT", IDEMPOTENT_ROUTE)
            vm.call(
                "PUT",
                IDEMPOTENT_ROUTE,
                headers=embedded.idempotency_headers("piece"),
            )
            vm.call("PUT", ROUTE)
        new_connections = {
            path: [
                row[2]
                for row in sent_requests
                if row[0] != vm.port and row[1] == path
            ]
            for path in ("/v1/chat/completions", "/pieces", "/fees/1")
        }
        self.assertEqual([False, True], new_connections["/v1/chat/completions"])
        self.assertEqual([False, True], new_connections["/pieces"])
        self.assertEqual([True], new_connections["/fees/1"])
