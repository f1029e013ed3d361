"""Finds the route of a request and the account that sent it."""

from collections.abc import Iterable
import hashlib

from hornbeampier.routing import model

HASH_BYTES = 8
HASH_RANGE = float(1 << (8 * HASH_BYTES))


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

    def __init__(self, routes: Iterable[model.Route]):
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix that begins the path."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: model.Route, request_id: str) -> str:
    """Returns the service of a request; equal ids get the same service."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = uniform(f"{route.name}/{request_id}") * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def uniform(text: str) -> float:
    """Returns a hash of the text, spread evenly over [0, 1)."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
