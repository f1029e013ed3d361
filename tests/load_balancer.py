"""A load balancer like the platform's, which also generates the load.

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
    """Sends only to ready VMs; retries only requests that have not run."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._dropped = set()
        self._ready = []
        self._peers = {}
        self._numbers = itertools.count()
        self._running = False
        self._turn = 0
        self.answered = 0
        self.failures = []
        self.fee_paths = []

    @contextlib.contextmanager
    def load(self, clients):
        self._running = True
        self._poll_once()
        poller = gevent.spawn(self._poll)
        jobs = [gevent.spawn(self._send_all) for _ in range(clients)]
        try:
            yield
        finally:
            self._running = False
            gevent.joinall(jobs, raise_error=True)
            poller.kill()

    def remove(self, vm):
        self._dropped.add(vm.name)

    def wait_answers(self, count):
        wanted = self.answered + count
        processes.wait_until(lambda: self.answered >= wanted)

    def _poll(self):
        while True:
            self._poll_once()
            gevent.sleep(POLL_S)

    def _poll_once(self):
        vms = [v for v in self._deployment.vms if v.name not in self._dropped]
        self._ready = [vm for vm in vms if vm.admin and _is_ready(vm)]

    def _send_all(self):
        while self._running:
            number = next(self._numbers)
            if number % 4 == 0:
                self._pay(f"/fees/{number}")
            else:
                self._ask(number)
            self.answered += 1

    def _pay(self, path):
        answer = self._send("PUT", f"/services/entry{path}", b"fee")
        self.fee_paths.append(path)
        if answer.status != 200 or answer.json()["path"] != path:
            self.failures.append((path, answer))

    def _ask(self, number):
        stream = number % 2 == 1
        body = {
            "model": "notes",
            "stream": stream,
            "messages": [{"role": "user", "content": f"{number} tokens=20"}],
        }
        answer = self._send(
            "POST", "/v1/chat/completions", json.dumps(body).encode()
        )
        whole = answer.status == 200 and len(answer.text().split()) == 20
        if not whole or (stream and answer.events()[-1] != "[DONE]"):
            self.failures.append((number, answer))

    def _send(self, method, path, body):
        answer = None
        while answer is None or _was_not_run(answer):
            if answer or not self._ready:
                gevent.sleep(POLL_S)
            if not self._ready:
                continue
            self._turn += 1
            try:
                answer = self._send_to(
                    self._ready[self._turn % len(self._ready)],
                    method,
                    path,
                    body,
                )
            except errors.AttemptError as exc:
                if exc.verdict is not verdict.Verdict.NOT_RUN:
                    self.failures.append(exc)
                    raise
        return answer

    def _send_to(self, vm, method, path, body):
        """Sends chats over a kept-alive connection, fees over a new one."""
        headers = [("Authorization", "Bearer key-1")]
        if method == "PUT":
            return calls.call(vm.port, method, path, body, headers)
        peer = self._peers.get(vm.name)
        if peer is None:
            peer = http_client.HttpClient(
                processes.HOST, vm.port, calls.CALL_TIMEOUT_MS
            )
            self._peers[vm.name] = peer
        return calls.exchange_with(peer, method, path, body, headers)


def _is_ready(vm):
    try:
        answer = calls.call(vm.admin, "GET", "/readyz")
    except errors.AttemptError:
        return False
    return answer.status == 200


def _was_not_run(answer):
    if answer.status not in (429, 503):
        return False
    return answer.json()["error"]["verdict"] == "not_run"
