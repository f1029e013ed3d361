"""Verdicts of refusals against the endpoints' own records."""

import collections
import random

import gevent
import testtools

from hornbeampier.callers import services
from hornbeampier.coordination import standin
from hornbeampier.endpoints import standin_engine
from hornbeampier.endpoints import standin_service
from tests import embedded

SEEDS = (1, 2, 3)
REQUESTS = 60
SERVICE_FAULTS = (
    standin_service.ServiceControl(),
    standin_service.ServiceControl(leaving=True),
    standin_service.ServiceControl(refuse_before_run=1),
    standin_service.ServiceControl(lose_answers=1),
    standin_service.ServiceControl(cut_answers=1),
    standin_service.ServiceControl(status=500),
    standin_service.ServiceControl(status=404),
)
ENGINE_FAULTS = (
    standin_engine.EngineControl(),
    standin_engine.EngineControl(leaving=True),
    standin_engine.EngineControl(drop_after=2),
)
LOG_FAULTS = (
    (20, standin.Faults()),
    (2, standin.Faults(log_down=True)),
    (2, standin.Faults(lose_append_answers=1)),
    (1, standin.Faults(late_appends=1)),
)
CHAT_ORDERS = ("tokens=5", "tokens=5 truncate", "crash", "tokens=90")


def closed_endpoints(text):
    """Short waits, and endpoints on whose ports nobody listens."""
    text = text.replace("max_wait_ms = 10000", "max_wait_ms = 100")
    for kind, serves in (("service", "entry"), ("engine", "notes")):
        text += (
            f'\n[[endpoints]]\nname = "closed-{kind}"\nkind = "{kind}"\n'
            f'serves = ["{serves}"]\navailability_zone = "zone-1"\n'
            'host = "127.0.0.1"\nport = 1\n'
        )
    return text


class Session:
    """Random requests under random faults, each judged as it ends."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self.seen = collections.Counter()
        self.lies = []

    def run(self):
        for number in range(REQUESTS):
            self._request(number)

    def _request(self, number):
        send = self._rng.choice((self._chat, self._service))
        headers = []
        if self._rng.random() < 0.5:
            headers = embedded.idempotency_headers(f"key-{number}")
        ids = []
        for _ in range(self._rng.choice((1, 1, 3))):
            self._deployment.settle()
            self._break()
            answer, retry_safe = send(number, headers)
            ids.append(answer.headers["x-request-id"])
            self._judge(answer, ids, bool(headers) or not retry_safe)
            if not headers:
                return

    def _chat(self, number, headers):
        rng = random.Random(number)
        order = f"{number} {rng.choice(CHAT_ORDERS)}"
        stream = rng.random() < 0.5
        vm = self._rng.choice(self._deployment.vms)
        return vm.chat(order, stream=stream, headers=headers), True

    def _service(self, number, headers):
        rng = random.Random(number)
        method, path, retry_safe = rng.choice(
            (
                ("PUT", "fees/1", False),
                ("POST", "pieces", False),
                ("PUT", "pieces/1", True),
            )
        )
        vm = self._rng.choice(self._deployment.vms)
        answer = vm.call(
            method, f"/services/entry/{path}", b"%d" % number, headers=headers
        )
        return answer, retry_safe

    def _break(self):
        for service in self._deployment.services:
            fault = self._rng.choice(SERVICE_FAULTS)
            service.app.control = standin_service.ServiceControl(
                **{f: getattr(fault, f) for f in fault.__struct_fields__}
            )
        for engine in self._deployment.engines:
            engine.app.control = self._rng.choice(ENGINE_FAULTS)
        weights, faults = zip(*LOG_FAULTS, strict=True)
        fault = self._rng.choices(faults, weights)[0]
        self._deployment.platform.faults = standin.Faults(
            **{f: getattr(fault, f) for f in fault.__struct_fields__}
        )
        self._deployment.platform.faults.faulty_stream = "claims"

    def _judge(self, answer, ids, at_most_once):
        verdict, code = "ran", "answer"
        if b'"verdict"' in answer.body:
            marker = answer.body.rfind(b'{"error"')
            body = answer.body[marker:].split(b"\n")[0]
            _, code, verdict = embedded.refusal_fields(
                embedded.calls.Response(answer.status, {}, body)
            )
        self.seen[f"{code} {verdict}"] += 1
        own = self._runs(ids[-1:])
        every = self._runs(ids)
        false = (
            (verdict == "not_run" and own > 0)
            or (verdict == "ran" and every == 0)
            or (at_most_once and every > 1)
        )
        if false:
            self.lies.append((ids, code, verdict, own, every))

    def _runs(self, ids):
        endpoints = [*self._deployment.services, *self._deployment.engines]
        return sum(
            run.request_id in ids
            for endpoint in endpoints
            for run in endpoint.app.runs
        )


def run_session(seed):
    """Runs the session of one seed on a deployment of its own."""
    with embedded.EmbeddedDeployment(
        2, engines=2, services=2, seed=seed, edit_configuration=closed_endpoints
    ) as deployment:
        session = Session(deployment, seed)
        session.run()
    return session


class VerdictsUnderFaultsTest(testtools.TestCase):
    def test_no_verdict_contradicts_the_endpoints_records(self):
        tasks = [gevent.spawn(run_session, seed) for seed in SEEDS]
        gevent.joinall(tasks, raise_error=True)
        seen = collections.Counter()
        for task in tasks:
            self.assertEqual([], task.value.lies)
            seen += task.value.seen
        for needed in (
            "answer ran",
            "endpoint_failed not_run",
            "endpoint_failed may_have_run",
            "incomplete_answer may_have_run",
            "claims_unavailable not_run",
            "may_have_run may_have_run",
        ):
            self.assertIn(needed, seen)

    def test_an_internal_error_may_have_run(self):
        def fail(grant, req, new_connection):
            raise ValueError("a fault in the router")

        self.patch(services, "_exchange", fail)
        with embedded.EmbeddedDeployment(1, services=1) as deployment:
            answer = deployment.vms[0].call("PUT", "/services/entry/fees/1")
        self.assertEqual(
            (500, "internal", "may_have_run"), embedded.refusal_fields(answer)
        )
