"""Decoding of the bounds of orders, and of spot endpoints."""

import json

import testtools

from hornbeampier.platform import records
from tests import nodes

AUTOSCALE = {
    "min": 1,
    "max": 30,
    "bootTimeS": 4.0,
    "spotPrice": 0.18,
    "zonePrices": {"zone-1": 1.0, "zone-2": 0.8},
}


def decode_autoscale(value):
    cfg = nodes.configuration()
    cfg["services"][0]["autoscale"] = value
    decoded = records.decode_configuration(json.dumps(cfg).encode())
    return decoded.services[nodes.PLAIN_SERVICE].autoscale


class AutoscaleTest(testtools.TestCase):
    # Guards against bounds or prices that are read from the wrong field or in
    # the wrong unit.
    def test_bounds_and_prices_are_decoded(self):
        autoscale = decode_autoscale(AUTOSCALE)
        self.assertEqual(4_000.0, autoscale.boot_ms)
        self.assertEqual(0.8, autoscale.zone_prices["zone-2"])
        self.assertEqual(
            (1, 30), (autoscale.min_per_zone, autoscale.max_per_zone)
        )

    # Guards against a faulty entry that makes VMs reject the whole
    # configuration.
    def test_contradictory_bounds_order_nothing_and_keep_the_configuration(
        self,
    ):
        for change in ({"min": 31}, {"min": -1}, {"spotPrice": -0.1}):
            self.assertIsNone(decode_autoscale({**AUTOSCALE, **change}))

    # Guards against a reclaim notice that is ignored.
    def test_reclaimed_spot_endpoint_tells_when_it_leaves(self):
        entry = nodes.endpoint_record(
            nodes.ENGINE_SERVICE, "10.0.0.1:80", spot=True, leaves_ms=2_500
        )
        endpoint = records.decode_endpoint("i-1", json.dumps(entry).encode())
        self.assertTrue(endpoint.spot)
        self.assertEqual(2_500.0, endpoint.leaves_in_ms)
