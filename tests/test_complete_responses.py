"""Responses are complete and the caller's own if a fault interrupts a stream.

Also guards against requests, slots and connections that outlive their caller.
"""

import dataclasses
import random
import socket

import gevent
import testtools

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import request_info
from hornbeampier import router
from hornbeampier.callers import connection
from hornbeampier.endpoints import standin_engine
from hornbeampier.policy import health
from hornbeampier.policy import timeouts
from tests import calls
from tests import clusters
from tests import processes

FAULTS = list(standin_engine.StreamFault)
TOKENS = 12


class CompleteResponseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(timeouts, "MIN_FIRST_TOKEN_MS", 150.0)
        self.patch(timeouts, "MAX_FIRST_TOKEN_MS", 150.0)
        self.patch(timeouts, "MIN_BETWEEN_TOKENS_MS", 150.0)
        self.patch(timeouts, "MAX_BETWEEN_TOKENS_MS", 150.0)
        self.patch(router, "BACKOFF_MS", 20.0)
        self.patch(health, "BASE_EJECTION_MS", 50.0)

    def check_complete(self, response, prompt, tokens):
        self.assertEqual(200, response.status, response.body)
        expected = clusters.expected_text(prompt, tokens)
        self.assertEqual(expected, response.text())
        if response.headers["content-type"] == "text/event-stream":
            self.assertEqual("[DONE]", response.events()[-1])
            self.assertEqual(tokens + 1, len(response.events()))

    def test_each_fault_in_a_stream_is_resumed(self):
        with clusters.Cluster(engines=2) as cluster:
            for number, fault in enumerate(FAULTS):
                for stream in (True, False):
                    for index in range(2):
                        cluster.control(
                            index, fault=fault, fault_after=5, fault_count=1
                        )
                    prompt = f"{number} {stream} tokens={TOKENS}"
                    response = cluster.vm.chat(prompt, stream)
                    self.check_complete(response, prompt, TOKENS)
                    cluster.wait_idle()
            resumed = [r for r in cluster.runs() if r.start]
            self.assertGreaterEqual(len(resumed), 2 * len(FAULTS))
            for run in resumed:
                # The engine gets the received text, and computes only the rest.
                self.assertEqual(
                    7 * run.start, len(run.resume_text.encode()), run
                )
                self.assertLessEqual(run.tokens, TOKENS - run.start)

    def test_a_lost_connection_resumes_at_the_same_engine(self):
        with clusters.Cluster(engines=3) as cluster:
            for index in range(3):
                cluster.control(
                    index, fault="drop", fault_after=5, fault_count=1
                )
            self.check_complete(
                cluster.vm.chat("x tokens=12"), "x tokens=12", 12
            )
            used = [len(e.app.runs) for e in cluster.engines]
            self.assertEqual([0, 0, 2], sorted(used))
            self.assertEqual([], [s for s in cluster.vm.suspects._suspects])

    def test_engine_that_cannot_resume_leads_to_an_error(self):
        with clusters.Cluster(engines=1) as cluster:
            cluster.control(
                0, fault="drop", fault_after=5, fault_count=1, no_resume=True
            )
            response = cluster.vm.chat("x tokens=12")
            events = response.events()
            self.assertEqual(6, len(events))
            self.assertNotIn("[DONE]", events)
            self.assertIn('"verdict":"may_have_run"', events[-1])
            cluster.control(
                0, fault="drop", fault_after=5, fault_count=1, no_resume=True
            )
            unstreamed = cluster.vm.chat("x tokens=12", stream=False)
            self.assertEqual(502, unstreamed.status)
            self.assertEqual(
                "incomplete_answer", unstreamed.json()["error"]["code"]
            )

    def test_no_event_of_another_request_reaches_the_caller(self):
        with clusters.Cluster(engines=1) as cluster:
            cluster.control(0, fault="cross", fault_after=3, fault_count=1)
            response = cluster.vm.chat("x tokens=12")
            self.check_complete(response, "x tokens=12", 12)
            self.assertNotIn(b"secret", response.body)

    def test_connection_lost_after_the_last_token_is_no_failure(self):
        with clusters.Cluster(engines=1) as cluster:
            cluster.control(0, drop_after=12)
            self.check_complete(
                cluster.vm.chat("x tokens=12"), "x tokens=12", 12
            )
            self.assertEqual(1, len(cluster.runs()))

    def test_bad_request_is_no_failure_of_the_engine(self):
        with clusters.Cluster(engines=1) as cluster:
            body = (
                b'{"model": "notes",'
                b' "messages": [{"role": "user", "content": []}]}'
            )
            port = cluster.vm.server.port
            response = calls.call(
                port, "POST", clusters.CHAT, body, [clusters.AUTH_HEADER]
            )
            self.assertEqual(400, response.status)
            self.assertEqual("not_run", response.json()["error"]["verdict"])
            state = cluster.vm.endpoints.find("engine-1")
            self.assertEqual(0, state.failures)

    def test_request_is_retried_unless_all_engines_are_silent(self):
        with clusters.Cluster(engines=2) as cluster:
            # The silent engine costs a request at most one timeout; the other
            # engine then runs it.
            cluster.engines[0].app._batch.frozen = True
            for number in range(4):
                prompt = f"{number} tokens=3"
                self.check_complete(cluster.vm.chat(prompt), prompt, 3)
            cluster.engines[1].app._batch.frozen = True
            response = cluster.vm.chat("hang tokens=3")
            self.assertEqual(504, response.status)
            self.assertEqual("1", response.headers["retry-after"])
            self.assertEqual(
                "may_have_run", response.json()["error"]["verdict"]
            )


