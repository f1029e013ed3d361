"""Which endpoint a request goes to."""

import random

import testtools

from hornbeampier.routing import choosers
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from tests import routing_fakes as fakes

SHARED = ("doc-1", 10_000)


class EngineChooserTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(6)
        self.chooser = fakes.Choosing(self.world, self.traits).chooser
        self.link_mbps = 0.0

    def traits(self, service):
        del service
        return domain.EngineTraits(64, 400_000, 160_000.0, self.link_mbps, 4.0)

    def choose(self, *shared, tokens=14_000, tried=()):
        req = fakes.request(fakes.prompt(tokens, *shared))
        return self.chooser.choose(req, set(tried))

    def test_equal_parts_go_to_the_engine_that_keeps_them(self):
        first = self.choose(SHARED)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED))
        second = self.choose(SHARED)
        self.assertEqual(first.state.id, second.state.id)
        self.assertEqual(4_000, second.prefill_tokens)

    def test_every_vm_prefers_the_same_engine_for_new_parts(self):
        other = fakes.Choosing(self.world, self.traits, seed=2).chooser
        req = fakes.request(fakes.prompt(14_000, SHARED))
        self.assertEqual(
            self.chooser.choose(req, ()).state.id,
            other.choose(req, ()).state.id,
        )

    def test_hot_parts_spread_when_their_engine_is_overloaded(self):
        first = self.choose(SHARED)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED))
        first.state.prefill_tokens = 400_000
        self.assertNotEqual(first.state.id, self.choose(SHARED).state.id)

    def test_request_sent_elsewhere_fetches_the_parts_from_their_holder(self):
        self.link_mbps = 500_000.0
        first = self.choose(SHARED)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED))
        first.state.prefill_tokens = 400_000
        second = self.choose(SHARED)
        self.assertEqual(first.state.id, second.fetch_from.id)
        self.assertEqual(4_000, second.prefill_tokens)

    def test_engine_that_reads_less_is_preferred_to_an_equal_one(self):
        parts = fakes.Choosing(self.world, self.traits)
        patient = fakes.route("patient", latency_target_ms=2_000.0)
        req = fakes.request(fakes.prompt(14_000, SHARED), patient)
        first = parts.chooser.choose(req, ())
        parts.prefill_meter.record(first.state.id, 100_000.0)
        second = parts.chooser.choose(req, ())
        self.assertNotEqual(first.state.id, second.state.id)

    def test_engine_whose_memory_is_full_is_left(self):
        first = self.choose(SHARED)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED))
        # 60 of 64 slots are taken, and 14,000 tokens of each fill 400,000.
        for _ in range(60):
            fleet.InFlightAttempt(first.state, None, 0.0)
        self.assertNotEqual(first.state.id, self.choose(SHARED).state.id)

    def test_load_that_peers_tell_counts(self):
        first = self.choose(SHARED)
        load = peer_loads.Load(20, 400_000.0, latency.LatencySums())
        self.world.peers.record("vm-2", {first.state.id: load})
        self.assertNotEqual(first.state.id, self.choose(SHARED).state.id)

    def test_engine_that_hangs_fills_up_and_is_left(self):
        first = self.choose(SHARED)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED))
        for _ in range(40):
            fleet.InFlightAttempt(first.state, None, 4_000.0)
        self.assertNotEqual(first.state.id, self.choose(SHARED).state.id)

    def test_ejected_and_leaving_engines_get_nothing(self):
        first = self.choose(SHARED)
        first.state.record_failure(self.world.clock.now())
        second = self.choose(SHARED)
        self.assertNotEqual(first.state.id, second.state.id)
        leaving = fakes.endpoint(second.state.id, leaving=True)
        self.world.catalog.apply_endpoint(leaving)
        third = self.choose(SHARED)
        self.assertNotIn(third.state.id, (first.state.id, second.state.id))

    def test_the_last_ejected_engine_is_still_tried(self):
        for state in self.world.states:
            state.record_failure(self.world.clock.now())
        self.assertIsNotNone(self.choose(SHARED))

    def test_no_engine_is_left(self):
        tried = [state.id for state in self.world.states]
        self.assertIsNone(self.choose(SHARED, tried=tried))


