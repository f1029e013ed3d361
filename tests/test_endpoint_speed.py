"""Choices among endpoints of one service that differ in speed."""

import random

import gevent
import testtools

from hornbeampier.http1 import messages
from hornbeampier.peers import load_messages
from hornbeampier.platform import headers
from hornbeampier.platform import names
from hornbeampier.routing import choosers
from hornbeampier.routing import endpoint_speed
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import service_speeds
from tests import nodes
from tests import routing_fakes as fakes

ENGINE_COUNT = 8
STREAMS = 100


def decode(value):
    head = messages.ResponseHead(200, ((names.LOAD, value),), None)
    return headers.decode_response(head).load


class LoadReportTest(testtools.TestCase):
    # Guards against load headers of earlier endpoints that are rejected.
    def test_fourth_figure_is_optional(self):
        self.assertEqual(endpoint_speed.LoadReport(3, 0, 64), decode(b"3,0,64"))
        self.assertEqual(2.5, decode(b"3, 0, 64, 250").slowdown)

    def test_malformed_values_are_dropped(self):
        """A broken endpoint must not end the request of its caller."""
        for value in (b"", b"3,0", b"a,0,64", b"-1,0,64", b"3,0,64,1,1"):
            self.assertIsNone(decode(value), value)
        for value in (b"nan", b"-5", b"0", b"inf", b"x", b""):
            self.assertIsNone(decode(b"3,0,64," + value).slowdown, value)


class SpeedCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = fakes.RoutingFixture(ENGINE_COUNT)
        self.speeds = service_speeds.ServiceSpeeds(
            self.fixture.fleet, self.fixture.peers, self.fixture.clock
        )

    def record(self, ratio_of, noise=0.0, streams=STREAMS):
        """Records streams of each engine, `ratio_of` gives their ratio."""
        rng = random.Random(1)
        for state in self.fixture.states:
            for _ in range(streams):
                ratio = ratio_of(state) * rng.lognormvariate(0.0, noise)
                state.speed.record_stream(ratio)

    def factors(self):
        return self.speeds.long_term_factors(fakes.SERVICE)


class ServiceSpeedsTest(SpeedCase):
    # Guards against a lasting difference in speed that goes unnoticed in noise.
    def test_slow_and_fast_engines_are_found(self):
        ratios = {"e0": 2.0, "e1": 0.6}
        self.record(lambda state: 1.4 * ratios.get(state.id, 1.0), noise=0.3)
        factors = self.factors()
        self.assertEqual({"e0", "e1"}, factors.keys())
        self.assertTrue(1.7 < factors["e0"] < 2.2, factors)
        self.assertTrue(0.5 < factors["e1"] < 0.7, factors)

    def test_noise_makes_no_difference(self):
        """Engines of equal speed must be chosen as without the estimate."""
        self.record(lambda state: 1.0, noise=0.3)
        self.assertEqual({}, self.factors())

    def test_few_slow_streams_make_no_difference(self):
        """Streams beside the prefill of a long prompt are slow everywhere."""
        self.record(lambda state: 1.0, streams=9)
        slow = self.fixture.states[0].speed
        slow.record_stream(4.0)
        self.fixture.catalog.apply_endpoint(fakes.endpoint("new"))
        for _ in range(2):
            self.fixture.fleet.get("new").speed.record_stream(4.0)
        self.assertEqual({}, self.factors())

    # Guards against new engines that are avoided because of one slow stream.
    def test_one_stream_of_an_engine_says_little(self):
        self.record(lambda state: 1.0)
        self.fixture.catalog.apply_endpoint(fakes.endpoint("new"))
        self.fixture.fleet.get("new").speed.record_stream(2.0)
        self.fixture.clock.advance(service_speeds.REFRESH_MS)
        self.assertLess(self.factors().get("new", 1.0), 1.2)

    def test_peers_tell_what_this_vm_has_not_seen(self):
        """With many VMs, each of them sees few streams of an engine."""
        loads = {
            state.id: peer_loads.Load(
                latency_sums=latency.LatencySums(
                    3_000.0 if state.id == "e0" else 1_000.0, 1_000.0
                )
            )
            for state in self.fixture.states
        }
        self.fixture.peers.record("vm-2", loads)
        self.assertEqual({"e0"}, self.factors().keys())

    # Guards against measurements of streams that gossip leaves out.
    def test_measurements_reach_peers(self):
        self.record(lambda state: 2.0, streams=3)
        sums = load_messages.to_load(self.fixture.states[0]).latency_sums
        self.assertEqual(latency.LatencySums(600.0, 300.0), sums)

    # Guards against an engine that gets no prompts, and is not measured, ever
    # again.
    def test_factor_is_bounded_and_forgotten(self):
        self.record(lambda state: 4.0 if state.id == "e0" else 0.5)
        self.assertEqual({"e0": service_speeds.MAX_FACTOR}, self.factors())
        self.fixture.clock.advance(10 * endpoint_speed.DECAY_TIME_MS)
        self.assertEqual({}, self.factors())


