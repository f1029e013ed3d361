"""A node with the duty of orders, against a store and an API on loopback."""

import json
from unittest import mock

import gevent
from gevent import pywsgi

from hornbeampier.duties import order_sender
from hornbeampier.platform import names
from hornbeampier.platform import settings
from tests import nodes
from tests import store_standin

AUTOSCALE = {
    "min": 2,
    "max": 4,
    "bootTimeS": 4,
    "zonePrices": {"zone-1": 1.0},
}


class _DutyStore(store_standin.StoreStandin):
    """A store that also has the duties' topic."""

    def __init__(self):
        super().__init__()
        self._records[names.DUTY_TOPIC] = []
        self._first_offsets[names.DUTY_TOPIC] = 0

    def _respond(self, environ, start_response):
        if environ["PATH_INFO"] != "/log-append":
            return super()._respond(environ, start_response)
        body = environ["wsgi.input"].read()
        offset = len(self._records[names.DUTY_TOPIC])
        while body:
            size = int.from_bytes(body[:4])
            record, body = body[4 : 4 + size], body[4 + size :]
            key = record[1 : 1 + record[0]].decode()
            self.put(names.DUTY_TOPIC, key, record[1 + record[0] :])
        end = len(self._records[names.DUTY_TOPIC])
        start_response("200 OK", self._headers())
        return [json.dumps({"offset": offset, "end": end}).encode()]


class _Api:
    """Accepts all calls."""

    def __init__(self):
        self.calls = []
        self._server = pywsgi.WSGIServer(
            (nodes.HOST, 0), self._respond, log=None
        )
        self._server.start()

    @property
    def address(self):
        return settings.Address(nodes.HOST, self._server.server_port)

    def stop(self):
        self._server.stop(timeout=0)

    def _respond(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        token = environ["HTTP_X_HORNBEAMPIER_FENCING_TOKEN"]
        self.calls.append((environ["PATH_INFO"], int(token), body))
        start_response("200 OK", [])
        return [b""]


class NodeScalingTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.store = _DutyStore()
        self.addCleanup(self.store.stop)
        self.api = _Api()
        self.addCleanup(self.api.stop)
        for constant in ("START_MS", "TAKEOVER_MS"):
            patch = mock.patch.object(order_sender, constant, 0.0)
            patch.start()
            self.addCleanup(patch.stop)

    def start(self, duties):
        cfg = nodes.configuration()
        cfg["services"][0]["autoscale"] = AUTOSCALE
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda request: None)
        return self.start_ready_node(cfg, duties=duties)

    # Guards against a node that holds the duty but whose orders do not reach
    # the API.
    def test_minimum_is_ordered_with_the_token_of_the_lease(self):
        self.start(
            settings.DutySettings(
                self.api.address,
                (names.SCALING_DUTY,),
                10.0,
                True,
                600.0,
                5_000.0,
                10_000.0,
            )
        )
        store_standin.wait_until(lambda: self.api.calls, timeout_s=10.0)
        path, token, body = self.api.calls[0]
        self.assertEqual("/scale", path)
        self.assertTrue(token > 1 << 32, token)
        self.assertEqual(
            {"service": nodes.PLAIN_SERVICE, "zone": "zone-1", "desired": 2},
            body,
        )

    # Guards against deployments without duties that are served differently from
    # before.
    def test_node_without_duties_asks_neither_store_nor_api(self):
        self.start(None)
        gevent.sleep(1.5)
        topics = {query.get("topic") for _, query in self.store.calls}
        self.assertNotIn(names.DUTY_TOPIC, topics)
        self.assertEqual([], self.api.calls)
