"""Choice of an engine for a stream that one software version has begun."""

import random

import testtools

from hornbeampier import errors
from hornbeampier.routing import choosers
from hornbeampier.routing import dispatch
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import placements
from hornbeampier.routing import requests
from tests import routing_fakes as fakes

ENGINES = 8
BATCH = fakes.route("batch", latency_target_ms=2_000.0)
# Prompt tokens that make the next prompt wait for two seconds or more.
QUEUED_TOKENS = 100_000.0


def mixed_fixture():
    """Two engines of the version `old`, and others of the version `new`."""
    fixture = fakes.RoutingFixture(0)
    for number in range(ENGINES):
        version = "old" if number < 2 else "new"
        fixture.catalog.apply_endpoint(
            fakes.endpoint(f"e{number}", software_version=version)
        )
    return fixture


class EngineOfVersionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = mixed_fixture()
        self.chooser_fixture = fakes.ChooserFixture(self.fixture)
        self.chooser = self.chooser_fixture.chooser

    def choose(self, version, tried=()):
        req = fakes.request(fakes.prompt(8_000, ("doc", 6_000)))
        return self.chooser.choose(req, set(tried), version)

    def chosen_ids(self, version):
        return {self.choose(version).state.id for _ in range(20)}

    # Guards against engines of another version that are less loaded.
    def test_loaded_engines_of_the_version_go_before_idle_ones_of_another(self):
        for id_ in ("e0", "e1"):
            fleet.InFlightAttempt(self.fixture.fleet.get(id_), None, 50_000.0)
        self.assertLessEqual(self.chosen_ids("old"), {"e0", "e1"})

    def test_engine_of_another_pool_is_chosen_if_the_own_has_none(self):
        for short, batch in ((200, 12_000), (12_000, 200)):
            for _ in range(200):
                self.chooser_fixture.pools.record(
                    fakes.request(fakes.prompt(short)), short, 8
                )
                self.chooser_fixture.pools.record(
                    fakes.request(fakes.prompt(batch)), batch, 8
                )
            self.assertLessEqual(self.chosen_ids("old"), {"e0", "e1"})

    def test_none_is_chosen_if_no_engine_of_the_version_is_left(self):
        self.assertIsNone(self.choose("other"))
        self.assertIsNone(self.choose("old", tried=("e0", "e1")))

    def test_ejected_engine_is_chosen_if_it_is_the_last_of_its_version(self):
        self.fixture.fleet.get("e1").record_failure(0.0)
        self.assertEqual("e1", self.choose("old", tried=("e0",)).state.id)

    # Pools of the few engines of one version would be resized for all prompts.
    def test_choice_for_a_version_leaves_the_pools_as_they_are(self):
        for _ in range(50):
            self.choose(None)
        self.fixture.clock.advance(5_000.0)
        self.choose(None)
        before = self.chooser_fixture.pools.own_pool_sizes()
        for _ in range(50):
            self.choose("old")
        self.assertEqual(before, self.chooser_fixture.pools.own_pool_sizes())


class TakenUpTest(testtools.TestCase):
    """New streams begin at all engines, taken up ones at two of them."""

    def setUp(self):
        super().setUp()
        self.fixture = mixed_fixture()
        chooser_fixture = fakes.ChooserFixture(self.fixture)
        self.dispatcher = dispatch.Dispatcher(
            self.fixture.fleet,
            chooser_fixture.chooser,
            chooser_fixture.chooser,
            chooser_fixture.pools,
            placements.Placements(self.fixture.fleet, self.fixture.catalog),
            chooser_fixture.prefill_meter,
            chooser_fixture.load_shedder,
        )

    def count_begun(self, version, resumed):
        """How many of 20 streams go to an engine."""
        begun = 0
        for _ in range(20):
            req = fakes.request(
                fakes.prompt(8_000, ("doc", 6_000)), BATCH, resumed=resumed
            )
            try:
                self.dispatcher.choose(req, set(), version)
                begun += 1
            except errors.RefusalError:
                continue
        return begun

    # Guards against refusing streams that could go on in time, as the engines
    # of the version that began them are busier than the others (rule LOST).
    def test_streams_are_taken_up_as_often_as_new_ones_begin(self):
        for id_ in ("e0", "e1"):
            state = self.fixture.fleet.get(id_)
            fleet.InFlightAttempt(state, None, QUEUED_TOKENS)
        resumed = requests.ResumedStream("a0", "5")
        self.assertEqual(20, self.count_begun(None, None))
        self.assertEqual(20, self.count_begun("old", resumed))

    def test_stream_that_would_end_late_is_not_taken_up(self):
        for id_ in ("e0", "e1"):
            state = self.fixture.fleet.get(id_)
            fleet.InFlightAttempt(state, None, 10 * QUEUED_TOKENS)
        resumed = requests.ResumedStream("a0", "5")
        self.assertEqual(0, self.count_begun("old", resumed))


class KvTransferTest(testtools.TestCase):
    def fetch_source(self, holder_version):
        """Returns from where an engine of version `new` fetches a segment."""
        fixture = fakes.RoutingFixture(0)
        for id_, version in (("e0", holder_version), ("e1", "new")):
            fixture.catalog.apply_endpoint(
                fakes.endpoint(id_, software_version=version)
            )
        prompt = fakes.prompt(8_000, ("doc", 6_000))
        holder = fixture.fleet.get("e0")
        holder.prefix_cache.record(prompt)
        fleet.InFlightAttempt(holder, None, 10 * QUEUED_TOKENS)
        chooser = fakes.ChooserFixture(fixture, self.traits).chooser
        choice = chooser.choose(fakes.request(prompt), set())
        self.assertEqual("e1", choice.state.id)
        return choice.fetch_from and choice.fetch_from.id

    def traits(self, service):
        del service
        return domain.EngineTraits(64, 400_000, 1_000.0, 100_000.0, 4.0)

    # What two versions write does not fit together, KV caches neither.
    def test_cached_segments_are_not_fetched_from_another_version(self):
        self.assertEqual("e0", self.fetch_source("new"))
        self.assertIsNone(self.fetch_source("old"))


class PlainEndpointOfVersionTest(testtools.TestCase):
    def test_only_endpoints_of_the_version_are_chosen(self):
        fixture = fakes.RoutingFixture(0)
        for number in range(4):
            fixture.catalog.apply_endpoint(
                fakes.endpoint(f"e{number}", software_version=f"v{number % 2}")
            )
        chooser = choosers.LeastLoadedChooser(
            fixture.fleet, fixture.peers, random.Random(1)
        )
        ids = {
            chooser.choose(fakes.request(), (), "v1").state.id
            for _ in range(20)
        }
        self.assertEqual({"e1", "e3"}, ids)
