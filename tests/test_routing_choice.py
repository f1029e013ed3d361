"""Choice of an endpoint by affinity, load, prompt kind and health."""

import random

import testtools

from hornbeampier.routing import choosers
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from tests import routing_fakes as fakes

SHARED_SEGMENT = ("doc-1", 10_000)


class EngineChooserTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(6)
        self.chooser = fakes.ChooserFixture(self.fixture, self.traits).chooser
        self.link_mbps = 0.0

    def traits(self, service):
        del service
        return domain.EngineTraits(64, 400_000, 160_000.0, self.link_mbps, 4.0)

    def choose(self, *shared, tokens=14_000, tried=()):
        req = fakes.request(fakes.prompt(tokens, *shared))
        return self.chooser.choose(req, set(tried))

    def test_prompts_with_a_shared_segment_go_to_the_holder(self):
        first = self.choose(SHARED_SEGMENT)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED_SEGMENT))
        second = self.choose(SHARED_SEGMENT)
        self.assertEqual(first.state.id, second.state.id)
        self.assertEqual(4_000, second.prefill_tokens)

    def test_all_vms_choose_the_same_engine_for_a_new_segment(self):
        other = fakes.ChooserFixture(self.fixture, self.traits, seed=2).chooser
        req = fakes.request(fakes.prompt(14_000, SHARED_SEGMENT))
        self.assertEqual(
            self.chooser.choose(req, ()).state.id,
            other.choose(req, ()).state.id,
        )

    def test_overloaded_holder_gets_no_more_prompts(self):
        first = self.choose(SHARED_SEGMENT)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED_SEGMENT))
        first.state.prefill_tokens = 400_000
        self.assertNotEqual(
            first.state.id, self.choose(SHARED_SEGMENT).state.id
        )

    def test_prompt_on_another_engine_fetches_the_segment_from_the_holder(self):
        self.link_mbps = 500_000.0
        first = self.choose(SHARED_SEGMENT)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED_SEGMENT))
        first.state.prefill_tokens = 400_000
        second = self.choose(SHARED_SEGMENT)
        self.assertEqual(first.state.id, second.fetch_from.id)
        self.assertEqual(4_000, second.prefill_tokens)

    def test_engine_with_high_prefill_utilization_is_avoided(self):
        chooser_fixture = fakes.ChooserFixture(self.fixture, self.traits)
        batch_route = fakes.route("batch", latency_target_ms=2_000.0)
        req = fakes.request(fakes.prompt(14_000, SHARED_SEGMENT), batch_route)
        first = chooser_fixture.chooser.choose(req, ())
        chooser_fixture.prefill_meter.record(first.state.id, 100_000.0)
        second = chooser_fixture.chooser.choose(req, ())
        self.assertNotEqual(first.state.id, second.state.id)

    def test_engine_with_a_full_kv_cache_is_avoided(self):
        first = self.choose(SHARED_SEGMENT)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED_SEGMENT))
        # Of 64 slots, 60 are taken, but the KV cache of 400,000 tokens holds
        # only 28 requests of 14,000 tokens.
        for _ in range(60):
            fleet.InFlightAttempt(first.state, None, 0.0)
        self.assertNotEqual(
            first.state.id, self.choose(SHARED_SEGMENT).state.id
        )

    def test_load_of_peers_is_counted(self):
        first = self.choose(SHARED_SEGMENT)
        load = peer_loads.Load(20, 400_000.0, latency.LatencySums())
        self.fixture.peers.record("vm-2", {first.state.id: load})
        self.assertNotEqual(
            first.state.id, self.choose(SHARED_SEGMENT).state.id
        )

    def test_hanging_engine_is_avoided_as_its_requests_accumulate(self):
        first = self.choose(SHARED_SEGMENT)
        first.state.prefix_cache.record(fakes.prompt(14_000, SHARED_SEGMENT))
        for _ in range(40):
            fleet.InFlightAttempt(first.state, None, 4_000.0)
        self.assertNotEqual(
            first.state.id, self.choose(SHARED_SEGMENT).state.id
        )

    def test_ejected_and_leaving_engines_get_no_requests(self):
        first = self.choose(SHARED_SEGMENT)
        first.state.record_failure(self.fixture.clock.now())
        second = self.choose(SHARED_SEGMENT)
        self.assertNotEqual(first.state.id, second.state.id)
        leaving = fakes.endpoint(second.state.id, leaving=True)
        self.fixture.catalog.apply_endpoint(leaving)
        third = self.choose(SHARED_SEGMENT)
        self.assertNotIn(third.state.id, (first.state.id, second.state.id))

    def test_ejected_engine_is_used_if_all_are_ejected(self):
        for state in self.fixture.states:
            state.record_failure(self.fixture.clock.now())
        self.assertIsNotNone(self.choose(SHARED_SEGMENT))

    def test_no_engine_is_chosen_when_all_were_tried(self):
        tried = [state.id for state in self.fixture.states]
        self.assertIsNone(self.choose(SHARED_SEGMENT, tried=tried))


