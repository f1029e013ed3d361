"""Ranks requests by the tiers of their client account and of their route.

The account's tier takes precedence; the route's tier breaks ties.
"""

from collections.abc import Iterable

from hornbeampier.routing import domain


class UrgencyRanks:
    """The urgency ranks of one configuration; 0 is the most urgent."""

    def __init__(self, cfg: domain.Configuration):
        accounts = (cfg.accounts or {}).values()
        self._account_positions = _positions(
            account.tier for account in accounts
        )
        self._route_positions = _positions(route.tier for route in cfg.routes)

    def rank(
        self,
        account: domain.ClientAccount | None,
        route: domain.Route,
        rank_count: int,
    ) -> int:
        """Returns the rank of a request, from 0 to `rank_count` - 1.

        A client account without a tier ranks after all that have one. If there
        are more pairs of tiers than ranks, adjacent pairs share a rank.
        """
        tier = account.tier if account is not None else None
        position = self._account_positions.get(
            tier, len(self._account_positions)
        )
        pair_index = (
            position * len(self._route_positions)
            + self._route_positions[route.tier]
        )
        pair_count = (len(self._account_positions) + 1) * len(
            self._route_positions
        )
        return (
            pair_index
            if pair_count <= rank_count
            else pair_index * rank_count // pair_count
        )


def _positions(tiers: Iterable[int | None]) -> dict[int, int]:
    """Returns the position of each tier among the distinct tiers in use."""
    distinct = {tier for tier in tiers if tier is not None}
    return {tier: position for position, tier in enumerate(sorted(distinct))}
