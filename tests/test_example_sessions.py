"""Golden files of a session with each example deployment.

They guard against unintended changes of responses, logs and command output.
"""

import dataclasses
import json
import pathlib
import re
import tomllib

from approvaltests import scrubbers
import testtools

from tests import golden
from tests import processes

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
PORT_KEY = re.compile(r"^port = (\d+)$", re.MULTILINE)
DECISION_EVENTS = ("routed", "attempt_failed", "refused")
SHOWN_HEADERS = ("content-type", "retry-after", "x-request-id")
CHAT = "/v1/chat/completions"
MAX_SHOWN_BYTES = 500
OVERSIZED = b"x" * (1_048_576 + 1)
SCRUBS = (
    scrubbers.create_regex_scrubber(
        r"req-[0-9a-f]{24}", lambda index: f"req-{index}"
    ),
    scrubbers.create_regex_scrubber(r'"created":\d+', '"created":<unix s>'),
    scrubbers.create_regex_scrubber(r'"wait_ms": [\d.]+', '"wait_ms": <ms>'),
    scrubbers.create_regex_scrubber(r"\d+\.\d%", "<share>"),
    scrubbers.create_regex_scrubber(r"127\.0\.0\.1:\d+", "<address>"),
)


class ExampleDeployment(processes.Deployment):
    """An example's configuration, with stand-ins as its endpoints."""

    def __init__(self, name):
        self._text = (EXAMPLES / name / "configuration.toml").read_text()
        self._endpoints = tomllib.loads(self._text)["endpoints"]
        self.endpoint_kinds = {e["name"]: e["kind"] for e in self._endpoints}
        super().__init__(vms=3, engines=0)

    def __enter__(self):
        return self

    def _start_extra_standins(self):
        self._standins = [
            self._add(
                processes.Standin(
                    e["kind"], "--name", e["name"], "--slots", e["slots"]
                )
            )
            for e in self._endpoints
        ]

    def configuration(self):
        ports = {
            str(e["port"]): standin.port
            for e, standin in zip(self._endpoints, self._standins, strict=True)
        }
        return PORT_KEY.sub(lambda m: f"port = {ports[m[1]]}", self._text)


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request of a caller with the API key of `account`."""

    account: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple = ()

    def send(self, vm):
        key = f"{self.account}-key"
        return vm.call(self.method, self.path, self.body, key, self.headers)


def chat(account, text, model, stream=False, request_class=None):
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    }
    headers = (("X-Request-Class", request_class),) if request_class else ()
    return CallerRequest(
        account, "POST", CHAT, json.dumps(body).encode(), headers
    )


def refused_requests(account, other_class, model):
    """Returns requests that are refused before they reach an endpoint."""
    messages = b'"messages": [{"role": "user", "content": "Hello"}]'
    return [
        chat("stranger", "Hello", model),
        chat(account, "Hello", "unheard-of"),
        chat(account, "Hello", model, request_class=other_class),
        chat(account, "Hello", model, request_class="unheard-of"),
        CallerRequest(account, "POST", CHAT, b'{"model": "' + model.encode()),
        CallerRequest(account, "POST", CHAT, b"{" + messages + b"}"),
        CallerRequest(account, "POST", CHAT, b'{"model": "x", "messages": []}'),
        CallerRequest(account, "POST", CHAT, OVERSIZED),
        CallerRequest(account, "GET", CHAT),
        CallerRequest(account, "DELETE", "/v1/models"),
        CallerRequest(account, "GET", "/v1/embeddings"),
        CallerRequest(account, "GET", "/services/unheard-of/list"),
    ]


class Session:
    """Sends requests one by one and records a transcript."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._request_count = 0
        self._lines = []

    def text(self):
        return "\n".join(self._lines) + "\n"

    def publish(self, *args):
        result = self._deployment.publish(
            self._deployment.configuration(), *args
        )
        self._lines.append("$ hornbeampier publish FILE " + " ".join(args))
        self._lines.append(result.stdout + result.stderr)

    def status(self):
        vm_list = f"{processes.HOST}:{self._deployment.platform.port}"
        for vm in self._deployment.vms:
            processes.wait_until(lambda vm=vm: not vm.report()["open_requests"])
        result = processes.run("status", "--vm-list", vm_list)
        self._lines += ["$ hornbeampier status", result.stdout]

    def send(self, req):
        vms = self._deployment.vms
        vm = vms[self._request_count % len(vms)]
        self._request_count += 1
        response = req.send(vm)
        self._lines.append(f"{self._request_count}. {req.account} at {vm.name}")
        self._lines.append(f"> {req.method} {req.path}")
        self._lines += [f"> {name}: {value}" for name, value in req.headers]
        self._lines += _quote(">", req.body)
        self._lines.append(f"< {response.status}")
        self._lines += [
            f"< {name}: {response.headers[name]}"
            for name in SHOWN_HEADERS
            if name in response.headers
        ]
        self._lines += _quote("<", response.body)
        self._lines += self._decisions(vm, response.headers["x-request-id"])
        self._lines.append("")

    def _decisions(self, vm, request_id):
        for event in DECISION_EVENTS:
            for line in vm.process.log_lines(event):
                if line["request_id"] == request_id:
                    yield "log " + json.dumps(self._scrub_endpoint(line))

    def _scrub_endpoint(self, line):
        """Replaces endpoint names, as endpoints are chosen at random.

        The chosen endpoint is shown by its kind, those that were passed over
        by the number for each reason.
        """
        shown = {k: v for k, v in line.items() if k != "timestamp"}
        if "endpoint" in shown:
            shown["endpoint"] = (
                f"<{self._deployment.endpoint_kinds[line['endpoint']]}>"
            )
        if "passed_over" in shown:
            reasons = list(line["passed_over"].values())
            shown["passed_over"] = {r: reasons.count(r) for r in set(reasons)}
        return shown


