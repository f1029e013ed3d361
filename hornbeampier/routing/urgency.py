"""Ranks requests by the tiers of their client account and of their route.

The account's tier goes before the route's, which decides among equal accounts.
"""

from collections.abc import Iterable

from hornbeampier.routing import model


class UrgencyRanks:
    """The ranks of one configuration; 0 is the most urgent."""

    def __init__(self, cfg: model.Configuration):
        accounts = (cfg.accounts or {}).values()
        self._accounts = _order(account.tier for account in accounts)
        self._routes = _order(route.tier for route in cfg.routes)

    def rank(
        self,
        account: model.ClientAccount | None,
        route: model.Route,
        ranks: int,
    ) -> int:
        """Returns a request's rank out of `ranks`.

        A client account without a tier comes after all that have one. Where
        there are more pairs of tiers than ranks, neighbours share a rank.
        """
        tier = account.tier if account is not None else None
        place = self._accounts.get(tier, len(self._accounts))
        pair = place * len(self._routes) + self._routes[route.tier]
        pairs = (len(self._accounts) + 1) * len(self._routes)
        return pair if pairs <= ranks else pair * ranks // pairs


def _order(tiers: Iterable[int | None]) -> dict[int, int]:
    """Returns the place of each tier among those that occur."""
    found = {tier for tier in tiers if tier is not None}
    return {tier: place for place, tier in enumerate(sorted(found))}