class CallerGoneTest(testtools.TestCase):
    def open_request(self, cluster, text, expected_bytes=b""):
        """Sends a request; returns its socket once `expected_bytes` arrived."""
        sock = socket.create_connection(
            (processes.HOST, cluster.vm.server.port)
        )
        sock.settimeout(10)
        body = (
            '{"model": "notes", "stream": true, "messages": [{"role": "user",'
            f' "content": "{text}"}}]}}'
        )
        sock.sendall(
            (
                f"POST {clusters.CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: "
                f"Bearer key-1\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )
        data = b""
        while expected_bytes and expected_bytes not in data:
            data += sock.recv(1_000)
        return sock

    def test_request_is_cancelled_if_its_caller_goes_before_the_first_token(
        self,
    ):
        with clusters.Cluster(engines=1, slots=1, prefill_ms=200.0) as cluster:
            first = self.open_request(cluster, "tokens=100000")
            processes.wait_until(lambda: cluster.runs())
            # The second request waits in the engine's queue.
            second = self.open_request(cluster, "x tokens=100000")
            processes.wait_until(lambda: len(cluster.runs()) == 2)
            second.close()
            processes.wait_until(lambda: cluster.vm.app.open_requests == 1)
            first.close()
            cluster.wait_idle()
            self.assertEqual([0], [r.tokens for r in cluster.runs()][1:])
            computed = cluster.engines[0].app._batch.computed_tokens
            self.assertLess(computed, 100_000)

    def test_queued_request_leaves_the_queue_if_its_caller_goes(self):
        with clusters.Cluster(engines=1, slots=1) as cluster:
            held = [
                self.open_request(cluster, "tokens=100000") for _ in range(2)
            ]
            processes.wait_until(lambda: len(cluster.runs()) == 2)
            queued = self.open_request(cluster, "x tokens=100000")
            processes.wait_until(
                lambda: (
                    sum(cluster.vm.scheduler.waiting_by_class().values()) == 1
                )
            )
            queued.close()
            processes.wait_until(
                lambda: (
                    sum(cluster.vm.scheduler.waiting_by_class().values()) == 0
                )
            )
            for sock in held:
                sock.close()
            cluster.wait_idle()
            self.assertEqual(2, len(cluster.runs()))

    def test_disconnect_is_noticed_behind_pipelined_bytes(self):
        self.patch(timeouts, "MIN_FIRST_TOKEN_MS", 60_000.0)
        with clusters.Cluster(engines=1) as cluster:
            cluster.engines[0].app._batch.frozen = True
            sock = self.open_request(cluster, "tokens=100000")
            processes.wait_until(lambda: cluster.runs())
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            gevent.sleep(0.1)
            sock.close()
            processes.wait_until(
                lambda: not cluster.vm.app.open_requests, timeout_s=10
            )


class LeakTest(testtools.TestCase):
    def test_no_slot_or_connection_leaks_under_random_faults(self):
        self.patch(timeouts, "MIN_FIRST_TOKEN_MS", 200.0)
        self.patch(timeouts, "MAX_FIRST_TOKEN_MS", 200.0)
        self.patch(timeouts, "MAX_BETWEEN_TOKENS_MS", 200.0)
        self.patch(timeouts, "MIN_BETWEEN_TOKENS_MS", 200.0)
        self.patch(standin_engine, "RESTART_MS", 50.0)
        self.patch(health, "BASE_EJECTION_MS", 50.0)
        self.patch(router, "BACKOFF_MS", 20.0)
        rng = random.Random(4)
        with clusters.Cluster(engines=3, vms=2) as cluster:
            for _ in range(6):
                self.run_round(cluster, rng)
                cluster.wait_idle()
            pools = [
                state.http_client._pool
                for vm in cluster.vms
                for state in vm.endpoints.all()
            ]
            # Cancel requests may still hold connections.
            processes.wait_until(
                lambda: {p._semaphore.counter for p in pools} == {256}, 5
            )

    def run_round(self, cluster, rng):
        for index in range(3):
            cluster.control(
                index,
                fault=rng.choice(FAULTS),
                fault_after=rng.randrange(8),
                fault_count=rng.randrange(4),
            )
        texts = [
            f"{rng.random()} tokens={rng.randrange(1, 30)}" for _ in range(20)
        ]
        texts += [f"{rng.random()} crash"]
        calls = [
            gevent.spawn(self.one_call, rng.choice(cluster.vms), text, rng)
            for text in texts
        ]
        gevent.joinall(calls, raise_error=True)

    def one_call(self, vm, text, rng):
        with gevent.Timeout(rng.choice([0.03, 60, 60, 60, 60]), False):
            response = vm.chat(text, stream=rng.random() < 0.5)
            events = response.events()
            if response.status != 200:
                self.assertIn("verdict", response.json()["error"])
            elif events and events[-1] != "[DONE]":
                self.assertIn("verdict", events[-1])
            else:
                tokens = int(text.rpartition("=")[2])
                self.assertEqual(
                    clusters.expected_text(text, tokens), response.text()
                )


class ConnectionPoolTest(testtools.TestCase):
    def test_task_killed_before_it_has_its_socket_leaks_no_slot(self):
        with clusters.Cluster(engines=1) as cluster:
            port = cluster.engines[0].server.port
            client = http_client.HttpClient(processes.HOST, port, 10_000)
            self.addCleanup(client.close)
            req = http_client.OutgoingRequest("GET", "/load")
            client.call(req)
            task = gevent.spawn(client.call, req)
            # Runs after the task has started and before it goes on.
            gevent.get_hub().loop.run_callback(
                task.throw, connection.CallerGoneError
            )
            task.join()
            self.assertEqual(256, client._pool._semaphore.counter)


class AdmissionTest(testtools.TestCase):
    def test_begun_response_is_not_refused_at_admission(self):
        with clusters.Cluster(engines=1) as cluster:
            subject = cluster.vm.scheduler
            self.patch(subject, "_predict_wait_ms", lambda _: 1e12)
            account = cluster.cfg.accounts[0]
            info = request_info.RequestInfo(
                "req", "notes", cluster.cfg.classes[1], account, 0.0, 1e12, "f"
            )
            self.assertRaises(errors.RefusalError, subject.acquire, info)
            for begun in ({"retried": True}, {"preemptions": 1}):
                begun = dataclasses.replace(info, **begun)
                subject.release(subject.acquire(begun))
