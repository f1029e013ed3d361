"""The planned load and the configurations of the benchmark."""

import testtools

from bench import configuration
from bench import load
from bench import scenarios
from bench import sites
from hornbeampier.operators import schema

DURATION_MS = 60_000.0


def make_plan(seed, scenario=scenarios.Scenario.BURST):
    profile = scenarios.PROFILES[scenario]
    return load.plan(
        sites.COOPERATIVE,
        profile,
        sites.COOPERATIVE.capacity,
        DURATION_MS,
        seed,
    )


def offered_load(requests, begin, end):
    """Returns the load offered between two fractions of the run's duration.

    In tokens, as a fraction of the capacity.
    """
    tokens = sum(
        r.tokens
        for r in requests
        if begin * DURATION_MS <= r.at_ms < end * DURATION_MS
    )
    seconds = (end - begin) * DURATION_MS / 1_000
    return tokens / (seconds * sites.COOPERATIVE.capacity)


class LoadTest(testtools.TestCase):
    def test_equal_seeds_give_equal_plans(self):
        self.assertEqual(make_plan(1), make_plan(1))
        self.assertNotEqual(make_plan(1), make_plan(2))

    def test_the_burst_offers_three_times_the_capacity(self):
        requests = make_plan(1)
        self.assertAlmostEqual(0.7, offered_load(requests, 0, 1 / 3), delta=0.1)
        middle = offered_load(requests, 1 / 3, 2 / 3)
        self.assertAlmostEqual(3.0, middle, delta=0.3)

    def test_swamp_multiplies_the_load_of_the_first_account_only(self):
        def count(scenario, account):
            plan = make_plan(1, scenario)
            return sum(r.account is account for r in plan)

        swamp, steady = scenarios.Scenario.SWAMP, scenarios.Scenario.STEADY
        first, second = sites.ACCOUNTS[:2]
        ratio = count(swamp, first) / count(steady, first)
        self.assertAlmostEqual(5.0, ratio, delta=0.5)
        ratio = count(swamp, second) / count(steady, second)
        self.assertAlmostEqual(1.0, ratio, delta=0.2)

    def test_joined_scenarios_combine_their_profiles(self):
        profile = scenarios.combine("burst+crash+straggler")
        self.assertEqual(
            scenarios.Profile(peak=3.0, crash=True, slowdown=10.0), profile
        )


class SitesTest(testtools.TestCase):
    def test_both_deployments_have_valid_configurations(self):
        for site in sites.SITES.values():
            ports = list(range(9001, 9001 + len(site.engines)))
            for flat in (False, True):
                text = configuration.render(site, ports, [9101], flat)
                cfg = schema.parse(text)
                tiers = {c.tier for c in cfg.classes}
                self.assertEqual({1} if flat else {1, 2, 3}, tiers)
