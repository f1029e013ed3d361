"""A load balancer like the platform's, which also generates the requests.

For tests that replace VMs one by one.
"""

import contextlib
import itertools
import json

import gevent

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import verdict
from tests import calls
from tests import processes

POLL_S = 0.03


class LoadBalancer:
    """Sends only to ready VMs; retries only requests that have not run.

    Attributes:
        response_count: Number of responses so far.
        failures: Requests that failed or got an incomplete response.
        fee_paths: Paths of the non-idempotent requests that ran.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._removed = set()
        self._ready_vms = []
        self._clients = {}
        self._request_numbers = itertools.count()
        self._running = False
        self._next_vm = 0
        self.response_count = 0
        self.failures = []
        self.fee_paths = []

    @contextlib.contextmanager
    def load(self, senders):
        """Sends requests from `senders` greenlets while the block runs."""
        self._running = True
        self._update_ready_vms()
        poller = gevent.spawn(self._poll_forever)
        tasks = [gevent.spawn(self._send_while_running) for _ in range(senders)]
        try:
            yield
        finally:
            self._running = False
            gevent.joinall(tasks, raise_error=True)
            poller.kill()

    def remove(self, vm):
        self._removed.add(vm.name)

    def wait_responses(self, count):
        target_count = self.response_count + count
        processes.wait_until(lambda: self.response_count >= target_count)

    def _poll_forever(self):
        while True:
            self._update_ready_vms()
            gevent.sleep(POLL_S)

    def _update_ready_vms(self):
        vms = [v for v in self._deployment.vms if v.name not in self._removed]
        self._ready_vms = [vm for vm in vms if vm.admin_port and _is_ready(vm)]

    def _send_while_running(self):
        while self._running:
            number = next(self._request_numbers)
            if number % 4 == 0:
                self._send_fee(f"/fees/{number}")
            else:
                self._send_chat(number)
            self.response_count += 1

    def _send_fee(self, path):
        response = self._send_until_run("PUT", f"/services/entry{path}", b"fee")
        self.fee_paths.append(path)
        if response.status != 200 or response.json()["path"] != path:
            self.failures.append((path, response))

    def _send_chat(self, number):
        stream = number % 2 == 1
        body = {
            "model": "notes",
            "stream": stream,
            "messages": [{"role": "user", "content": f"{number} tokens=20"}],
        }
        response = self._send_until_run(
            "POST", "/v1/chat/completions", json.dumps(body).encode()
        )
        complete = response.status == 200 and len(response.text().split()) == 20
        if not complete or (stream and response.events()[-1] != "[DONE]"):
            self.failures.append((number, response))

    def _send_until_run(self, method, path, body):
        response = None
        while response is None or _was_not_run(response):
            if response or not self._ready_vms:
                gevent.sleep(POLL_S)
            if not self._ready_vms:
                continue
            self._next_vm += 1
            try:
                response = self._send_to(
                    self._ready_vms[self._next_vm % len(self._ready_vms)],
                    method,
                    path,
                    body,
                )
            except errors.AttemptError as exc:
                if exc.verdict is not verdict.Verdict.NOT_RUN:
                    self.failures.append(exc)
                    raise
        return response

    def _send_to(self, vm, method, path, body):
        """Sends chats over a keep-alive connection, fees over a new one."""
        headers = [("Authorization", "Bearer key-1")]
        if method == "PUT":
            return calls.call(vm.port, method, path, body, headers)
        client = self._clients.get(vm.name)
        if client is None:
            client = http_client.HttpClient(
                processes.HOST, vm.port, calls.CALL_TIMEOUT_MS
            )
            self._clients[vm.name] = client
        return calls.send_with(client, method, path, body, headers)


def _is_ready(vm):
    try:
        response = calls.call(vm.admin_port, "GET", "/readyz")
    except errors.AttemptError:
        return False
    return response.status == 200


def _was_not_run(response):
    if response.status not in (429, 503):
        return False
    return response.json()["error"]["verdict"] == "not_run"
