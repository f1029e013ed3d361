"""Requests that crash engines, and the innocent ones beside them."""

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
INNOCENTS = 12
TOKENS = 150


class PoisonTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(router, "BACKOFF_MS", 20.0)
        self.patch(health, "BASE_EJECTION_MS", 50.0)
        self.patch(suspects, "CONFIRM_MS", 100.0)

    def start_innocents(self, cluster, name):
        calls = []
        for number in range(INNOCENTS):
            text = f"{name} {number} tokens={TOKENS}"
            vm = cluster.vms[number % len(cluster.vms)]
            calls.append((text, gevent.spawn(vm.chat, text)))
        gevent.sleep(0.05)
        return calls

    def check_innocents(self, calls):
        for text, call in calls:
            answer = call.get(timeout=60)
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(
                clusters.expected_text(text, TOKENS), answer.text()
            )

    def check_refused(self, answer):
        self.assertEqual(422, answer.status, answer.body)
        error = answer.json()["error"]
        self.assertEqual("crashes_endpoints", error["code"])
        self.assertEqual("may_have_run", error["verdict"])

    def test_a_poison_request_costs_a_bounded_number_of_endpoints(self):
        self.patch(standin_engine, "RESTART_MS", FOREVER_MS)
        with clusters.Cluster(engines=6, vms=3) as cluster:
            calls = self.start_innocents(cluster, "a")
            self.check_refused(cluster.vms[0].chat("poison crash"))
            down = self.count_down(cluster)
            self.assertLessEqual(down, suspects.MAX_CRASHES)
            # The caller repeats it through every VM.
            for number in range(6):
                self.check_refused(cluster.vms[number % 3].chat("poison crash"))
            self.assertEqual(down, self.count_down(cluster))
            self.check_innocents(calls)
            cluster.wait_idle()

    def count_down(self, cluster):
        return sum(e.app._down_until_ms > 0 for e in cluster.engines)

    def test_no_request_is_suspected_for_an_endpoint_that_was_down(self):
        self.patch(standin_engine, "RESTART_MS", FOREVER_MS)
        with clusters.Cluster(engines=1) as cluster:
            self.assertEqual(503, cluster.vm.chat("poison crash").status)
            self.assertEqual(503, cluster.vm.chat("innocent").status)
            self.assertEqual(1, len(cluster.vm.suspects._records))

    def test_an_innocent_request_survives_two_poison_requests(self):
        self.patch(standin_engine, "RESTART_MS", 100.0)
        for engines in (2, 4):
            with clusters.Cluster(engines=engines, vms=2, slots=8) as cluster:
                calls = self.start_innocents(cluster, str(engines))
                for poison in ("p1 crash", "p2 crash"):
                    self.check_refused(cluster.vms[0].chat(poison))
                    self.check_refused(cluster.vms[1].chat(poison))
                self.check_innocents(calls)

    def test_a_repeat_in_another_spelling_is_refused(self):
        with clusters.Cluster(engines=8) as cluster:
            self.check_refused(cluster.vm.chat("poison crash"))
            self.check_refused(cluster.vm.chat("poison crash", stream=False))
            runs = len(cluster.runs())
            self.check_refused(cluster.vm.chat("poison crash"))
            self.assertEqual(runs, len(cluster.runs()))
            other = cluster.vm.chat(
                "poison crash", headers=[("Authorization", "Bearer key-2")]
            )
            # The same text of another account is a request of its own.
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
            )
            for name in names
        }

    def find(self, name):
        return self.states.get(name)

    def serving(self, target):
        return list(self.states.values())


class SuspectsTest(testtools.TestCase):
    def make(self, endpoints="abc"):
        self.clock = clock.ManualClock()
        self.endpoints = FakeEndpoints(endpoints)
        self.peers = clusters.LinkedPeers()
        self.told = []
        return suspects.Suspects(
            self.clock,
            random.Random(1),
            self.endpoints,
            self.peers,
            lambda state: state.in_flight,
            lambda: self.told.append(None),
        )

    def info(self, fingerprint):
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
            subject.check(fingerprint)
        except errors.RefusalError:
            return True
        return False

    def test_only_a_crash_alone_after_two_others_blocks(self):
        subject = self.make()
        for name in "ab":
            self.crash(subject, "x", name)
            self.assertFalse(self.is_blocked(subject, "x"))
        self.crash(subject, "x", "c", alone=False)
        self.assertFalse(self.is_blocked(subject, "x"))
        self.crash(subject, "x", "a")
        self.assertTrue(self.is_blocked(subject, "x"))

    def test_later_request_makes_a_run_alone_inconclusive(self):
        subject = self.make()
        for name in "ab":
            self.crash(subject, "x", name)
        state = self.endpoints.find("c")
        state.in_flight = 1
        with subject.running("x", state):
            with subject.running("newcomer", state):
                subject.record_crash("x", state)
        self.assertFalse(self.is_blocked(subject, "x"))

    def test_request_of_another_vm_makes_it_inconclusive(self):
        subject = self.make()
        for name in "ab":
            self.crash(subject, "x", name)
        told = messages.Suspicion("y", (7,), "c", False)
        # The peer's hint arrives while the block is held back.
        self.patch(self.clock, "sleep", lambda _: subject.merge((told,)))
        self.crash(subject, "x", "c")
        self.assertFalse(self.is_blocked(subject, "x"))

    def test_suspects_keep_apart_from_each_other(self):
        subject = self.make()
        self.crash(subject, "x", "a")
        self.crash(subject, "y", "a")
        x, y, z = map(self.info, "xyz")
        with subject.running("x", self.endpoints.find("b")):
            self.assertTrue(subject.bars(y, "b"))
            self.assertFalse(subject.bars(y, "c"))
            self.assertFalse(subject.bars(z, "b"))
        self.assertFalse(subject.bars(y, "b"))

    def test_a_trial_has_its_endpoint_alone(self):
        subject = self.make("ab")
        for name in "ab":
            self.crash(subject, "x", name)
        self.endpoints.find("a").in_flight = 3
        x, z = map(self.info, "xz")
        with subject.trial(x, frozenset()):
            self.assertEqual(("b",), subject.reserved_endpoints())
            self.assertTrue(subject.bars(z, "b"))
            self.assertFalse(subject.bars(z, "a"))
            self.assertTrue(subject.bars(x, "a"))
            self.assertFalse(subject.bars(x, "b"))
            # The last open endpoint is never kept from others.
            self.endpoints.find("a").ejected_until_ms = 1e9
            self.assertFalse(subject.bars(z, "b"))
        self.assertEqual((), subject.reserved_endpoints())

    def test_what_peers_tell_is_counted_once_and_expires(self):
        subject, other = self.make(), self.make()
        self.crash(subject, "x", "a")
        for _ in range(3):
            other.merge(subject.recent_suspicions())
        self.assertEqual(suspects.Level.APART, other.level("x"))
        self.assertEqual((), other.recent_suspicions())
        self.clock.advance(suspects.EXPIRY_MS)
        self.assertEqual(suspects.Level.NONE, other.level("x"))

    def test_the_memory_is_bounded(self):
        subject = self.make()
        for number in range(suspects.MAX_RECORDS + 50):
            self.crash(subject, f"x{number}", "a")
        self.assertEqual(suspects.MAX_RECORDS, len(subject._records))
        self.assertEqual(
            messages.MAX_SUSPICIONS, len(subject.recent_suspicions())
        )
