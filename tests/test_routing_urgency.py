"""Which requests go first where tiers of accounts and routes meet."""

import testtools

from hornbeampier.routing import domain
from hornbeampier.routing import urgency
from tests import routing_fakes as fakes

LIMITS = domain.Limits(1, 1, 1.0, 1.0)


def account(tier):
    return domain.ClientAccount(f"account-{tier}", tier)


class UrgencyRanksTest(testtools.TestCase):
    def make(self, account_tiers=(0, 1), route_tiers=(0, 1, 2)):
        self.routes = [fakes.route(f"r{t}", tier=t) for t in route_tiers]
        self.accounts = [account(tier) for tier in account_tiers]
        cfg = domain.Configuration(
            version=1,
            routes=tuple(self.routes),
            services={},
            accounts={found.name: found for found in self.accounts},
            limits=LIMITS,
        )
        return urgency.UrgencyRanks(cfg)

    def ranks(self, found, ranks=10):
        return [
            found.rank(account, route, ranks)
            for account in self.accounts
            for route in self.routes
        ]

    def test_route_decides_among_requests_of_equal_accounts(self):
        # With the account's tier alone, an engine that ran out of memory
        # interrupted requests of the most urgent route.
        found = self.make()
        ranks = self.ranks(found)
        self.assertEqual(sorted(set(ranks)), ranks)

    def test_account_goes_before_the_route(self):
        found = self.make()
        first, second = self.accounts
        self.assertLess(
            found.rank(first, self.routes[2], 10),
            found.rank(second, self.routes[0], 10),
        )

    def test_request_without_a_tier_of_its_account_comes_last(self):
        found = self.make()
        last = max(self.ranks(found))
        self.assertGreater(found.rank(None, self.routes[0], 10), last)
        self.assertGreater(found.rank(account(None), self.routes[0], 10), last)

    def test_routes_alone_decide_where_no_account_has_a_tier(self):
        found = self.make(account_tiers=())
        ranks = [found.rank(None, route, 10) for route in self.routes]
        self.assertEqual([0, 1, 2], ranks)

    def test_many_tiers_share_the_ranks_in_order(self):
        found = self.make(account_tiers=range(7), route_tiers=range(5))
        ranks = self.ranks(found)
        self.assertEqual(sorted(ranks), ranks)
        self.assertTrue(set(ranks) <= set(range(10)))
