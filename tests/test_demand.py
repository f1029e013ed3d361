"""The work of a service, from the loads of all VMs."""

import testtools

from hornbeampier.routing import demand
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill
from tests import routing_fakes
from tests import scaling_fakes

TRAITS = domain.EngineTraits(8, 100_000, 1_000.0, 0.0, 4.0)


class DemandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = routing_fakes.RoutingFixture(2)
        self.move_to_zone("e1", "zone-2")
        self.prefill_meter = prefill.PrefillMeter(self.fixture.clock)
        self.models = engine_model.EngineModels()

    def move_to_zone(self, endpoint_id, zone, **overrides):
        self.fixture.catalog.apply_endpoint(
            routing_fakes.endpoint(
                endpoint_id, availability_zone=zone, **overrides
            )
        )

    def measure(self, traits=TRAITS):
        service = domain.Service(
            routing_fakes.SERVICE, "/", 10, traits, scaling_fakes.autoscale()
        )
        self.fixture.catalog.cfg = domain.Configuration(
            1,
            (routing_fakes.route(latency_target_ms=500.0),),
            {service.name: service},
            None,
            domain.Limits(1_000, 1_000, 1_000.0, 1_000.0),
        )
        meter = demand.DemandMeter(
            self.fixture.catalog,
            self.fixture.fleet,
            self.fixture.peers,
            self.prefill_meter,
            self.models,
        )
        (view,) = meter.measure()
        return view

    def load(self, **loads):
        self.fixture.peers.record(
            "vm-2", {id_: peer_loads.Load(*load) for id_, load in loads.items()}
        )

    # Guards against a demand that leaves out the work of some VMs.
    def test_slots_in_use_on_all_vms_count(self):
        self.load(e0=(8,), e1=(2,))
        self.fixture.states[1].in_flight = 2
        self.assertEqual(1.5, self.measure().work)

    # Guards against orders because load moved to another zone.
    def test_shift_between_zones_leaves_the_work_as_it_is(self):
        self.load(e0=(8,), e1=(2,))
        before = self.measure().work
        self.load(e0=(2,), e1=(8,))
        self.assertEqual(before, self.measure().work)

    def test_prefill_counts_where_it_exceeds_the_slots(self):
        """Few requests with long prompts keep an engine busy."""
        rate = self.models.of(routing_fakes.SERVICE).tokens_per_ms
        self.prefill_meter.record_peer("e0", 1.5 * rate * prefill.DECAY_TIME_MS)
        self.load(e0=(1,))
        self.assertAlmostEqual(1.5, self.measure().work, delta=0.01)
        self.assertEqual(0.125, self.measure(traits=None).work)

    # Guards against queued prompts that miss their targets as no endpoint is
    # ordered for them.
    def test_backlog_counts_with_what_it_takes_to_be_on_time(self):
        rate = self.models.of(routing_fakes.SERVICE).tokens_per_ms
        self.load(e0=(1, 1_000.0 * rate))
        self.assertAlmostEqual(2.0, self.measure().work, delta=0.01)

    # Guards against endpoints that count as capacity until they are gone.
    def test_endpoints_that_leave_or_are_reclaimed_are_not_present(self):
        self.move_to_zone("e0", "zone-1", leaving=True)
        self.move_to_zone("e1", "zone-2", spot=True, leaves_in_ms=3_000.0)
        view = self.measure()
        self.assertEqual({}, view.present())
        self.assertEqual(2, len(view.leaving_groups()))
