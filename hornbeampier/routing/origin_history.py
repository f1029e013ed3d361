"""Where streams may have begun: versions and routes while streams last.

While a route went to one software version of one service for as long as a
stream may last, every stream began there, and nobody needs a record of it.
"""

from collections.abc import Callable

from hornbeampier import clock as clocks
from hornbeampier.routing import catalog as catalogs
from hornbeampier.routing import domain
from hornbeampier.routing import stream_origins

# Age of each origin in ms: the time since the last endpoint of the version
# was known to be registered, 0 if one is.
OriginAges = dict[stream_origins.Origin, float]
# Maximum number of origins that are remembered after they have ended.
MAX_ENDED = 1_000
# Host and path prefix, which identify a route over all configurations.
_RouteKey = tuple[str, str]


def _ignore() -> None:
    """Default `on_change`: does nothing."""


class OriginHistory:
    """The origins that streams may have, by route.

    Attributes:
        on_change: Called when streams may have more origins than before.
    """

    def __init__(self, catalog: catalogs.Catalog, clock: clocks.Clock):
        self._catalog = catalog
        self._clock = clock
        self._serving: frozenset[stream_origins.Origin] = frozenset()
        self._is_stale = True
        self._ended_ms: dict[stream_origins.Origin, float] = {}
        self._by_service: dict[str, list[stream_origins.Origin]] = {}
        # When routes went to services that they do not go to any more.
        self._left_ms: dict[_RouteKey, dict[str, float]] = {}
        self._longest_stream_ms = 0.0
        self._cfg: domain.Configuration | None = None
        self.on_change: Callable[[], None] = _ignore
        catalog.subscribe(self._mark_stale)

    def possible(self, route: domain.Route) -> set[stream_origins.Origin]:
        """Returns where streams of a route may have begun."""
        self._refresh()
        services = route.services | set(self._left_ms.get(_key(route), ()))
        return {
            origin
            for service in services
            for origin in self._by_service.get(service, ())
        }

    def record_stream(self, caller_timeout_ms: float) -> None:
        """Records for how long the caller of a stream waits in total."""
        self._longest_stream_ms = max(
            self._longest_stream_ms,
            stream_origins.bound_retention(caller_timeout_ms),
        )

    def ages(self) -> OriginAges:
        """Returns the origins that are known, for peers."""
        self._refresh()
        now_ms = self._clock.now()
        ages = dict.fromkeys(self._serving, 0.0)
        for origin, ended_ms in self._ended_ms.items():
            ages[origin] = now_ms - ended_ms
        return ages

    def merge(self, ages: OriginAges) -> None:
        """Adds the origins that a peer knows."""
        self._refresh()
        now_ms = self._clock.now()
        for origin, age_ms in ages.items():
            if origin not in self._serving:
                ended_ms = now_ms - age_ms
                known_ms = self._ended_ms.get(origin, ended_ms)
                self._ended_ms[origin] = max(known_ms, ended_ms)
        self.expire()

    def expire(self) -> None:
        """Forgets what ended so long ago that no stream of it is left."""
        self._refresh()
        self._take_over_configuration()
        oldest_ms = self._clock.now() - self._longest_stream_ms
        self._ended_ms = _newer(self._ended_ms, oldest_ms)
        while len(self._ended_ms) > MAX_ENDED:
            del self._ended_ms[min(self._ended_ms, key=self._ended_ms.get)]
        self._left_ms = {
            route: newer
            for route, left_ms in self._left_ms.items()
            if (newer := _newer(left_ms, oldest_ms))
        }
        self._index()

    def _mark_stale(self) -> None:
        """Called when an endpoint changes, which may be many at once."""
        self._is_stale = True

    def _refresh(self) -> None:
        """Takes over the versions of the endpoints that are registered."""
        if not self._is_stale:
            return
        self._is_stale = False
        serving = frozenset(
            stream_origins.Origin(e.service, e.software_version)
            for e in self._catalog.endpoints.values()
        )
        if serving == self._serving:
            return
        now_ms = self._clock.now()
        self._ended_ms.update(dict.fromkeys(self._serving - serving, now_ms))
        for origin in serving:
            self._ended_ms.pop(origin, None)
        self._serving = serving
        self._index()

    def _take_over_configuration(self) -> None:
        """Takes over how long streams last, and which services routes left."""
        cfg, previous = self._catalog.cfg, self._cfg
        if cfg is None or cfg is previous:
            return
        self._cfg = cfg
        routes = {_key(r): r for r in cfg.routes if r.resumable}
        for route in routes.values():
            self.record_stream(route.timeout_ms)
        for old in previous.routes if previous else ():
            new = routes.get(_key(old))
            if old.resumable and new is not None:
                self._record_left(old, old.services - new.services)

    def _record_left(self, route: domain.Route, services: set[str]) -> None:
        if not services:
            return
        now_ms = self._clock.now()
        left_ms = self._left_ms.setdefault(_key(route), {})
        left_ms.update(dict.fromkeys(services, now_ms))
        self.on_change()

    def _index(self) -> None:
        by_service: dict[str, list[stream_origins.Origin]] = {}
        for origin in (*self._serving, *self._ended_ms):
            by_service.setdefault(origin.service, []).append(origin)
        known = {o for origins in self._by_service.values() for o in origins}
        self._by_service = by_service
        if any(
            o not in known for origins in by_service.values() for o in origins
        ):
            self.on_change()


def _key(route: domain.Route) -> _RouteKey:
    return route.host, route.path_prefix


def _newer(times_ms: dict, oldest_ms: float) -> dict:
    return {key: at_ms for key, at_ms in times_ms.items() if at_ms > oldest_ms}
