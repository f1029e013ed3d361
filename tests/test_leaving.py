"""Marks of leaving endpoints must reach all VMs, and end when one returns.

Guards against requests that are sent to a leaving endpoint because one source
lags, and against marks that circulate after the endpoint returned.
"""

import itertools

import testtools

from hornbeampier import clock
from hornbeampier.coordination import records
from hornbeampier.endpoints import leaving
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import health
from tests import clusters
from tests import configurations
from tests import processes

NAME = "engine-1"
REQUESTS = 80
EJECTIONS = 3


class Vm:
    """One VM's registry, with its own VM list and load reports."""

    def __init__(self, clk):
        self.endpoints = registry.Registry(clk)
        self.endpoints.apply(schema.parse(configurations.TEXT))
        self.leaving_marks = self.endpoints.leaving_marks

    def read_list(self, state="live"):
        row = records.ListedVm(NAME, "zone-1", "h", records.VmState(state))
        self.endpoints.apply_vm_list((row,))

    def report(self, is_leaving):
        state = self.endpoints.find(NAME)
        report = messages.LoadReport(0, 0, 8, is_leaving)
        self.endpoints.record_report(state, report)

    def leaving(self):
        self.endpoints.refresh_leaving()
        return self.endpoints.find(NAME).leaving


class LeavingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.vms = [Vm(self.clock) for _ in range(3)]

    def exchange_hints(self, rounds=1):
        """Every VM sends its hint to every other."""
        for _ in range(rounds):
            for sender in self.vms:
                ages_ms = sender.leaving_marks.own_mark_ages_ms()
                for peer in self.vms:
                    if peer is not sender:
                        peer.leaving_marks.record_peer_marks(
                            str(id(sender)), ages_ms
                        )
            self.clock.advance(500)

    def leaving(self):
        return [vm.leaving() for vm in self.vms]

    def test_mark_reaches_vms_whose_list_lags_or_is_down(self):
        self.vms[0].read_list("leaving")
        self.vms[1].read_list("live")
        self.exchange_hints()
        self.assertEqual([True, True, True], self.leaving())

    def test_load_report_sets_and_clears_the_mark(self):
        self.vms[0].report(True)
        self.exchange_hints()
        self.assertEqual([True, True, True], self.leaving())
        self.vms[0].report(False)
        self.exchange_hints()
        self.assertEqual([False, False, False], self.leaving())

    def test_marks_do_not_circulate_after_an_endpoint_returned(self):
        for vm in self.vms:
            vm.read_list("leaving")
        self.exchange_hints(rounds=3)
        for vm in self.vms:
            vm.read_list("live")
            self.exchange_hints()
        self.exchange_hints()
        self.assertEqual([False, False, False], self.leaving())

    def test_a_vm_that_saw_the_return_ignores_older_evidence(self):
        stale, current, _ = self.vms
        stale.read_list("leaving")
        current.read_list("leaving")
        self.exchange_hints(rounds=2)
        current.read_list("live")
        self.exchange_hints(rounds=2)
        self.assertTrue(stale.leaving())
        self.assertFalse(current.leaving())

    def test_a_vm_that_never_saw_it_leave_drops_old_evidence(self):
        stale, current, _ = self.vms
        stale.read_list("leaving")
        for _ in range(int(leaving.MAX_EVIDENCE_AGE_MS / 500)):
            current.read_list("live")
            self.exchange_hints()
            self.assertTrue(current.leaving())
        current.read_list("live")
        self.exchange_hints()
        self.assertFalse(current.leaving())

    def test_mark_of_a_missing_peer_stays_while_the_list_is_down(self):
        self.vms[0].read_list("leaving")
        self.exchange_hints()
        self.clock.advance(10 * leaving.MAX_EVIDENCE_AGE_MS)
        self.assertTrue(self.vms[1].leaving())
        self.vms[1].read_list("live")
        self.assertFalse(self.vms[1].leaving())
        self.assertEqual({}, self.vms[1].leaving_marks._peer_marks)

    def test_one_source_does_not_clear_what_another_shows(self):
        vm = self.vms[0]
        vm.read_list("leaving")
        vm.report(True)
        vm.report(False)
        self.assertTrue(vm.leaving())
        vm.read_list("live")
        self.assertFalse(vm.leaving())

    def test_the_marks_in_a_hint_are_bounded(self):
        rows = [
            records.ListedVm(f"e-{i}", "z", "h", records.VmState.LEAVING)
            for i in range(500)
        ]
        self.vms[0].endpoints.apply_vm_list(rows)
        sent = self.vms[0].leaving_marks.own_mark_ages_ms()
        self.assertEqual(leaving.MAX_MARKS, len(sent))


