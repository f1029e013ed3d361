"""Frozen, slow, crashed and partitioned VMs, engines and platform.

Responses must stay complete, and a pause of the VM must not count as a silent
engine.
"""

import json
import random
import socket

import gevent
import msgspec
import testtools

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.endpoints import engine
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import health
from tests import calls
from tests import clusters
from tests import golden
from tests import processes

SLOTS = 4


def make_state(name, inter_token_ms=10.0, samples=100):
    cfg = schema.Endpoint(
        name=name,
        kind="engine",
        serves=("notes",),
        availability_zone="zone-1",
        host="127.0.0.1",
        port=1,
        slots=SLOTS,
    )
    state = registry.EndpointState(cfg, None)
    state.inter_token_ms = inter_token_ms
    state.inter_token_samples = samples
    return state


class HealthTest(testtools.TestCase):
    def test_straggler_is_ejected_once_and_then_measured_again(self):
        states = [make_state(n) for n in "abc"] + [make_state("slow", 90.0)]
        slow = states[-1]
        self.assertTrue(health.eject_straggler(slow, 0.0, states))
        self.assertFalse(health.is_open(slow, 0.0))
        ejection_end_ms = health.STRAGGLER_EJECTION_MS
        self.assertTrue(health.is_open(slow, ejection_end_ms))
        self.assertFalse(health.eject_straggler(slow, ejection_end_ms, states))

    def test_at_most_a_third_of_the_endpoints_is_ejected(self):
        states = [make_state(f"e{n}") for n in range(6)]
        for number, state in enumerate(states[:4]):
            state.inter_token_ms = 1_000.0
            others = [s for s in states if s is not state]
            for other in others:
                other.inter_token_ms = 10.0
            ejected = health.eject_straggler(state, 0.0, states)
            self.assertEqual(number < 2, ejected)
        two = [make_state("a"), make_state("slow", 1_000.0)]
        self.assertFalse(health.eject_straggler(two[1], 0.0, two))

    def test_crash_counts_once_and_the_last_endpoint_returns_soon(self):
        states = [make_state("a"), make_state("b")]
        for _ in range(8):
            health.record_failure(states[0], 0.0, states)
        self.assertEqual(1, states[0].failures)
        for _ in range(8):
            now_ms = states[1].ejected_until_ms
            states[0].ejected_until_ms = now_ms + 1.0
            health.record_failure(states[1], now_ms, states)
            ejection_ms = states[1].ejected_until_ms - now_ms
            self.assertEqual(health.LAST_EJECTION_MS, ejection_ms)


class SlowEngineTest(testtools.TestCase):
    def test_straggling_engine_is_ejected_and_responses_are_complete(self):
        with clusters.Cluster(engines=4) as cluster:
            profile = cluster.engines[0].app._batch.profile
            cluster.engines[0].app._batch.profile = msgspec.structs.replace(
                profile, slowdown=30.0
            )
            texts = [f"{n} tokens=60" for n in range(12)]
            calls = [gevent.spawn(cluster.vm.chat, text) for text in texts]
            for text, call in zip(texts, calls, strict=True):
                expected = clusters.expected_text(text, 60)
                self.assertEqual(expected, call.get(timeout=60).text())
            state = cluster.vm.endpoints.find("engine-1")
            self.assertGreater(state.ejected_until_ms, cluster.vm.clock.now())


class LeapingClock(clock.SystemClock):
    """The clock of a VM that was paused when `leap_ms` is set."""

    leap_ms = 0.0

    def now(self):
        return super().now() + self.leap_ms


class PausedVmTest(testtools.TestCase):
    def time_out(self, leap_ms):
        """Returns the error when an engine stalls and the clock leaps."""
        with clusters.Cluster(engines=1) as cluster:
            cluster.control(0, fault="stall", fault_after=3, fault_count=1)
            port = cluster.engines[0].server.port
            client = http_client.HttpClient(processes.HOST, port, 10_000)
            self.addCleanup(client.close)
            clk = LeapingClock()
            body = b'{"messages": [{"role": "user", "content": "x"}]}'
            req = engine.EngineRequest(
                "req", body, 1, engine.Timeouts(100.0, 100.0)
            )
            events = engine.EngineClient(client, clk).stream(req)
            for _ in range(3):
                next(events)
            gevent.spawn_later(0.05, setattr, clk, "leap_ms", leap_ms)
            return self.assertRaises(errors.AttemptError, next, events)

    def test_pause_of_the_vm_is_not_taken_for_a_silent_engine(self):
        self.assertTrue(self.time_out(0.0).timed_out)
        paused = self.time_out(60_000.0)
        self.assertFalse(paused.timed_out)
        # The router probes the engine after a lost connection and resumes there
        # if it is the same process; see `Router`.
        self.assertTrue(paused.connection_lost)


