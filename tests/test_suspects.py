"""Requests that crash engines are blocked; all others are served."""

import random
import types

import gevent
import testtools

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import router
from hornbeampier.endpoints import standin_engine
from hornbeampier.policy import health
from hornbeampier.policy import suspects
from hornbeampier.vms import messages
from tests import clusters

FOREVER_MS = 1e9
BYSTANDERS = 12
TOKENS = 150


class PoisonRequestTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(router, "BACKOFF_MS", 20.0)
        self.patch(health, "BASE_EJECTION_MS", 50.0)
        self.patch(suspects, "PEER_CRASH_REPORT_MS", 100.0)

    def start_bystanders(self, cluster, name):
        calls = []
        for number in range(BYSTANDERS):
            text = f"{name} {number} tokens={TOKENS}"
            vm = cluster.vms[number % len(cluster.vms)]
            calls.append((text, gevent.spawn(vm.chat, text)))
        gevent.sleep(0.05)
        return calls

    def check_bystanders(self, calls):
        for text, call in calls:
            response = call.get(timeout=60)
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(
                clusters.expected_text(text, TOKENS), response.text()
            )

    def check_refused(self, response):
        self.assertEqual(422, response.status, response.body)
        error = response.json()["error"]
        self.assertEqual("crashes_endpoints", error["code"])
        self.assertEqual("may_have_run", error["verdict"])

    def test_poison_request_crashes_a_bounded_number_of_endpoints(self):
        self.patch(standin_engine, "RESTART_MS", FOREVER_MS)
        with clusters.Cluster(engines=6, vms=3) as cluster:
            calls = self.start_bystanders(cluster, "a")
            self.check_refused(cluster.vms[0].chat("poison crash"))
            down = self.count_down(cluster)
            self.assertLessEqual(down, suspects.MAX_CRASHES)
            # Repeats through any VM must crash no further endpoint.
            for number in range(6):
                self.check_refused(cluster.vms[number % 3].chat("poison crash"))
            self.assertEqual(down, self.count_down(cluster))
            self.check_bystanders(calls)
            cluster.wait_idle()

    def count_down(self, cluster):
        return sum(e.app._down_until_ms > 0 for e in cluster.engines)

    def test_request_is_not_suspected_if_its_endpoint_was_already_down(self):
        self.patch(standin_engine, "RESTART_MS", FOREVER_MS)
        with clusters.Cluster(engines=1) as cluster:
            self.assertEqual(503, cluster.vm.chat("poison crash").status)
            self.assertEqual(503, cluster.vm.chat("bystander").status)
            self.assertEqual(1, len(cluster.vm.suspects._suspects))

    def test_bystanders_are_served_beside_two_poison_requests(self):
        self.patch(standin_engine, "RESTART_MS", 100.0)
        for engines in (2, 4):
            with clusters.Cluster(engines=engines, vms=2, slots=8) as cluster:
                calls = self.start_bystanders(cluster, str(engines))
                for poison in ("p1 crash", "p2 crash"):
                    self.check_refused(cluster.vms[0].chat(poison))
                    self.check_refused(cluster.vms[1].chat(poison))
                self.check_bystanders(calls)

    def test_unstreamed_repeat_of_a_poison_request_is_refused(self):
        with clusters.Cluster(engines=8) as cluster:
            self.check_refused(cluster.vm.chat("poison crash"))
            self.check_refused(cluster.vm.chat("poison crash", stream=False))
            runs = len(cluster.runs())
            self.check_refused(cluster.vm.chat("poison crash"))
            self.assertEqual(runs, len(cluster.runs()))
            other = cluster.vm.chat(
                "poison crash", headers=[("Authorization", "Bearer key-2")]
            )
            # The same text from another account is a different request.
            self.assertGreater(len(cluster.runs()), runs)
            self.check_refused(other)


class FakeEndpoints:
    def __init__(self, names):
        self.states = {
            name: types.SimpleNamespace(
                name=name,
                in_flight=0,
                leaving=False,
                report=None,
                ejected_until_ms=0.0,
                reported_at_ms=0.0,
            )
            for name in names
        }

    def find(self, name):
        return self.states.get(name)

    def serving(self, target):
        return list(self.states.values())