class PoolChoiceTest(testtools.TestCase):
    """Short, interactive and other long prompts at once."""

    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(9)
        self.parts = fakes.Choosing(self.world)
        self.chooser = self.parts.chooser
        self.quick = fakes.route("quick", latency_target_ms=600.0)
        self.patient = fakes.route("patient", latency_target_ms=2_000.0)

    def send(self, route, tokens):
        req = fakes.request(fakes.prompt(tokens), route)
        self.parts.kinds.record(req)
        chosen = self.chooser.choose(req, ())
        fleet.InFlightAttempt(chosen.state, None, chosen.prefill_tokens)
        return chosen.state.id

    def test_burst_of_long_prompts_leaves_interactive_ones_on_time(self):
        for _ in range(60):
            self.send(self.patient, 17_000)
        req = fakes.request(fakes.prompt(9_000), self.quick)
        self.assertLess(self.chooser.choose(req, ()).wait_ms, 600.0)

    def test_interactive_prompts_use_idle_engines_of_long_ones(self):
        used = {self.send(self.quick, 9_000) for _ in range(12)}
        self.assertGreater(len(used), 2)

    def fill_batch_engines(self):
        for _ in range(60):
            self.send(self.patient, 17_000)

    def pool_of(self, route):
        req = fakes.request(fakes.prompt(9_000), route)
        found = self.parts.pools.split(req, self.world.states).own
        return {state.id for state in found}

    def test_long_prompt_stays_out_of_other_pools(self):
        self.fill_batch_engines()
        batch = self.pool_of(self.patient)
        self.assertIn(self.send(self.patient, 17_000), batch)

    def test_prompt_with_little_to_read_uses_idle_engines_of_other_pools(self):
        self.fill_batch_engines()
        batch = self.pool_of(self.patient)
        self.assertNotIn(self.send(self.patient, 2_000), batch)

    def test_it_stays_where_it_is_when_those_engines_read_already(self):
        self.fill_batch_engines()
        batch = self.pool_of(self.patient)
        for state in self.world.states:
            if state.id not in batch:
                self.parts.prefill_meter.record(state.id, 80_000.0)
        self.assertIn(self.send(self.patient, 2_000), batch)


class SpreadTest(testtools.TestCase):
    def test_vms_with_the_same_view_do_not_all_choose_the_same_engine(self):
        world = fakes.RoutingFixture(70)
        patient = fakes.route("patient", latency_target_ms=2_000.0)
        idle = world.states[35]
        for state in world.states:
            state.prefill_tokens = 0.0 if state is idle else 30_000.0
        chosen = [
            fakes.Choosing(world, seed=seed).chooser.choose(
                fakes.request(fakes.prompt(9_000), patient), ()
            )
            for seed in range(40)
        ]
        to_idle = sum(found.state is idle for found in chosen)
        self.assertLess(to_idle, 15)


class LeastLoadedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(3)
        self.chooser = choosers.LeastLoadedChooser(
            self.world.fleet,
            self.world.peers,
            random.Random(1),
        )

    def choose(self):
        return self.chooser.choose(fakes.request(), ()).state.id

    def test_idle_endpoint_goes_first(self):
        for state in self.world.states[1:]:
            state.in_flight = 2
        self.assertEqual("e0", self.choose())

    def test_endpoint_that_fails_requests_is_avoided(self):
        grey = self.world.states[0]
        for _ in range(5):
            grey.latency.end(grey.latency.begin(20.0), failed=True)
        self.assertNotIn("e0", {self.choose() for _ in range(20)})

    def test_endpoint_that_went_silent_is_avoided_before_it_fails(self):
        silent = self.world.states[0]
        for _ in range(3):
            silent.latency.begin(20.0)
        self.world.clock.advance(600.0)
        self.assertNotIn("e0", {self.choose() for _ in range(20)})