class PartitionTest(testtools.TestCase):
    def test_load_reports_replace_missing_hints(self):
        peers = clusters.LinkedPeers()
        chooser = choice.EndpointChooser(peers, random.Random(1))
        full, free = make_state("full"), make_state("free")
        full.report = messages.LoadReport(SLOTS, 0, SLOTS)
        full.other_vms_in_flight = SLOTS
        peers.reachable = False
        chosen = chooser.choose([full, free], False, frozenset(), 1.0)
        self.assertEqual("free", chosen.endpoint.name)
        self.assertEqual("full", chosen.passed_over[0].reason)


class Session:
    """Results of calls to real processes, recorded for a golden file."""

    def __init__(self):
        self.lines = []

    def add_line(self, text):
        self.lines.append(text)

    def add_response(self, response, prompt, tokens):
        complete = response.text() == clusters.expected_text(prompt, tokens)
        self.add_line(
            f"{response.status} complete={complete} {response.events()[-1:]}"
        )

    def add_refusal(self, response):
        error = response.json()["error"]
        self.add_line(f"{response.status} {error['code']} {error['verdict']}")


def disconnect_mid_stream(vm, text):
    """Starts a stream, reads its first event and closes the connection."""
    body = json.dumps(
        {
            "model": "notes",
            "stream": True,
            "messages": [{"role": "user", "content": text}],
        }
    )
    sock = socket.create_connection((processes.HOST, vm.port))
    sock.sendall(
        (
            f"POST {clusters.CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: "
            f"Bearer key-1\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
    )
    while b"data:" not in sock.recv(1_000):
        pass
    sock.close()


def busy_engines(deployment, count):
    """Waits for `count` runs; returns the engines with unfinished ones."""

    def runs():
        return [(e, r) for e in deployment.engines for r in e.runs()]

    processes.wait_until(lambda: len(runs()) >= count)
    return [e for e, r in runs() if not r["finished"]]


class FaultSessionTest(testtools.TestCase):
    def test_responses_are_complete_when_processes_crash_or_freeze(self):
        session = Session()
        with processes.Deployment(vms=2, engines=6, slots=4) as deployment:
            self.crash(deployment, session)
            self.poison(deployment, session)
            self.caller_gone(deployment, session)
            self.frozen_vm(deployment, session)
            self.platform_down(deployment, session)
        golden.verify("faults", "\n".join(session.lines) + "\n")

    def crash(self, deployment, session):
        session.add_line("# An engine is killed in the middle of a response.")
        prompt = "Describe the bowl tokens=300"
        call = gevent.spawn(deployment.vms[0].chat, prompt, stream=True)
        engine = busy_engines(deployment, 1)[0]
        processes.wait_until(lambda: engine.runs()[0]["tokens"] > 5)
        engine.process.kill()
        deployment.engines.remove(engine)
        session.add_response(call.get(timeout=30), prompt, 300)
        runs = [r for e in deployment.engines for r in e.runs()]
        resumed = [r for r in runs if r["start"] > 0]
        session.add_line(f"resumed runs: {len(resumed)}")
        rest = [r["start"] + r["tokens"] for r in resumed]
        session.add_line(f"tokens in all: {rest}")

    def poison(self, deployment, session):
        session.add_line(
            "# A request that crashes engines, sent through both VMs."
        )
        for vm in (*deployment.vms, *deployment.vms):
            session.add_refusal(vm.chat("Oak crash"))
        crashed = [
            r for e in deployment.engines for r in e.runs() if not r["tokens"]
        ]
        session.add_line(f"crashes: {len(crashed)}")

    def caller_gone(self, deployment, session):
        session.add_line("# A caller disconnects.")
        vm = deployment.vms[0]
        disconnect_mid_stream(vm, "tokens=100000")
        processes.wait_until(lambda: vm.report()["open_requests"] == 0)
        in_flight = [e["in_flight"] for e in vm.report()["endpoints"]]
        session.add_line(f"in flight: {sum(in_flight)}")
        processes.wait_until(lambda: not self.running(deployment))
        session.add_line("at engines: 0")

    def running(self, deployment):
        loads = [
            calls.call(e.port, "GET", "/load").json()
            for e in deployment.engines
        ]
        return sum(x["running"] for x in loads)

    def frozen_vm(self, deployment, session):
        session.add_line("# A VM is frozen in the middle of a response.")
        frozen, other = deployment.vms
        prompt = "Label the platter tokens=40"
        call = gevent.spawn(frozen.chat, prompt, stream=True)
        gevent.sleep(0.2)
        frozen.process.freeze()
        prompt_2 = "Label the spindle tokens=5"
        session.add_line("its peer:")
        session.add_response(other.chat(prompt_2, stream=True), prompt_2, 5)
        gevent.sleep(0.5)
        frozen.process.thaw()
        session.add_line("itself, after it continues:")
        session.add_response(call.get(timeout=30), prompt, 40)

    def platform_down(self, deployment, session):
        session.add_line("# The platform is down.")
        deployment.platform.process.kill()
        for vm in deployment.vms:
            prompt = "Ash or elm? tokens=5"
            session.add_response(vm.chat(prompt, stream=True), prompt, 5)