def _quote(prefix, body):
    if len(body) > MAX_SHOWN_BYTES and body == body[:1] * len(body):
        return [f"{prefix} ({len(body)} bytes)"]
    return [f"{prefix} {line}" for line in body.decode().splitlines() if line]


class ExampleSessionTest(testtools.TestCase):
    def check_session(self, name, first_requests, later_requests):
        with ExampleDeployment(name) as deployment:
            session = Session(deployment)
            session.publish()
            deployment.wait_ready(version=0)
            for req in first_requests:
                session.send(req)
            session.publish("--base", "0")
            session.publish("--base", "0")
            deployment.wait_ready(version=1)
            for req in later_requests:
                session.send(req)
            session.status()
        golden.verify(name, session.text(), *SCRUBS)

    def test_cooperative_session_is_unchanged(self):
        key = (("Idempotency-Key", "fee-17"),)
        self.check_session(
            "cooperative",
            [
                chat("judges", "Which timber? tokens=4", "notes", stream=True),
                chat("royal-welsh-show", "A note. tokens=4", "notes"),
                chat(
                    "royal-welsh-show",
                    "Judge: which finish? tokens=3",
                    "notes",
                    request_class="judge-query",
                ),
                chat("photographers", "A caption. tokens=3", "notes"),
                CallerRequest("archive", "GET", "/v1/models"),
                CallerRequest(
                    "stewards", "GET", "/services/entry/stands?hall=2"
                ),
                CallerRequest(
                    "stewards", "PUT", "/services/entry/stands/7", b"bowl"
                ),
                CallerRequest(
                    "exhibitors", "POST", "/services/entry/fees", b"1", key
                ),
                CallerRequest(
                    "exhibitors",
                    "POST",
                    "/services/entry/stand-lists/search",
                    b"platter",
                ),
                *refused_requests("photographers", "judge-query", "notes"),
            ],
            [chat("clwb-aberystwyth", f"{n} tokens=2", "notes") for n in "abc"],
        )

    def test_kauri_session_is_unchanged(self):
        key = (("Idempotency-Key", "crew-9"),)
        self.check_session(
            "kauri",
            [
                chat(
                    "hospital-discharge",
                    "A quote. tokens=4",
                    "drafting",
                    stream=True,
                ),
                chat("napier", "An assessment. tokens=4", "drafting"),
                chat(
                    "nelson",
                    "Which gradient? tokens=3",
                    "guidance",
                    stream=True,
                    request_class="installer-question",
                ),
                CallerRequest("dunedin", "GET", "/v1/models"),
                CallerRequest("wellington", "GET", "/services/jobs/jobs/12"),
                CallerRequest(
                    "wellington", "POST", "/services/jobs/status", b"12"
                ),
                CallerRequest(
                    "hamilton", "POST", "/services/jobs/bookings", b"9", key
                ),
                *refused_requests("hospital-discharge", "job-desk", "drafting"),
            ],
            [chat("tauranga", f"{n} tokens=2", "drafting") for n in "abc"],
        )
