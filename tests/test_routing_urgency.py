"""Urgency ranks from the tiers of client accounts and of routes."""

import testtools

from hornbeampier.routing import domain
from hornbeampier.routing import urgency
from tests import routing_fakes as fakes

LIMITS = domain.Limits(1, 1, 1.0, 1.0)


def account(tier):
    return domain.ClientAccount(f"account-{tier}", tier)


class UrgencyRanksTest(testtools.TestCase):
    def make_ranks(self, account_tiers=(0, 1), route_tiers=(0, 1, 2)):
        self.routes = [fakes.route(f"r{t}", tier=t) for t in route_tiers]
        self.accounts = [account(tier) for tier in account_tiers]
        cfg = domain.Configuration(
            version=1,
            routes=tuple(self.routes),
            services={},
            accounts={account.name: account for account in self.accounts},
            limits=LIMITS,
        )
        return urgency.UrgencyRanks(cfg)

    def ranks(self, urgency_ranks, ranks=10):
        return [
            urgency_ranks.rank(account, route, ranks)
            for account in self.accounts
            for route in self.routes
        ]

    def test_route_tier_breaks_ties_between_equal_accounts(self):
        # Ranked by the account's tier alone, requests of the most urgent route
        # were preempted when an engine's KV cache was full.
        urgency_ranks = self.make_ranks()
        ranks = self.ranks(urgency_ranks)
        self.assertEqual(sorted(set(ranks)), ranks)

    def test_account_tier_precedes_route_tier(self):
        urgency_ranks = self.make_ranks()
        first, second = self.accounts
        self.assertLess(
            urgency_ranks.rank(first, self.routes[2], 10),
            urgency_ranks.rank(second, self.routes[0], 10),
        )

    def test_account_without_a_tier_ranks_last(self):
        urgency_ranks = self.make_ranks()
        last = max(self.ranks(urgency_ranks))
        self.assertGreater(urgency_ranks.rank(None, self.routes[0], 10), last)
        self.assertGreater(
            urgency_ranks.rank(account(None), self.routes[0], 10), last
        )

    def test_route_tier_decides_alone_without_account_tiers(self):
        urgency_ranks = self.make_ranks(account_tiers=())
        ranks = [urgency_ranks.rank(None, route, 10) for route in self.routes]
        self.assertEqual([0, 1, 2], ranks)

    def test_ranks_stay_in_order_with_more_tiers_than_ranks(self):
        urgency_ranks = self.make_ranks(
            account_tiers=range(7), route_tiers=range(5)
        )
        ranks = self.ranks(urgency_ranks)
        self.assertEqual(sorted(ranks), ranks)
        self.assertTrue(set(ranks) <= set(range(10)))
