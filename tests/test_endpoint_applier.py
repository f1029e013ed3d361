"""When endpoints are added and removed as their entries change."""

import json

import testtools

from hornbeampier import clock as clocks
from hornbeampier.replication import appliers
from hornbeampier.replication import messages
from hornbeampier.routing import catalog
from tests import nodes


class EndpointApplierTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(10_000.0)
        self.catalog = catalog.Catalog()
        self.applier = appliers.EndpointApplier(
            self.catalog, nodes.HEARTBEAT_MS, self.clock
        )

    def put(self, value, offset=0, key="i-1"):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.applier.apply_record(messages.Record(key, value, offset))

    def beat(self, count):
        """The endpoint writes its entry some times."""
        for _ in range(count):
            self.clock.advance(nodes.HEARTBEAT_MS)
            self.put(nodes.endpoint_record("s", "10.0.0.1:80"))

    def test_endpoint_follows_its_entry(self):
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        endpoint = self.catalog.endpoints["i-1"]
        self.assertEqual(("10.0.0.1", 80), (endpoint.host, endpoint.port))
        self.put(nodes.endpoint_record("s", "10.0.0.1:80", state="draining"))
        self.assertTrue(self.catalog.endpoints["i-1"].leaving)
        self.put(None)
        self.assertEqual({}, self.catalog.endpoints)

    def test_unreadable_entry_removes_its_endpoint(self):
        good = nodes.endpoint_record("s", "10.0.0.1:80")
        for bad in (
            b"\xff\x00",
            b"[" * 100_000,
            {**good, "slots": "8"},
            {**good, "state": "unknown"},
            {**good, "address": "nowhere"},
            {k: v for k, v in good.items() if k != "service"},
        ):
            self.put(good)
            self.put(bad)
            self.assertEqual({}, self.catalog.endpoints, bad)

    def test_endpoint_has_time_to_register_again_after_an_outage(self):
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.applier.on_source_regained()
        self.put(None)
        self.assertIn("i-1", self.catalog.endpoints)
        self.clock.advance(appliers.REREGISTER_MS + 1)
        self.applier.expire()
        self.assertEqual({}, self.catalog.endpoints)

    def test_removal_from_a_peer_during_an_outage_is_delayed(self):
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.applier.on_source_lost()
        self.put(None)
        self.assertIn("i-1", self.catalog.endpoints)
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.applier.on_source_regained()
        self.clock.advance(appliers.REREGISTER_MS + 1)
        self.applier.expire()
        self.assertIn("i-1", self.catalog.endpoints)

    # Guards against DRAIN: peers passed its entries on all along, so the store
    # was up, and the removal was the endpoint's own.
    def test_endpoint_that_wrote_during_the_outage_has_left(self):
        self.beat(3)
        self.applier.on_source_lost()
        self.beat(2)
        self.clock.advance(nodes.HEARTBEAT_MS)
        self.put(None)
        self.assertEqual({}, self.catalog.endpoints)

    def test_endpoint_has_time_if_its_entry_may_have_expired(self):
        self.beat(3)
        self.applier.on_source_lost()
        self.clock.advance(3 * nodes.HEARTBEAT_MS - 1_000.0)
        self.put(None)
        self.assertIn("i-1", self.catalog.endpoints)

    # Its last entry was written before the outage, and is read only now.
    def test_endpoint_has_time_if_its_entry_comes_late(self):
        self.beat(3)
        self.applier.on_source_lost()
        self.clock.advance(2 * nodes.HEARTBEAT_MS)
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.applier.on_source_regained()
        self.put(None)
        self.assertIn("i-1", self.catalog.endpoints)

    def return_of_the_store(self, times_ms):
        """Entries reach this VM from peers again after an outage.

        Those of i-1 come last at the first of the times, of i-2 at the others.
        """
        self.beat(3)
        self.clock.advance(4 * nodes.HEARTBEAT_MS)
        start_ms = self.clock.now()
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        for index, at_ms in enumerate(times_ms):
            self.clock.advance(start_ms + at_ms - self.clock.now())
            record = nodes.endpoint_record("s", f"10.0.0.{index + 1}:80")
            self.put(record, key="i-2" if index else "i-1")

    # Guards against DRAIN: a VM whose call to the store hung, and that takes
    # the store for lost long after its return, putting off a removal by 2 s.
    def test_late_loss_of_the_source_does_not_put_off_a_removal(self):
        self.return_of_the_store([1_200.0, 2_400.0, 3_200.0])
        self.applier.on_source_lost()
        self.clock.advance(150.0)
        self.applier.on_source_regained()
        self.clock.advance(100.0)
        self.put(None)
        self.assertNotIn("i-1", self.catalog.endpoints)

    def test_removal_while_only_this_vm_has_lost_the_store_counts_at_once(self):
        self.return_of_the_store([1_200.0, 2_400.0, 3_200.0])
        self.applier.on_source_lost()
        self.clock.advance(100.0)
        self.put(None)
        self.assertNotIn("i-1", self.catalog.endpoints)

    # Entries come again, but not yet for long.
    def test_endpoint_has_time_shortly_after_the_return_of_the_store(self):
        self.return_of_the_store([600.0, 1_200.0])
        self.applier.on_source_regained()
        self.put(None)
        grace_ms = appliers.REREGISTER_MS + appliers.READ_SLACK_MS
        self.clock.advance(grace_ms - 1_200.0 - 1.0)
        self.applier.expire()
        self.assertIn("i-1", self.catalog.endpoints)
        self.clock.advance(1.0)
        self.applier.expire()
        self.assertNotIn("i-1", self.catalog.endpoints)

    def test_endpoint_that_registered_again_stays(self):
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.applier.on_source_regained()
        self.put(None)
        self.put(nodes.endpoint_record("s", "10.0.0.1:80"))
        self.clock.advance(appliers.REREGISTER_MS + 1)
        self.applier.expire()
        self.assertIn("i-1", self.catalog.endpoints)
