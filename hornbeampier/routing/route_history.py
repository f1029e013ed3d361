"""Which services streams of a location went to, while streams last.

It holds the routes in force, and for each earlier configuration only the rows
in which it differs from them. A location is matched in each of them, so it
does not matter whether its route, or a longer prefix, came, went or moved.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import coverage as coverages
from hornbeampier.routing import domain
from hornbeampier.routing import prefix_index
from hornbeampier.routing import route_table

# Another VM may still have begun streams by an earlier configuration for this
# time after this VM has replaced it.
CONFIGURATION_LAG_MS = 10_000.0
# Maximum number of rows of all earlier configurations together.
MAX_ROWS = 2_000
# For how long it counts that a peer reported a newer configuration.
REPORT_VALID_MS = 3_000.0

# Host and path prefix, which identify a route over all configurations.
RouteKey = tuple[str, str]
# The services of a route's streams; None if there is no such route.
Services = frozenset[str] | None
Rows = dict[RouteKey, Services]


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierRoutes:
    """The routes of an earlier configuration.

    Attributes:
        rows: Those that differ from the configuration in force.
        age_ms: Time since it was in force.
    """

    rows: Rows
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteReport:
    """What a VM knows of earlier routes.

    Attributes:
        version: The configuration in force.
        covered_ms: Time up to now in which no other configuration was in force.
        longest_ms: For how long streams last, by the routes that it knows.
        earlier: Earlier configurations whose routes differ.
    """

    version: int
    covered_ms: float
    longest_ms: float
    earlier: tuple[EarlierRoutes, ...]


class _EarlierTable:
    """An earlier configuration; see `EarlierRoutes`."""

    def __init__(self, rows: Rows, ended_ms: float):
        self.rows = rows
        self.ended_ms = ended_ms


def _is_contiguous() -> bool:
    """Default `is_contiguous`: no configuration is missed."""
    return True


class RouteHistory:
    """The routes of the configurations that were in force while streams last.

    Attributes:
        coverage: For how long all configurations in force are known.
        longest_ms: Longest timeout of a route of resumable streams.
        is_contiguous: Whether no configuration was missed before the one that
            is being applied.
        gap_count: How often configurations may have been missed.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._version = -1
        self._rows: Rows = {}
        # Of all rows below, so that a look-up does not depend on the path.
        self._index = prefix_index.PrefixIndex()
        self._earlier: list[_EarlierTable] = []
        self._newest_reported = -1
        self._reported_ms = 0.0
        self.coverage = coverages.Coverage(clock)
        self.longest_ms = 0.0
        self.is_contiguous: Callable[[], bool] = _is_contiguous
        self.gap_count = 0

    def apply(self, cfg: domain.Configuration) -> bool:
        """Takes over the configuration in force.

        Returns:
            Whether streams of a location may have more services than before.
        """
        self._record_longest(cfg)
        rows = _to_rows(cfg)
        previous = self._rows
        if self._version >= 0 and not self.is_contiguous():
            self.gap_count += 1
            self.coverage.limit(self._clock.now())
        self._version = cfg.version
        if rows == previous:
            return False
        tables = [(t.rows, t.ended_ms) for t in self._earlier]
        if previous:
            tables.append(({}, self._clock.now()))
        self._earlier = []
        self._set_rows(rows)
        for differing, ended_ms in tables:
            earlier = {**previous, **differing}
            self._add(_difference(earlier, rows), ended_ms)
        return _moves_streams(previous, rows)

    def record_earlier(self, cfg: domain.Configuration) -> None:
        """Adds a configuration that may have been in force until now."""
        self._record_longest(cfg)
        self._add(_difference(_to_rows(cfg), self._rows), self._clock.now())

    def record_log(
        self,
        cfgs: Collection[domain.Configuration],
        is_complete: bool,
        gap_count: int,
    ) -> None:
        """Adds what the store's log shows; this VM follows it from its end.

        Args:
            cfgs: The configurations in the log. It is not known when each was
                in force.
            is_complete: Whether the log holds all that there ever were.
            gap_count: Value of `gap_count` before the log was read.
        """
        covers_all = is_complete and gap_count == self.gap_count
        self.coverage.begin(math.inf if covers_all else 0.0)
        if cfgs and not self._rows:
            # Few rows of the others differ from the newest.
            self._set_rows(_to_rows(max(cfgs, key=lambda cfg: cfg.version)))
        for cfg in cfgs:
            self.record_earlier(cfg)

    def report(self) -> RouteReport:
        """Returns what this VM knows, for peers."""
        now_ms = self._clock.now()
        return RouteReport(
            self._version,
            0.0 if self.is_behind else self.coverage.length_ms(),
            self.longest_ms,
            tuple(
                EarlierRoutes(table.rows, now_ms - table.ended_ms)
                for table in self._earlier
            ),
        )

    def merge(self, report: RouteReport) -> bool:
        """Adds what a peer knows, if it has the same configuration.

        Returns:
            Whether streams of a location may have more services than before.
        """
        now_ms = self._clock.now()
        if report.version > self._version:
            self._newest_reported = max(self._newest_reported, report.version)
            self._reported_ms = now_ms
        if report.version != self._version or self._version < 0:
            return False
        self.longest_ms = max(self.longest_ms, report.longest_ms)
        count = len(self._earlier)
        for earlier in report.earlier:
            self._add(earlier.rows, now_ms - earlier.age_ms)
        self.coverage.extend(report.covered_ms)
        return len(self._earlier) > count

    def services(self, location: route_table.Location) -> set[str]:
        """Returns where streams of a location may have begun."""
        keys = _find_keys(self._index, location)
        services = set(_match(keys, self._rows, {}))
        for table in self._earlier:
            services |= _match(keys, self._rows, table.rows)
        return services

    def missing_ms(self, longest_ms: float) -> float:
        """Returns how long this VM has to observe until it knows all routes.

        Args:
            longest_ms: For how long streams last.
        """
        required_ms = longest_ms + CONFIGURATION_LAG_MS
        return required_ms - self.coverage.length_ms()

    @property
    def is_behind(self) -> bool:
        """Whether a peer has a newer configuration, as it reported lately."""
        age_ms = self._clock.now() - self._reported_ms
        return self._newest_reported > self._version and (
            age_ms < REPORT_VALID_MS
        )

    def expire(self, longest_ms: float) -> None:
        """Forgets configurations under which no live stream can have begun."""
        oldest_ms = self._clock.now() - longest_ms - CONFIGURATION_LAG_MS
        self._forget([t for t in self._earlier if t.ended_ms <= oldest_ms])

    def _set_rows(self, rows: Rows) -> None:
        """Sets the rows of the configuration in force."""
        self._rows = rows
        self._reindex()

    def _reindex(self) -> None:
        self._index = _to_index(
            self._rows, *(table.rows for table in self._earlier)
        )

    def _record_longest(self, cfg: domain.Configuration) -> None:
        for route in cfg.routes:
            if route.resumable:
                self.longest_ms = max(self.longest_ms, route.timeout_ms)

    def _add(self, rows: Rows, ended_ms: float) -> None:
        """Adds an earlier configuration; equal ones are kept once."""
        if not rows:
            return
        for table in self._earlier:
            if table.rows == rows:
                table.ended_ms = max(table.ended_ms, ended_ms)
                return
        self._earlier.append(_EarlierTable(rows, ended_ms))
        self._earlier.sort(key=lambda table: table.ended_ms)
        for host, prefix in rows:
            self._index.add(host, prefix)
        self._forget(self._surplus())

    def _surplus(self) -> list[_EarlierTable]:
        """Returns the oldest tables, whose rows are too many."""
        surplus = sum(len(t.rows) for t in self._earlier) - MAX_ROWS
        tables = []
        for table in self._earlier:
            if surplus <= 0:
                break
            surplus -= len(table.rows)
            tables.append(table)
        return tables

    def _forget(self, tables: list[_EarlierTable]) -> None:
        """Forgets earlier configurations, which limits the coverage."""
        for table in tables:
            self._earlier.remove(table)
            self.coverage.limit(table.ended_ms)
        if tables:
            self._reindex()


