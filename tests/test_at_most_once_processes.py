"""A request runs at most once although processes are killed or frozen."""

import gevent
import testtools

from hornbeampier import errors
from hornbeampier.coordination import claim_records
from tests import calls
from tests import embedded
from tests import processes

ROUTE = "/services/entry/fees/1"
PAST_CLAIM_TIMEOUT_S = 2.2
RUN_MS = 20_000


class KilledAndFrozenProcessesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = processes.Deployment(vms=3, engines=0, services=2)
        self.addCleanup(self.deployment.close)
        self.deployment.__enter__()
        self.services = list(self.deployment.services)
        for vm in self.deployment.vms:
            body = f"first through {vm.name}"
            processes.wait_until(
                lambda vm=vm, body=body: self._send(vm, body).status == 200
            )

    def _send(self, vm, body):
        headers = embedded.idempotency_headers(body.replace(" ", "-"))
        return vm.call("PUT", ROUTE, body.encode(), headers=headers)

    def _send_or_none(self, vm, body):
        try:
            return self._send(vm, body)
        except errors.AttemptError:
            return None

    def _runs(self, body):
        runs = [run for service in self.services for run in service.runs()]
        return sum(run["body"] == body for run in runs)

    def _claims(self):
        path = f"/streams/{claim_records.STREAM}/records?from=0"
        port = self.deployment.platform.port
        rows = calls.call(port, "GET", path).json()["records"]
        return sum(row["data"].count('"type":"claim"') for row in rows)

    def _send_until_claimed(self, vm, body):
        """Sends a request whose claim is in the log but not read back."""
        claims_before = self._claims()
        self.deployment.platform.control(held_stream=claim_records.STREAM)
        task = gevent.spawn(self._send_or_none, vm, body)
        processes.wait_until(lambda: self._claims() > claims_before)
        return task

    def _resume_reading(self):
        self.deployment.platform.control()

    def _repeat(self, vm, body):
        """Repeats the request until its response is final."""
        responses = []

        def is_final():
            responses.append(self._send(vm, body))
            return b"in_progress" not in responses[-1].body

        processes.wait_until(is_final)
        return responses[-1]

    def _check_frozen(self, body, frozen_s):
        """Freezes a VM between claim and dispatch while another repeats."""
        first, second, third = self.deployment.vms
        task = self._send_until_claimed(first, body)
        first.process.freeze()
        self._resume_reading()
        processes.wait_until(
            lambda: b"in_progress" in self._send(second, body).body
        )
        self.assertEqual(0, self._runs(body))
        gevent.sleep(frozen_s)
        first.process.thaw()
        task.join()
        self.assertEqual(200, self._repeat(third, body).status)
        self.assertEqual(200, self._repeat(first, body).status)
        self.assertEqual(1, self._runs(body))

    def test_request_of_a_frozen_vm_and_its_repeat_run_once(self):
        self._check_frozen("thawed in time", 0)
        self._check_frozen("thawed too late", PAST_CLAIM_TIMEOUT_S)

    def test_killed_vm_or_endpoint_causes_no_second_run(self):
        first, second, third = self.deployment.vms
        task = self._send_until_claimed(first, "vm killed")
        first.process.kill()
        self._resume_reading()
        task.join()
        processes.wait_until(
            lambda: b"in_progress" in self._send(second, "vm killed").body
        )
        self.assertEqual(0, self._runs("vm killed"))
        for service in self.services:
            service.control(delay_ms=RUN_MS)
        body = "endpoint killed"
        task = gevent.spawn(self._send, second, body)
        processes.wait_until(lambda: self._runs(body))
        for service in self.services:
            if body in [run["body"] for run in service.runs()]:
                service.process.kill()
                self.services.remove(service)
                break
        refusal = embedded.refusal_fields(task.get())
        self.assertEqual((502, "endpoint_failed", "may_have_run"), refusal)
        refusal = embedded.refusal_fields(self._repeat(third, body))
        self.assertEqual((409, "may_have_run", "may_have_run"), refusal)
        self.assertEqual(0, self._runs(body))
