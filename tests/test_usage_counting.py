"""Which requests through a node count for their client account."""

import gevent

from hornbeampier.platform import names
from hornbeampier.platform import settings
from tests import duty_standin
from tests import nodes
from tests import store_standin

PROMPT = {
    "X-Hornbeampier-Model": "m",
    "X-Hornbeampier-Token-Usage": "1000,50",
    "X-Hornbeampier-Prompt-Prefix": "aa:600,bb:400",
}
DECLINED = ["X-Hornbeampier-Not-Executed: 1"]
# Longer than any test, so that all requests belong to one or two windows.
WINDOW_MS = 60_000.0


def duty_settings(api_port=None, window_ms=WINDOW_MS):
    return settings.DutySettings(
        api=settings.Address(nodes.HOST, api_port or nodes.free_port()),
        names=(names.USAGE_DUTY,),
        calls_per_s=20.0,
        requires_fence=True,
        lease_ms=600.0,
        usage_window_ms=window_ms,
        usage_due_ms=10_000.0,
    )


class CountingTest(nodes.NodeTestCase):
    def start_counting_node(self):
        return self.start_ready_node(
            duties=duty_settings(), duty_port=nodes.free_port()
        )

    def count(self, router):
        """Returns the counted requests by account."""
        router._duties.usage.settle()
        totals = {}
        for row in router._duties.usage.windows():
            for account, count in row.counts.items():
                totals[account] = totals.get(account, 0) + count
        return totals

    # Guards against accounts that are charged for retries.
    def test_plain_request_counts_once_over_its_attempts(self):
        def handler(req):
            if len(endpoint.received) + len(other.received) == 1:
                req.close_connection()
            else:
                req.respond()

        endpoint = self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        other = self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_counting_node()
        self.assertEqual(200, self.call(router).status)
        self.assertEqual(2, len(endpoint.received) + len(other.received))
        self.assertEqual({"account-1": 1}, self.count(router))

    # Guards against requests that were run and not counted.
    def test_error_of_an_endpoint_counts(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda req: req.respond(status="500 Internal Server Error"),
        )
        router = self.start_counting_node()
        self.call(router, "POST", "/unsafe/x", body=b"{}")
        self.assertEqual({"account-1": 1}, self.count(router))

    # Guards against accounts that are charged for requests that no endpoint
    # ran.
    def test_declined_request_does_not_count(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE,
            lambda req: req.respond(
                status="503 Service Unavailable", headers=DECLINED
            ),
        )
        router = self.start_counting_node()
        self.assertEqual(503, self.call(router).status)
        self.assertEqual({}, self.count(router))

    # Guards against requests that may have been run and are not counted.
    def test_request_without_any_response_counts(self):
        self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.close_connection()
        )
        router = self.start_counting_node()
        self.call(router, "POST", "/unsafe/x", body=b"{}")
        self.assertEqual({"account-1": 1}, self.count(router))

    # An interrupted stream goes on elsewhere; that attempt must not count.
    def test_stream_counts_once_at_its_first_event(self):
        def handler(req):
            req.begin_stream()
            if "last-event-id" not in req.headers:
                req.send_event(1)
                req.close_connection()
            else:
                req.send_event(2)
                req.end_stream()

        for _ in range(2):
            self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_counting_node()
        response = self.call(
            router, "POST", "/resume/x", headers=PROMPT, body=b"{}"
        )
        self.assertIn(b"piece-2", response.body)
        self.assertEqual({"account-1": 1}, self.count(router))

    # Guards against accounts that are charged for streams that never began.
    def test_stream_without_an_event_does_not_count(self):
        def handler(req):
            req.begin_stream()
            req.end_stream()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_counting_node()
        self.call(router, "POST", "/stream/x", headers=PROMPT, body=b"{}")
        self.assertEqual({}, self.count(router))

    # It is a new request that began to run at its endpoint.
    def test_stream_that_its_caller_takes_up_counts_again(self):
        def handler(req):
            req.begin_stream()
            req.send_event(2)
            req.end_stream()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_counting_node()
        resumed = {**PROMPT, "Resumes": "id-0", "Last-Event-Id": "1"}
        self.call(router, "POST", "/resume/x", headers=PROMPT, body=b"{}")
        response = self.call(
            router, "POST", "/resume/x", headers=resumed, body=b"{}"
        )
        self.assertEqual(200, response.status)
        self.assertEqual({"account-1": 2}, self.count(router))


class ExchangeTest(nodes.NodeTestCase):
    def start_two(self, **duty_args):
        control, peer_port, origin_port, duty_port = (
            nodes.free_port() for _ in range(4)
        )
        hosts = ("127.0.0.1", "127.0.0.2")
        return [
            self.start_ready_node(
                host=host,
                control=settings.Address(host, control),
                seeds=tuple(settings.Address(h, control) for h in hosts),
                peer_port=peer_port,
                origin_port=origin_port,
                duties=duty_settings(**duty_args),
                duty_port=duty_port,
            )
            for host in hosts
        ]

    # Before it stops, a VM must hand over what it has counted.
    def test_drained_node_has_told_its_counts(self):
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        router, other = self.start_two()
        store_standin.wait_until(router._vms.live_peers)
        self.call(router)
        router._duties.exchanges[1].drain()
        windows = other._duties.exchanges[1]._windows
        now_ms = other._duties.usage.current_window() * WINDOW_MS

        def held():
            return [
                row.counts
                for window in windows.open_windows(now_ms)
                for row in windows.held(window, ()).values()
                if row.is_final
            ]

        store_standin.wait_until(lambda: {"account-1": 1} in held())

    # All requests must be reported although their reporter is stopped at once.
    def test_successor_reports_what_the_holder_has_not(self):
        api = duty_standin.DutyStandin()
        self.addCleanup(api.stop)
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        routers = self.start_two(api_port=api.port, window_ms=1_000.0)
        store_standin.wait_until(lambda: any(map(is_holder, routers)))
        # Both assign requests to windows by now.
        store_standin.wait_until(
            lambda: all(r._duties.usage.windows() for r in routers)
        )
        holder, other = sorted(routers, key=is_holder, reverse=True)
        for router in (other, holder, other):
            self.call(router)
        # The holder sends its count to the other one within half a second.
        gevent.sleep(0.7)
        holder.stop()
        store_standin.wait_until(lambda: reported(api) == 3, 10.0)


def is_holder(router):
    return router._duties.actors[0].term() is not None


def reported(api):
    """Returns the reported requests over all windows."""
    windows = {}
    for _, _, _, body in api.accepted:
        windows[body["windowId"]] = sum(body["counts"].values())
    return sum(windows.values())


class NoDutyTest(nodes.NodeTestCase):
    # Guards against deployments without the duty that are served differently
    # from before.
    def test_node_without_the_duty_has_no_part_of_it(self):
        router = self.start_ready_node()
        self.assertEqual([], router._duties.exchanges + router._duties.actors)
