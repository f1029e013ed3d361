"""Checks the verdicts of responses against the endpoints' own records.

Guards against a `not_run` for a request that ran, a `ran` for one that did
not, and a second run of a request that must run at most once.
"""

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
CHAT_INSTRUCTIONS = ("tokens=5", "tokens=5 truncate", "crash", "tokens=90")


def add_closed_endpoints(text):
    """Shortens the waits and adds endpoints whose ports are closed."""
    text = text.replace("max_wait_ms = 10000", "max_wait_ms = 100")
    for kind, serves in (("service", "entry"), ("engine", "notes")):
        text += (
            f'\n[[endpoints]]\nname = "closed-{kind}"\nkind = "{kind}"\n'
            f'serves = ["{serves}"]\navailability_zone = "zone-1"\n'
            'host = "127.0.0.1"\nport = 1\n'
        )
    return text


class Session:
    """Random requests under random faults; each verdict is checked."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self.outcomes = collections.Counter()
        self.contradictions = []

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
            self._inject_faults()
            response, retry_safe = send(number, headers)
            ids.append(response.headers["x-request-id"])
            self._check_verdict(response, ids, bool(headers) or not retry_safe)
            if not headers:
                return

    def _chat(self, number, headers):
        rng = random.Random(number)
        instruction = f"{number} {rng.choice(CHAT_INSTRUCTIONS)}"
        stream = rng.random() < 0.5
        vm = self._rng.choice(self._deployment.vms)
        return vm.chat(instruction, stream=stream, headers=headers), True

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
        response = vm.call(
            method, f"/services/entry/{path}", b"%d" % number, headers=headers
        )
        return response, retry_safe

    def _inject_faults(self):
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

    def _check_verdict(self, response, ids, at_most_once):
        verdict, code = "ran", "response"
        if b'"verdict"' in response.body:
            marker = response.body.rfind(b'{"error"')
            body = response.body[marker:].split(b"\n")[0]
            _, code, verdict = embedded.refusal_fields(
                embedded.calls.Response(response.status, {}, body)
            )
        self.outcomes[f"{code} {verdict}"] += 1
        last_runs = self._runs(ids[-1:])
        all_runs = self._runs(ids)
        contradicted = (
            (verdict == "not_run" and last_runs > 0)
            or (verdict == "ran" and all_runs == 0)
            or (at_most_once and all_runs > 1)
        )
        if contradicted:
            self.contradictions.append(
                (ids, code, verdict, last_runs, all_runs)
            )

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
        2,
        engines=2,
        services=2,
        seed=seed,
        edit_configuration=add_closed_endpoints,
    ) as deployment:
        session = Session(deployment, seed)
        session.run()
    return session


class VerdictsUnderFaultsTest(testtools.TestCase):
    def test_no_verdict_contradicts_the_endpoints_records(self):
        tasks = [gevent.spawn(run_session, seed) for seed in SEEDS]
        gevent.joinall(tasks, raise_error=True)
        outcomes = collections.Counter()
        for task in tasks:
            self.assertEqual([], task.value.contradictions)
            outcomes += task.value.outcomes
        for expected_outcome in (
            "response ran",
            "endpoint_failed not_run",
            "endpoint_failed may_have_run",
            "incomplete_answer may_have_run",
            "claims_unavailable not_run",
            "may_have_run may_have_run",
        ):
            self.assertIn(expected_outcome, outcomes)

    def test_internal_error_may_have_run(self):
        def fail(grant, req, new_connection):
            raise ValueError("injected fault of the router")

        self.patch(services, "_send_once", fail)
        with embedded.EmbeddedDeployment(1, services=1) as deployment:
            response = deployment.vms[0].call("PUT", "/services/entry/fees/1")
        self.assertEqual(
            (500, "internal", "may_have_run"), embedded.refusal_fields(response)
        )