class RemovedEndpointTest(testtools.TestCase):
    def test_removed_endpoint_is_not_chosen_and_keeps_its_connections(self):
        endpoints = registry.Registry(clock.ManualClock())
        endpoints_cfg = [("engine-1", 8001), ("engine-2", 8002)]
        endpoints.apply(schema.parse(processes.configuration(endpoints_cfg)))
        removed = endpoints.find("engine-1")
        removed.in_flight = 1
        endpoints.apply(
            schema.parse(processes.configuration(endpoints_cfg[1:]))
        )
        names = [state.name for state in endpoints.serving("notes")]
        self.assertEqual(["engine-2"], names)
        self.assertFalse(removed.http_client._pool._closed)


class LeavingSessionTest(testtools.TestCase):
    def states(self, deployment):
        """Returns the states of the first engine in the VMs' reports."""
        return {
            row["state"]
            for vm in deployment.vms
            for row in vm.report()["endpoints"]
            if row["name"] == NAME
        }

    def wait_state(self, deployment, state):
        processes.wait_until(lambda: self.states(deployment) == {state})

    def assert_gets_no_requests(self, deployment):
        """Asserts that the first engine gets none of the VMs' requests."""
        runs = len(deployment.engines[0].runs())
        for vm in deployment.vms * 4:
            self.assertEqual(200, vm.chat("tokens=3").status)
        self.assertEqual(runs, len(deployment.engines[0].runs()))

    def test_leaving_endpoint_gets_no_requests_while_the_list_is_down(self):
        with processes.Deployment(vms=2, engines=2) as deployment:
            platform = deployment.platform
            deployment.register_endpoint(NAME, "leaving")
            self.wait_state(deployment, "leaving")
            platform.control(vm_list_down=True)
            self.assert_gets_no_requests(deployment)
            platform.control()
            deployment.register_endpoint(NAME, "live")
            self.wait_state(deployment, "open")
            for _ in range(20):
                self.assertEqual({"open"}, self.states(deployment))
            platform.control(vm_list_down=True)
            deployment.engines[0].control(leaving=True)
            self.wait_state(deployment, "leaving")
            self.assert_gets_no_requests(deployment)
            deployment.engines[0].control(leaving=False)
            self.wait_state(deployment, "open")


class DeclineTest(testtools.TestCase):
    def record_declines(self):
        """Returns the list to which the times of all ejections are added."""
        declined_ms = []
        record_decline = health.record_decline

        def record(state, now_ms, states):
            declined_ms.append(now_ms)
            record_decline(state, now_ms, states)

        self.patch(health, "record_decline", record)
        return declined_ms

    def test_declined_requests_alone_eject_a_leaving_endpoint(self):
        declined_ms = self.record_declines()
        # The load reports stay out of date for the whole test.
        with clusters.Cluster(engines=2, report_lag_ms=600_000.0) as cluster:
            cluster.wait_for_versions("", "")
            cluster.control(0, leaving=True)
            for number in itertools.count():
                if number >= REQUESTS and len(declined_ms) >= EJECTIONS:
                    break
                response = cluster.vm.chat(f"{number} tokens=1")
                self.assertEqual(200, response.status)
        for earlier_ms, later_ms in itertools.pairwise(declined_ms):
            self.assertGreaterEqual(
                later_ms - earlier_ms, health.BASE_EJECTION_MS
            )
