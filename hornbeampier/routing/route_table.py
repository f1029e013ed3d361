"""Finds the route and the service of a request."""

from collections.abc import Iterable
import dataclasses
import hashlib

from hornbeampier.routing import domain
from hornbeampier.routing import prefix_index

HASH_BYTES = 8
HASH_RANGE = float(1 << (8 * HASH_BYTES))


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Host and path of a request, which select its route.

    A caller takes a stream up at the location at which it began.
    """

    host: str
    path: str


class RouteTable:
    """The routes of one configuration, indexed by host and path prefix."""

    def __init__(self, routes: Iterable[domain.Route]):
        self._index = prefix_index.PrefixIndex()
        self._routes: dict[tuple[str, str], domain.Route] = {}
        for route in routes:
            self._index.add(route.host, route.path_prefix)
            self._routes[route.host.lower(), route.path_prefix] = route

    def match(self, host: str, path: str) -> domain.Route | None:
        """Returns the route with the longest matching path prefix, or None."""
        prefixes = self._index.find(host, path)
        if not prefixes:
            return None
        return self._routes[host.lower(), prefixes[0]]


def choose_service(route: domain.Route, request_id: str) -> str:
    """Picks a service by weight; equal request ids get the same service."""
    if len(route.traffic_split) == 1:
        return route.traffic_split[0].service
    total = sum(
        weighted_service.weight for weighted_service in route.traffic_split
    )
    remaining_weight = uniform_hash(f"{route.name}/{request_id}") * total
    for weighted_service in route.traffic_split:
        remaining_weight -= weighted_service.weight
        if remaining_weight < 0:
            return weighted_service.service
    return route.traffic_split[-1].service


def uniform_hash(text: str) -> float:
    """Returns a hash of the text, uniformly distributed over [0, 1)."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
