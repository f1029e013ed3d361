"""Endpoints that name a limit on their requests from all VMs together."""

import gevent

from tests import announcing_endpoint
from tests import nodes

HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
CALL_INTERVAL_S = 0.02
# The endpoint without a limit is slower, so VMs prefer the other one.
SLOWER_RESPONSE_S = 0.03
# Longer than the window in which the endpoint counts requests.
LOAD_S = 5.0


class NamedLimitTest(nodes.NodeTestCase):
    def call_steadily(self, vm):
        caller = self.connect(vm)
        statuses = []
        with gevent.Timeout(LOAD_S, False):
            for number in range(10_000):
                request_id = f"{vm.cfg.host}/{number}"
                caller.send(
                    "GET",
                    "/safe/x",
                    {"X-Hornbeampier-Attempt-Id": request_id},
                )
                statuses.append(caller.read().status)
                gevent.sleep(CALL_INTERVAL_S)
        return statuses

    # Guards against LIMIT: each VM, or all together, sending an endpoint more
    # requests than the limit that its responses name.
    def test_all_vms_together_keep_the_limit_that_an_endpoint_names(self):
        limited = announcing_endpoint.AnnouncingEndpoint(limit_per_s=1.5)
        self.start_endpoint(nodes.PLAIN_SERVICE, limited)
        slower = announcing_endpoint.AnnouncingEndpoint()
        slower.delay_s = SLOWER_RESPONSE_S
        self.start_endpoint(nodes.PLAIN_SERVICE, slower)
        calls = [
            gevent.spawn(self.call_steadily, v) for v in self.start_vms(HOSTS)
        ]
        statuses = [status for call in calls for status in call.get()]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(0, limited.requests_over_limit())