class SuspectsTest(testtools.TestCase):
    def make_suspects(self, endpoints="abc"):
        self.clock = clock.ManualClock()
        self.endpoints = FakeEndpoints(endpoints)
        self.peers = clusters.LinkedPeers()
        self.changes = []
        return suspects.Suspects(
            self.clock,
            random.Random(1),
            self.endpoints,
            self.peers,
            lambda state: state.in_flight,
            lambda: self.changes.append(None),
        )

    def make_info(self, fingerprint):
        return types.SimpleNamespace(
            fingerprint=fingerprint, target="notes", deadline_ms=1_000.0
        )

    def crash(self, subject, fingerprint, name, alone=True):
        state = self.endpoints.find(name)
        state.in_flight = 1 if alone else 2
        with subject.running(fingerprint, state):
            subject.record_crash(fingerprint, state)
        state.in_flight = 0

    def is_blocked(self, subject, fingerprint):
        try:
            subject.refuse_if_blocked(fingerprint)
        except errors.RefusalError:
            return True
        return False

    def test_request_is_blocked_only_by_a_crash_in_an_isolated_run(self):
        subject = self.make_suspects()
        for name in "ab":
            self.crash(subject, "x", name)
            self.assertFalse(self.is_blocked(subject, "x"))
        self.crash(subject, "x", "c", alone=False)
        self.assertFalse(self.is_blocked(subject, "x"))
        self.crash(subject, "x", "a")
        self.assertTrue(self.is_blocked(subject, "x"))

    def test_crash_is_inconclusive_if_a_request_joined_the_isolated_run(self):
        subject = self.make_suspects()
        for name in "ab":
            self.crash(subject, "x", name)
        state = self.endpoints.find("c")
        state.in_flight = 1
        with subject.running("x", state):
            with subject.running("newcomer", state):
                subject.record_crash("x", state)
        self.assertFalse(self.is_blocked(subject, "x"))

    def test_crash_is_inconclusive_if_a_peer_reports_it_too(self):
        subject = self.make_suspects()
        for name in "ab":
            self.crash(subject, "x", name)
        suspicion = messages.Suspicion("y", (7,), "c", False)
        # The peer's hint arrives while the VM waits for reports of its peers.
        self.patch(self.clock, "sleep", lambda _: subject.merge((suspicion,)))
        self.crash(subject, "x", "c")
        self.assertFalse(self.is_blocked(subject, "x"))

    # Guards against blocking a bystander whose isolated run came to an endpoint
    # that a request of another VM had crashed, and that was not back yet.
    def test_crash_is_inconclusive_if_the_endpoint_may_have_been_down(self):
        subject = self.make_suspects()
        for name in "ab":
            self.crash(subject, "x", name)
        subject.merge((messages.Suspicion("y", (7,), "c", False),))
        self.clock.advance(2 * suspects.PEER_CRASH_REPORT_MS)
        self.crash(subject, "x", "c")
        self.assertFalse(self.is_blocked(subject, "x"))
        self.endpoints.find("c").reported_at_ms = self.clock.now()
        self.crash(subject, "x", "c")
        self.assertTrue(self.is_blocked(subject, "x"))

    def test_suspects_do_not_share_an_endpoint(self):
        subject = self.make_suspects()
        self.crash(subject, "x", "a")
        self.crash(subject, "y", "a")
        x, y, z = map(self.make_info, "xyz")
        with subject.running("x", self.endpoints.find("b")):
            self.assertTrue(subject.must_avoid(y, "b"))
            self.assertFalse(subject.must_avoid(y, "c"))
            self.assertFalse(subject.must_avoid(z, "b"))
        self.assertFalse(subject.must_avoid(y, "b"))

    def test_isolated_run_has_its_endpoint_alone(self):
        subject = self.make_suspects("ab")
        for name in "ab":
            self.crash(subject, "x", name)
        self.endpoints.find("a").in_flight = 3
        x, z = map(self.make_info, "xz")
        with subject.isolate(x, frozenset()):
            self.assertEqual(("b",), subject.reserved_endpoints())
            self.assertTrue(subject.must_avoid(z, "b"))
            self.assertFalse(subject.must_avoid(z, "a"))
            self.assertTrue(subject.must_avoid(x, "a"))
            self.assertFalse(subject.must_avoid(x, "b"))
            # The last open endpoint is never reserved for one suspect.
            self.endpoints.find("a").ejected_until_ms = 1e9
            self.assertFalse(subject.must_avoid(z, "b"))
        self.assertEqual((), subject.reserved_endpoints())

    def test_suspicion_from_a_peer_is_counted_once_and_expires(self):
        subject, other = self.make_suspects(), self.make_suspects()
        self.crash(subject, "x", "a")
        for _ in range(3):
            other.merge(subject.recent_suspicions())
        self.assertEqual(
            suspects.IsolationLevel.APART, other.isolation_level("x")
        )
        self.assertEqual((), other.recent_suspicions())
        self.clock.advance(suspects.EXPIRY_MS)
        self.assertEqual(
            suspects.IsolationLevel.NONE, other.isolation_level("x")
        )

    def test_suspects_and_suspicions_in_a_hint_are_bounded(self):
        subject = self.make_suspects()
        for number in range(suspects.MAX_SUSPECTS + 50):
            self.crash(subject, f"x{number}", "a")
        self.assertEqual(suspects.MAX_SUSPECTS, len(subject._suspects))
        self.assertEqual(
            messages.MAX_SUSPICIONS, len(subject.recent_suspicions())
        )