class PoolChoiceTest(testtools.TestCase):
    """Engine pools under concurrent interactive and batch prompts."""

    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(9)
        self.chooser_fixture = fakes.ChooserFixture(self.fixture)
        self.chooser = self.chooser_fixture.chooser
        self.interactive_route = fakes.route(
            "interactive", latency_target_ms=600.0
        )
        self.batch_route = fakes.route("batch", latency_target_ms=2_000.0)

    def send(self, route, tokens):
        req = fakes.request(fakes.prompt(tokens), route)
        self.chooser_fixture.classifier.record(req)
        choice = self.chooser.choose(req, ())
        fleet.InFlightAttempt(choice.state, None, choice.prefill_tokens)
        return choice.state.id

    def test_burst_of_batch_prompts_does_not_delay_interactive_ones(self):
        for _ in range(60):
            self.send(self.batch_route, 17_000)
        req = fakes.request(fakes.prompt(9_000), self.interactive_route)
        self.assertLess(self.chooser.choose(req, ()).wait_ms, 600.0)

    def test_interactive_prompts_spill_over_to_idle_batch_engines(self):
        used = {self.send(self.interactive_route, 9_000) for _ in range(12)}
        self.assertGreater(len(used), 2)

    # Guards against large prompts that stay in a busy pool because their own
    # prefill, which is the same at all engines, hides the shorter queue.
    def test_large_interactive_prompts_spill_over_to_idle_batch_engines(self):
        pool = self.pool_of(self.interactive_route)
        for state in self.fixture.states:
            if state.id in pool:
                fleet.InFlightAttempt(state, None, 40_000)
        self.assertNotIn(self.send(self.interactive_route, 60_000), pool)

    def fill_batch_engines(self):
        for _ in range(60):
            self.send(self.batch_route, 17_000)

    def pool_of(self, route):
        req = fakes.request(fakes.prompt(9_000), route)
        pool = self.chooser_fixture.pools.split(req, self.fixture.states).pool
        return {state.id for state in pool}

    def test_large_batch_prompt_does_not_spill_over(self):
        self.fill_batch_engines()
        batch = self.pool_of(self.batch_route)
        self.assertIn(self.send(self.batch_route, 17_000), batch)

    def test_batch_prompt_with_little_prefill_spills_over_to_idle_engines(self):
        self.fill_batch_engines()
        batch = self.pool_of(self.batch_route)
        self.assertNotIn(self.send(self.batch_route, 2_000), batch)

    def test_batch_prompt_does_not_spill_over_to_engines_busy_with_prefill(
        self,
    ):
        self.fill_batch_engines()
        batch = self.pool_of(self.batch_route)
        for state in self.fixture.states:
            if state.id not in batch:
                self.chooser_fixture.prefill_meter.record(state.id, 80_000.0)
        self.assertIn(self.send(self.batch_route, 2_000), batch)


class HerdingTest(testtools.TestCase):
    def test_vms_with_equal_state_do_not_all_choose_the_same_engine(self):
        fixture = fakes.RoutingFixture(70)
        batch_route = fakes.route("batch", latency_target_ms=2_000.0)
        idle = fixture.states[35]
        for state in fixture.states:
            state.prefill_tokens = 0.0 if state is idle else 30_000.0
        choices = [
            fakes.ChooserFixture(fixture, seed=seed).chooser.choose(
                fakes.request(fakes.prompt(9_000), batch_route), ()
            )
            for seed in range(40)
        ]
        idle_count = sum(choice.state is idle for choice in choices)
        self.assertLess(idle_count, 15)


class LeastLoadedChooserTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(3)
        self.chooser = choosers.LeastLoadedChooser(
            self.fixture.fleet,
            self.fixture.peers,
            random.Random(1),
        )

    def choose(self):
        return self.chooser.choose(fakes.request(), ()).state.id

    def test_idle_endpoint_is_preferred(self):
        for state in self.fixture.states[1:]:
            state.in_flight = 2
        self.assertEqual("e0", self.choose())

    def test_endpoint_that_fails_requests_is_avoided(self):
        failing = self.fixture.states[0]
        for _ in range(5):
            failing.latency.end(failing.latency.begin(20.0), failed=True)
        self.assertNotIn("e0", {self.choose() for _ in range(20)})

    def test_silent_endpoint_is_avoided_before_its_requests_fail(self):
        silent = self.fixture.states[0]
        for _ in range(3):
            silent.latency.begin(20.0)
        self.fixture.clock.advance(600.0)
        self.assertNotIn("e0", {self.choose() for _ in range(20)})
