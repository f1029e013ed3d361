"""Spreads a number of endpoints over availability zones and kinds by price.

There are two kinds: spot endpoints, which the platform may reclaim at short
notice, and lasting ones.
"""

from collections.abc import Mapping
import dataclasses
import itertools
import math

from hornbeampier.routing import domain

# Price of a lasting endpoint in a zone without a configured price.
DEFAULT_PRICE = 1.0
# Zones that keep endpoints, so that the loss of a zone does not stop a service.
MIN_ZONES = 2
# Number of bounds on spot endpoints per zone that are tried first.
COARSE_BOUNDS = 16


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Group:
    """The endpoints of a service of one availability zone and kind."""

    availability_zone: str
    spot: bool


# Number of endpoints by group.
Counts = Mapping[Group, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """How many endpoints the work of a service needs.

    Attributes:
        total: Number of endpoints while none is lost.
        surviving: Number that must be left after all spot endpoints of any one
            zone are lost.
    """

    total: int
    surviving: int

    def is_met(self, counts: Counts) -> bool:
        """Whether the endpoints suffice."""
        return not any(self.shortfall(counts))

    def shortfall(self, counts: Counts) -> tuple[int, int]:
        """Returns how many endpoints are missing in total and after a loss."""
        total = sum(counts.values())
        left = total - largest_spot_count(counts)
        return max(0, self.total - total), max(0, self.surviving - left)


def largest_spot_count(counts: Counts) -> int:
    """Returns the largest number of spot endpoints in a zone."""
    return max((n for group, n in counts.items() if group.spot), default=0)


class Allocator:
    """Finds the cheapest numbers of a service's endpoints."""

    def __init__(self, autoscale: domain.Autoscale, groups: list[Group]):
        """Creates an allocator for the groups that may have endpoints."""
        self._autoscale = autoscale
        self._groups = sorted(groups, key=lambda g: (self.price(g), g))
        self._zones = list(
            dict.fromkeys(group.availability_zone for group in self._groups)
        )

    def price(self, group: Group) -> float:
        """Returns the price of an endpoint of a group."""
        price = self._autoscale.zone_prices.get(
            group.availability_zone, DEFAULT_PRICE
        )
        if group.spot and self._autoscale.spot_price is not None:
            price *= self._autoscale.spot_price
        return price

    def cost(self, counts: Counts) -> float:
        """Returns the price of all endpoints together."""
        return sum(n * self.price(group) for group, n in counts.items())

    def lowest_lasting_price(self) -> float:
        """Returns the price of the cheapest lasting endpoint."""
        return min(
            (self.price(g) for g in self._groups if not g.spot),
            default=DEFAULT_PRICE,
        )

    def add_within_zones(
        self, current: Counts, target: Counts
    ) -> dict[Group, int]:
        """Returns the numbers raised to those of a target.

        The maximum of each zone bounds the increase; no number falls.
        """
        counts = dict(current)
        for group in self._groups:
            room = self._room(counts, group, target, math.inf)
            counts[group] += room
        return counts

    def cheapest(
        self, need: Need, floors: Counts, caps: Counts
    ) -> dict[Group, int]:
        """Returns the cheapest numbers that meet a need.

        If none meet it, returns those that come closest.

        Args:
            need: The need.
            floors: Minimum by group, which holds even above the maximum of its
                zone.
            caps: Maximum by group; a group without one has no maximum.
        """
        # Each spot endpoint of the zone with the most of them needs another
        # endpoint elsewhere, in case that zone loses them all. So bounds on
        # spot endpoints per zone are tried: some, then all near the best.
        first = largest_spot_count(floors)
        last = max(first, min(self._max_spots(), need.total + need.surviving))
        step = 1 + (last - first) // COARSE_BOUNDS

        def fill(bound: int) -> dict[Group, int]:
            return self._fill(need, floors, caps, bound)

        def rank(bound: int) -> tuple[int, int, float]:
            counts = fill(bound)
            return (*need.shortfall(counts), self.cost(counts))

        best = min(range(first, last + 1, step), key=rank)
        nearest = range(max(first, best - step), min(last, best + step) + 1)
        return fill(min(nearest, key=rank))

    def _max_spots(self) -> int:
        if self._autoscale.spot_price is None:
            return 0
        return self._autoscale.max_per_zone

    def _fill(
        self, need: Need, floors: Counts, caps: Counts, spot_bound: int
    ) -> dict[Group, int]:
        """Fills groups in the order of their price."""
        counts = {group: floors.get(group, 0) for group in self._groups}
        for zone, minimum in self._zone_minimums(counts, caps).items():
            missing = minimum - _zone_count(counts, zone)
            for group in self._groups:
                if group.availability_zone == zone:
                    room = self._room(counts, group, caps, spot_bound)
                    added = max(0, min(missing, room))
                    counts[group] += added
                    missing -= added
        missing = max(need.total, need.surviving + spot_bound) - sum(
            counts.values()
        )
        for _, same_price in itertools.groupby(self._groups, self.price):
            missing -= self._fill_evenly(
                missing, list(same_price), counts, caps, spot_bound
            )
        return counts

    def _fill_evenly(
        self,
        missing: int,
        groups: list[Group],
        counts: dict[Group, int],
        caps: Counts,
        spot_bound: int,
    ) -> int:
        """Adds to groups of equal price; returns how many were added.

        The smallest group gets a share of what is left, again and again. The
        shares shrink to 1, so that the numbers become even.
        """
        left = missing
        while left > 0:
            rooms = {g: self._room(counts, g, caps, spot_bound) for g in groups}
            smallest = min(
                (g for g in groups if rooms[g]),
                key=lambda g: (counts[g], g),
                default=None,
            )
            if smallest is None:
                break
            share = max(1, left // (2 * len(groups)))
            added = min(share, rooms[smallest])
            counts[smallest] += added
            left -= added
        return max(0, missing) - max(0, left)

    def _room(
        self, counts: Counts, group: Group, caps: Counts, spot_bound: float
    ) -> int:
        """Returns how many endpoints may be added to a group."""
        zone_room = self._autoscale.max_per_zone - _zone_count(
            counts, group.availability_zone
        )
        cap = caps.get(group, math.inf)
        if group.spot:
            cap = min(cap, spot_bound)
        return max(0, min(zone_room, cap - counts[group]))

    def _zone_minimums(self, counts: Counts, caps: Counts) -> dict[str, int]:
        """Returns the minimum of each zone; MIN_ZONES zones get at least 1."""
        usable = {
            group.availability_zone
            for group in self._groups
            if caps.get(group, math.inf) > 0
        }
        zones = [zone for zone in self._zones if zone in usable]
        zones.sort(key=lambda zone: _zone_count(counts, zone) == 0)
        kept = zones[:MIN_ZONES]
        return {
            zone: max(self._autoscale.min_per_zone, int(zone in kept))
            for zone in self._zones
        }


def _zone_count(counts: Counts, zone: str) -> int:
    return sum(
        n for group, n in counts.items() if group.availability_zone == zone
    )
