"""The configuration and the endpoints that this VM currently believes in."""

from collections.abc import Callable

import structlog

from hornbeampier.routing import model
from hornbeampier.routing import table
from hornbeampier.routing import urgency


class Catalog:
    """Holds the newest configuration and the known endpoints."""

    def __init__(self):
        self.cfg: model.Configuration | None = None
        self.table = table.RouteTable(())
        self.urgency_ranks: urgency.UrgencyRanks | None = None
        self.endpoints: dict[str, model.Endpoint] = {}
        self._watchers: list[Callable[[], None]] = []
        self._log = structlog.get_logger(task="catalog")

    def subscribe(self, watcher: Callable[[], None]) -> None:
        """Calls `watcher` after each change of the endpoints."""
        self._watchers.append(watcher)

    @property
    def version(self) -> int:
        """The version in force, or -1 before the first."""
        return -1 if self.cfg is None else self.cfg.version

    def engine_traits(self, service: str) -> model.EngineTraits | None:
        """Returns what a service's engines have in common, if it has any."""
        found = self.cfg.services.get(service) if self.cfg else None
        return None if found is None else found.engine

    def apply_configuration(self, cfg: model.Configuration) -> None:
        """Brings a configuration into force unless it is an older one."""
        if cfg.version <= self.version:
            return
        previous = self.version
        self.table = table.RouteTable(cfg.routes)
        self.urgency_ranks = urgency.UrgencyRanks(cfg)
        self.cfg = cfg
        self._log.info(
            "configuration_applied", version=cfg.version, previous=previous
        )

    def apply_endpoint(self, endpoint: model.Endpoint) -> None:
        """Adds an endpoint or replaces what was known of it."""
        if self.endpoints.get(endpoint.id) == endpoint:
            return
        self.endpoints[endpoint.id] = endpoint
        self._log.info(
            "endpoint_changed",
            endpoint=endpoint.id,
            service=endpoint.service,
            address=f"{endpoint.host}:{endpoint.port}",
            leaving=endpoint.leaving,
        )
        self._notify()

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Forgets an endpoint that is gone."""
        if self.endpoints.pop(endpoint_id, None) is None:
            return
        self._log.info("endpoint_removed", endpoint=endpoint_id)
        self._notify()

    def _notify(self) -> None:
        for watcher in self._watchers:
            watcher()