class EngineChoiceTest(SpeedCase):
    def choose_many(self, tokens, count=60, seed=1):
        chooser = fakes.ChooserFixture(self.fixture, seed=seed).chooser
        choices = []
        for _ in range(count):
            choice = chooser.choose(fakes.request(fakes.prompt(tokens)), ())
            fleet.InFlightAttempt(choice.state, None, choice.prefill_tokens)
            choices.append(choice)
        return choices

    def counts(self, tokens, count):
        ids = [choice.state.id for choice in self.choose_many(tokens, count)]
        return [ids.count(state.id) for state in self.fixture.states]

    # Guards against choices that change in deployments whose engines are
    # equally fast.
    def test_equal_engines_are_chosen_as_without_signal(self):
        def choices():
            self.fixture = fakes.RoutingFixture(ENGINE_COUNT)
            if self.noise is not None:
                self.record(lambda state: 1.0, noise=self.noise)
                for state in self.fixture.states:
                    state.speed.record_report(
                        endpoint_speed.LoadReport(9, 9, 8, 1.0)
                    )
            return [
                (choice.state.id, choice.wait_ms, choice.prefill_utilization)
                for choice in self.choose_many(5_000)
            ]

        self.noise = None
        without = choices()
        self.noise = 0.3
        self.assertEqual(without, choices())

    def test_slow_engine_gets_fewer_but_some_prompts(self):
        """Prompts must neither wait at it nor all crowd the other engines."""
        for tokens in (50, 9_000):
            self.fixture = fakes.RoutingFixture(ENGINE_COUNT)
            self.record(lambda state: 2.0 if state.id == "e0" else 1.0)
            slow, *others = self.counts(tokens, count=200)
            least = min(count for count in others if count)
            self.assertTrue(0 < slow < 0.75 * least, (tokens, slow, others))

    # Guards against a reported slowdown that is ignored, or used long after it
    # has ended.
    def test_wait_follows_the_current_speed_for_a_moment(self):
        state = self.fixture.states[0]
        usual_ms = self.wait_ms(state)
        state.speed.record_report(endpoint_speed.LoadReport(1, 0, 8, 2.5))
        self.assertAlmostEqual(2.5 * usual_ms, self.wait_ms(state))
        self.fixture.clock.advance(endpoint_speed.SLOWDOWN_HALF_LIFE_MS)
        self.assertAlmostEqual(1.75 * usual_ms, self.wait_ms(state))
        self.fixture.clock.advance(endpoint_speed.MAX_SLOWDOWN_AGE_MS)
        self.assertEqual(usual_ms, self.wait_ms(state))

    def wait_ms(self, state):
        others = {s.id for s in self.fixture.states} - {state.id}
        chooser = fakes.ChooserFixture(self.fixture).chooser
        return chooser.choose(fakes.request(fakes.prompt(50)), others).wait_ms


class PlainChoiceTest(SpeedCase):
    # Guards against plain requests to an endpoint that reports a slowdown.
    def test_endpoint_that_is_slow_now_gets_no_request(self):
        chooser = choosers.LeastLoadedChooser(
            self.fixture.fleet, self.fixture.peers, random.Random(1)
        )
        slow = self.fixture.states[0]
        slow.speed.record_report(endpoint_speed.LoadReport(1, 0, 8, 2.5))
        chosen = {
            chooser.choose(fakes.request(), ()).state.id for _ in range(50)
        }
        self.assertEqual(ENGINE_COUNT - 1, len(chosen))
        self.assertNotIn(slow.id, chosen)


class NodeTest(nodes.NodeTestCase):
    def test_streams_and_load_headers_are_measured(self):
        """The estimate stays at 1 for all if nobody feeds it."""

        def handler(req):
            load = f"{names.LOAD.decode()}: 1,0,8,250"
            req.begin_stream((load, "Connection: close"))
            for number in range(6):
                req.send_event(number + 1)
                gevent.sleep(0.003)
            req.end_stream()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler, endpoint_id="e0")
        router = self.start_ready_node()
        prompt = {
            "X-Hornbeampier-Model": "m",
            "X-Hornbeampier-Token-Usage": "1000,50",
        }
        for _ in range(engine_model.MIN_SAMPLE_COUNT + 2):
            caller = self.connect(router)
            caller.send("POST", "/stream/x", prompt, body=b"{}")
            self.assertTrue(caller.read().complete)
        meter = router._fleet.get("e0").speed
        self.assertEqual(endpoint_speed.LoadReport(1, 0, 8, 2.5), meter.report)
        self.assertTrue(150.0 < meter.sums().expected_ms <= 200.0)
