"""The soak takes only responses for cut off that nothing else explains."""

import random

import gevent
import testtools

from hornbeampier import clock as clocks
from tests import nodes
from tests.soak import departures
from tests.soak import endpoints
from tests.soak import records

REQUEST_ID = "vm0.1/c0-1"


class _ResetAtEnd(dict):
    """Resets the endpoint's connections as soon as a request has ended."""

    def __init__(self, endpoint):
        super().__init__()
        self._endpoint = endpoint

    def __setitem__(self, request_id, ended_ms):
        super().__setitem__(request_id, ended_ms)
        self._endpoint.spoil_open_requests()
        self._endpoint.proxy.reset()


class LostResponseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clock = clocks.SystemClock()
        self.ledger = records.Ledger()
        self.endpoint = endpoints.SoakEndpoint(
            nodes.ENGINE_SERVICE,
            self.ledger,
            clock,
            random.Random(1),
            lambda *_: None,
            "v1",
            departures.Departure(departures.Calm(clock), clock),
        )
        self.addCleanup(self.endpoint.stop)

    def call(self):
        host, _, port = self.endpoint.proxy.address.partition(":")
        caller = nodes.Caller(nodes.settings.Address(host, int(port)))
        self.addCleanup(caller.close)
        headers = {
            "X-Hornbeampier-Attempt-Id": REQUEST_ID,
            "X-Hornbeampier-Expect-Instance": self.endpoint.id,
        }
        caller.send(
            "POST", "/resume/x", headers, body=endpoints.STREAM_BODY, key=None
        )
        with gevent.Timeout(5.0):
            return caller.read()

    # Guards against the soak blaming the router for a response whose end was
    # still in the proxy when the connection was reset (seed 783).
    def test_response_that_is_reset_in_the_proxy_is_marked(self):
        self.endpoint._ended_ms = _ResetAtEnd(self.endpoint)
        response = self.call()
        self.assertFalse(response.complete)
        self.assertIn(REQUEST_ID, self.ledger.spoiled)

    # Guards against a check that excuses whatever ended some time before.
    def test_response_that_was_passed_on_is_not_marked(self):
        response = self.call()
        self.assertTrue(response.complete)
        gevent.sleep(2 * endpoints.PASS_MS / clocks.MS_PER_SECOND)
        self.endpoint.spoil_open_requests()
        self.assertNotIn(REQUEST_ID, self.ledger.spoiled)