def _to_rows(cfg: domain.Configuration) -> Rows:
    return {
        (route.host.lower(), route.path_prefix): (
            frozenset(route.services)
            if route.semantics is domain.RequestSemantics.STREAM
            else frozenset()
        )
        for route in cfg.routes
    }


def _difference(rows: Rows, base: Rows) -> Rows:
    """Returns the rows that differ from those of a base."""
    return {
        key: rows.get(key)
        for key in rows.keys() | base.keys()
        if rows.get(key) != base.get(key)
    }


def _to_index(*tables: Rows) -> prefix_index.PrefixIndex:
    index = prefix_index.PrefixIndex()
    for rows in tables:
        for host, prefix in rows:
            index.add(host, prefix)
    return index


def _find_keys(
    index: prefix_index.PrefixIndex, location: route_table.Location
) -> list[RouteKey]:
    """Returns the keys that a location may have, longest prefix first."""
    host = location.host.lower()
    return [(host, prefix) for prefix in index.find(host, location.path)]


def _match(keys: list[RouteKey], base: Rows, differing: Rows) -> frozenset[str]:
    """Returns the services of the first key, longest prefix first."""
    for key in keys:
        services = differing[key] if key in differing else base.get(key)
        if services is not None:
            return services
    return frozenset()


def _moves_streams(old: Rows, new: Rows) -> bool:
    """Whether a location of streams has other services than before."""
    index = _to_index(old, new)
    for host, prefix in _difference(old, new):
        keys = _find_keys(index, route_table.Location(host, prefix))
        begun = _match(keys, old, {})
        if begun and begun != _match(keys, new, {}):
            return True
    return False
