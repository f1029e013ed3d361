"""Stragglers must not delay requests, nor stay ejected once they recover."""

import random

import testtools

from hornbeampier import clock
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import health
from tests import processes
from tests import test_tiers

NORMAL_MS = 20.0
SLOW_MS = 200.0
EJECTION_MS = health.STRAGGLER_EJECTION_MS


class StragglerTest(testtools.TestCase):
    """Four endpoints, of which the first was ejected as a straggler."""

    def setUp(self):
        super().setUp()
        rows = [(f"engine-{i}", 9100 + i) for i in range(1, 5)]
        endpoints = registry.Registry(clock.ManualClock())
        endpoints.apply(schema.parse(processes.configuration(rows, slots=4)))
        self.states = endpoints.all()
        self.straggler = self.states[0]
        self.chooser = choice.EndpointChooser(
            test_tiers.NoPeers(), random.Random(1)
        )
        for state in self.states[1:]:
            self.measure(state, NORMAL_MS, 0.0)
        self.measure(self.straggler, SLOW_MS, 0.0)

    def measure(self, state, inter_token_ms, now_ms):
        """Records times between tokens until a straggler check is due."""
        for _ in range(health.STRAGGLER_CHECK_TOKENS):
            health.record_inter_token(state, inter_token_ms)
            if health.is_straggler_check_due(state):
                health.eject_straggler(state, now_ms, self.states)

    def choose(self, now_ms, is_top_tier=False):
        chosen = self.chooser.choose(
            self.states, is_top_tier, frozenset(), now_ms
        )
        if chosen.endpoint is not None:
            chosen.endpoint.in_flight += 1
        return chosen.endpoint

    def test_straggler_gets_no_requests_while_ejected(self):
        chosen = [self.choose(0.0) for _ in range(13)]
        self.assertNotIn(self.straggler, chosen)
        self.assertIsNone(chosen[-1])

    def test_straggler_returns_with_a_single_request_of_a_lower_tier(self):
        self.assertIsNot(
            self.straggler, self.choose(EJECTION_MS, is_top_tier=True)
        )
        chosen = [self.choose(EJECTION_MS) for _ in range(12)]
        self.assertEqual(1, chosen.count(self.straggler))

    def test_highest_tier_tests_a_straggler_if_no_other_request_has(self):
        self.assertIs(
            self.straggler, self.choose(2 * EJECTION_MS, is_top_tier=True)
        )

    def test_straggler_that_is_still_slow_is_ejected_again(self):
        self.measure(self.straggler, SLOW_MS, EJECTION_MS)
        self.assertEqual(2 * EJECTION_MS, self.straggler.ejected_until_ms)

    def test_recovered_straggler_gets_as_many_requests_as_the_others(self):
        self.measure(self.straggler, NORMAL_MS, EJECTION_MS)
        chosen = [self.choose(EJECTION_MS) for _ in range(16)]
        self.assertEqual(4, chosen.count(self.straggler))

    def test_tokens_measured_during_the_ejection_do_not_end_the_trial(self):
        self.measure(self.straggler, SLOW_MS, EJECTION_MS / 2)
        chosen = [self.choose(EJECTION_MS) for _ in range(14)]
        self.assertEqual(1, chosen.count(self.straggler))

    def test_unmeasured_endpoint_is_not_preferred(self):
        self.states[3].inter_token_ms = 0.0
        chosen = [self.choose(0.0) for _ in range(6)]
        self.assertEqual(2, chosen.count(self.states[3]))
