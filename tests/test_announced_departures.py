"""Endpoints that start again under their ids and announce that they leave.

A response does not name the process that sent it.
"""

from unittest import mock

import gevent
import testtools

from hornbeampier import clock as clocks
from hornbeampier.forwarding import departure_checks
from tests import announcing_endpoint
from tests import nodes
from tests import routing_fakes as fakes
from tests import store_standin

HOSTS = ("127.0.0.5", "127.0.0.6", "127.0.0.7")
RESTARTED_MS = 2


class RestartingEndpoint(announcing_endpoint.AnnouncingEndpoint):
    """Answers health checks as well.

    Attributes:
        id: The id in its entry.
        is_healthy: Whether health checks get 200.
        checks: Number of health checks.
    """

    def __init__(self):
        super().__init__()
        self.id = ""
        self.is_healthy = True
        self.checks = 0

    def __call__(self, req):
        if req.request_line.startswith("GET /health "):
            self._check(req)
        else:
            super().__call__(req)

    def _check(self, req):
        self.checks += 1
        req.headers["x-hornbeampier-attempt-id"] = ""
        headers = [f"X-Hornbeampier-Instance-Id: {self.id}"]
        if self.leaving:
            headers.append("Server-Leaving: 1")
        status = "200 OK" if self.is_healthy else "503 Service Unavailable"
        req.respond(b"", status, headers, seal=False)


class RestartTestCase(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.restarting = RestartingEndpoint()
        other = announcing_endpoint.AnnouncingEndpoint()
        other.delay_s = 0.02
        self.endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, self.restarting
        )
        self.restarting.id = self.endpoint.id
        self.start_endpoint(nodes.PLAIN_SERVICE, other)

    def call_many(self, router, count=20):
        """Sends requests; returns how many reached the endpoint."""
        before = len(self.restarting.arrivals)
        for number in range(count):
            request_id = {"X-Hornbeampier-Attempt-Id": f"vm/{number}-{before}"}
            response = self.call(router, headers=request_id)
            self.assertEqual(200, response.status)
        return len(self.restarting.arrivals) - before

    def put_entry(self, *routers, **fields):
        """Writes the entry of a process that has started again."""
        record = nodes.endpoint_record(
            nodes.PLAIN_SERVICE,
            self.endpoint.address,
            born=RESTARTED_MS,
            **fields,
        )
        self.store.put_endpoint(self.endpoint.id, record)
        store_standin.wait_until(
            lambda: all(self.started_ms(r) == RESTARTED_MS for r in routers)
        )

    def started_ms(self, router):
        endpoint = router.catalog.endpoints.get(self.endpoint.id)
        return endpoint and endpoint.started_ms

    def is_serving(self, router):
        return self.endpoint.id in [
            state.id for state in router._fleet.serving(nodes.PLAIN_SERVICE)
        ]

    def wait_not_serving(self, *routers):
        store_standin.wait_until(
            lambda: not any(self.is_serving(r) for r in routers)
        )

    def wait_serving(self, *routers):
        store_standin.wait_until(
            lambda: all(self.is_serving(r) for r in routers)
        )


class TurnTest(testtools.TestCase):
    def due_ms(self, host):
        clock = clocks.ManualClock()
        checks = departure_checks.DepartureChecks(
            mock.Mock(clock=clock), None, host, lambda: HOSTS
        )
        return checks._first_due_ms(fakes.endpoint("e1"))

    # Guards against a health check by each VM whenever an endpoint restarts.
    def test_vms_take_turns(self):
        turns = [n * departure_checks.TURN_MS for n in range(len(HOSTS))]
        self.assertEqual(turns, sorted(self.due_ms(host) for host in HOSTS))


class UnreadEntryTest(RestartTestCase):
    # Guards against DRAIN: the announcement of a process that has started
    # under an endpoint's id being taken for that of the process before, and
    # requests to it once its own, older entry is read.
    def test_process_that_left_before_its_entry_was_read_gets_nothing(self):
        router = self.start_ready_node()
        self.restarting.leaving = True
        self.call_many(router)
        self.put_entry(router)
        gevent.sleep(0.5)
        self.assertEqual(0, self.call_many(router))

    # Guards against DRAIN: the same on a VM that learned it from a peer.
    def test_process_that_left_gets_nothing_from_peers_either(self):
        router, *peers = self.start_vms(HOSTS)
        self.restarting.leaving = True
        self.call_many(router)
        self.wait_not_serving(router, *peers)
        self.put_entry(router, *peers)
        gevent.sleep(0.5)
        sent = [self.call_many(peer) for peer in peers]
        self.assertEqual([0] * len(peers), sent)

    def test_health_answer_of_a_leaving_process_proves_nothing(self):
        router = self.start_ready_node()
        self.restarting.leaving = True
        self.call_many(router)
        self.restarting.is_healthy = False
        self.put_entry(router)
        store_standin.wait_until(lambda: self.restarting.checks > 0)
        self.assertEqual(0, self.call_many(router))
        self.assertEqual(1, self.restarting.checks)


class RestartTest(RestartTestCase):
    def leave_and_restart(self, *routers):
        """The endpoint leaves, and a process starts again under its id."""
        self.restarting.leaving = True
        self.call_many(routers[0])
        self.wait_not_serving(*routers)
        self.store.put_endpoint(self.endpoint.id, None)
        self.restarting.leaving = False
        self.put_entry(*routers)

    # Guards against a sound endpoint that gets nothing after its restart.
    def test_process_that_serves_gets_requests_soon(self):
        router = self.start_ready_node()
        self.leave_and_restart(router)
        self.wait_serving(router)
        self.assertLess(0, self.call_many(router))
        self.assertEqual(1, self.restarting.checks)

    def test_all_vms_send_to_a_process_that_serves(self):
        routers = self.start_vms(HOSTS)
        self.leave_and_restart(*routers)
        self.wait_serving(*routers)
        self.assertLessEqual(self.restarting.checks, len(HOSTS))

    def test_process_is_asked_again_until_it_is_healthy(self):
        router = self.start_ready_node()
        self.restarting.is_healthy = False
        self.leave_and_restart(router)
        store_standin.wait_until(lambda: self.restarting.checks > 0)
        self.assertEqual(0, self.call_many(router))
        self.restarting.is_healthy = True
        self.wait_serving(router)

    def test_process_that_serves_may_leave_in_turn(self):
        router = self.start_ready_node()
        self.leave_and_restart(router)
        self.wait_serving(router)
        self.restarting.leaving = True
        self.call_many(router)
        self.assertEqual(0, self.call_many(router))
