"""Where streams may have begun: versions and routes while streams last.

While a location went to one software version of one service for as long as a
stream may last, every stream began there, and nobody needs a record of it.
"""

import collections
from collections.abc import Callable
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import catalog as catalogs
from hornbeampier.routing import coverage
from hornbeampier.routing import domain
from hornbeampier.routing import registration_log
from hornbeampier.routing import route_history
from hornbeampier.routing import route_table
from hornbeampier.routing import stream_origins

# Age of each origin in ms: the time since the last endpoint of the version
# was known to be registered, 0 if one is.
OriginAges = dict[stream_origins.Origin, float]
# Maximum number of origins that are remembered after they have ended.
MAX_ENDED = 1_000


def _ignore() -> None:
    """Default `on_change`: does nothing."""


class OriginHistory:
    """The origins that streams may have, by host and path.

    Attributes:
        on_change: Called when streams may have more origins than before.
        coverage: For how long all versions that served are known.
        routes: The services to which locations went.
    """

    def __init__(self, catalog: catalogs.Catalog, clock: clocks.Clock):
        self._catalog = catalog
        self._clock = clock
        # Number of registered endpoints by origin.
        self._serving: collections.Counter[stream_origins.Origin] = (
            collections.Counter(
                stream_origins.of_endpoint(e)
                for e in catalog.endpoints.values()
            )
        )
        self._ended_ms: dict[stream_origins.Origin, float] = {}
        self._by_service: dict[str, list[stream_origins.Origin]] = {}
        self._longest_stream_ms = 0.0
        self.on_change: Callable[[], None] = _ignore
        self.coverage = coverage.Coverage(clock)
        self.routes = route_history.RouteHistory(clock)
        self._index()
        if catalog.cfg is not None:
            self.configuration_changed(catalog.cfg)
        catalog.watch(self)
        catalog.watch_configurations(self)

    def possible(
        self, location: route_table.Location
    ) -> set[stream_origins.Origin]:
        """Returns where streams of a location may have begun.

        There may have been others that this VM does not know; see `is_proved`.
        """
        return {
            origin
            for service in self.routes.services(location)
            for origin in self._by_service.get(service, ())
        }

    def is_proved(self) -> bool:
        """Whether all origins that a live stream may have are known."""
        return self.knows_versions() and self.knows_routes()

    def knows_versions(self) -> bool:
        """Whether all versions that may have begun a live stream are known."""
        return self._missing_versions_ms() <= 0.0

    def knows_routes(self) -> bool:
        """Whether all routes of locations of live streams are known."""
        return not self.routes.is_behind and self._missing_routes_ms() <= 0.0

    def is_current(self) -> bool:
        """Whether this VM follows the versions and configurations."""
        return (
            self.coverage.is_current
            and self.routes.coverage.is_current
            and not self.routes.is_behind
        )

    def missing_ms(self) -> float:
        """Returns how long this VM has to observe until it knows all origins.

        It is infinite while it is not known how long streams last. The time
        that a caller has left does not shorten it, as it does not tell for how
        long the caller has waited already.
        """
        missing_ms = max(self._missing_versions_ms(), self._missing_routes_ms())
        return max(0.0, missing_ms)

    def covered_ms(self) -> float:
        """Returns for how long this VM knows all versions and routes."""
        return min(self.coverage.length_ms(), self.routes.coverage.length_ms())

    def record_version(self, endpoint: domain.Endpoint) -> None:
        """Records that the version of an earlier entry has served."""
        origin = stream_origins.of_endpoint(endpoint)
        if origin not in self._serving:
            self.merge({origin: 0.0})

    def record_unread(self, origin: stream_origins.Origin) -> None:
        """Records that streams begin at a process without a known entry.

        Until the entry comes, it counts as a version of its own.
        """
        self.merge({origin: 0.0})

    def record_stream(self, caller_timeout_ms: float) -> None:
        """Records for how long the caller of a stream waits in total."""
        self._longest_stream_ms = max(
            self._longest_stream_ms,
            stream_origins.bound_retention(caller_timeout_ms),
        )

    def ages(self) -> OriginAges:
        """Returns the origins that are known, for peers."""
        now_ms = self._clock.now()
        ages = dict.fromkeys(self._serving, 0.0)
        for origin, ended_ms in self._ended_ms.items():
            ages[origin] = now_ms - ended_ms
        return ages

    def merge(self, ages: OriginAges) -> None:
        """Adds the origins that a peer or the store's log knows."""
        now_ms = self._clock.now()
        for origin, age_ms in ages.items():
            if self._is_read(origin.unread_process):
                continue
            if origin not in self._serving:
                ended_ms = now_ms - age_ms
                known_ms = self._ended_ms.get(origin, ended_ms)
                self._ended_ms[origin] = max(known_ms, ended_ms)
        self.expire()

    def merge_routes(self, report: route_history.RouteReport) -> None:
        """Adds the routes that a peer knows."""
        if self.routes.merge(report):
            self.on_change()

    def record_log(self, summary: registration_log.LogSummary) -> None:
        """Adds what the store's log shows; this VM follows it from its end."""
        self.coverage.begin(summary.covered_ms)
        self.merge(summary.ages_ms)

    def expire(self) -> None:
        """Forgets what ended so long ago that no stream of it is left."""
        longest_ms = self._longest_ms() or stream_origins.MAX_RETENTION_MS
        self.routes.expire(longest_ms)
        oldest_ms = self._clock.now() - longest_ms
        kept_ms = _newer(self._ended_ms, oldest_ms)
        while len(kept_ms) > MAX_ENDED:
            del kept_ms[min(kept_ms, key=kept_ms.get)]
        self._keep_ended(kept_ms)
        self._index()

    def endpoint_changed(
        self, previous: domain.Endpoint | None, current: domain.Endpoint | None
    ) -> None:
        """Takes over the version of an endpoint that has come or gone."""
        if current is not None:
            self._forget_unread(current)
        begun = None if current is None else stream_origins.of_endpoint(current)
        ended = (
            None if previous is None else stream_origins.of_endpoint(previous)
        )
        if begun == ended:
            return
        if begun is not None:
            self._add_endpoint(begun)
        if ended is not None:
            self._remove_endpoint(ended)

    def configuration_changed(self, cfg: domain.Configuration) -> None:
        """Takes over the routes of a configuration."""
        if self.routes.apply(cfg):
            self.on_change()

    def _is_read(self, process: domain.ProcessId | None) -> bool:
        """Whether the entry of a process is known, if there is one."""
        if process is None:
            return False
        endpoint = self._catalog.endpoints.get(process[0])
        return endpoint is not None and endpoint.process_id == process

    def _forget_unread(self, endpoint: domain.Endpoint) -> None:
        """Forgets that the process of an entry was unread."""
        origin = stream_origins.of_unread_process(
            endpoint.service, endpoint.process_id
        )
        if self._ended_ms.pop(origin, None) is not None:
            self._index()

    def _add_endpoint(self, origin: stream_origins.Origin) -> None:
        self._serving[origin] += 1
        if self._serving[origin] == 1:
            self._ended_ms.pop(origin, None)
            self._index()

    def _remove_endpoint(self, origin: stream_origins.Origin) -> None:
        self._serving[origin] -= 1
        if self._serving[origin] == 0:
            del self._serving[origin]
            self._ended_ms[origin] = self._clock.now()

    def _keep_ended(self, kept_ms: dict[stream_origins.Origin, float]) -> None:
        """Forgets the other ended versions, which limits the coverage."""
        forgotten = self._ended_ms.keys() - kept_ms.keys()
        if forgotten:
            self.coverage.limit(max(self._ended_ms[o] for o in forgotten))
        self._ended_ms = kept_ms

    def _missing_versions_ms(self) -> float:
        return (self._longest_ms() or math.inf) - self.coverage.length_ms()

    def _missing_routes_ms(self) -> float:
        return self.routes.missing_ms(self._longest_ms() or math.inf)

    def _longest_ms(self) -> float:
        """Returns for how long streams last, as far as this VM knows."""
        return max(
            self._longest_stream_ms,
            stream_origins.bound_retention(self.routes.longest_ms),
        )

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


def _newer(times_ms: dict, oldest_ms: float) -> dict:
    return {key: at_ms for key, at_ms in times_ms.items() if at_ms > oldest_ms}
