"""The configuration in force and the known endpoints, as this VM sees them."""

from collections.abc import Callable
from typing import Protocol

import structlog

from hornbeampier.routing import domain
from hornbeampier.routing import route_table
from hornbeampier.routing import urgency


class EndpointWatcher(Protocol):
    """Is told of each change of an endpoint, before the next one is made."""

    def endpoint_changed(
        self, previous: domain.Endpoint | None, current: domain.Endpoint | None
    ) -> None:
        """Called after a change; None stands for no endpoint."""
        ...


class ConfigurationWatcher(Protocol):
    """Is told of each configuration, before the next one is applied."""

    def configuration_changed(self, cfg: domain.Configuration) -> None:
        """Called after a configuration has been applied."""
        ...


class Catalog:
    """Holds the configuration in force and the known endpoints."""

    def __init__(self):
        self.cfg: domain.Configuration | None = None
        self.route_table = route_table.RouteTable(())
        self.urgency_ranks: urgency.UrgencyRanks | None = None
        self.endpoints: dict[str, domain.Endpoint] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._watchers: list[EndpointWatcher] = []
        self._configuration_watchers: list[ConfigurationWatcher] = []
        self._log = structlog.get_logger(task="catalog")

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Registers a function that is called after each endpoint change."""
        self._subscribers.append(subscriber)

    def watch(self, watcher: EndpointWatcher) -> None:
        """Registers a watcher that is told of each endpoint change."""
        self._watchers.append(watcher)

    def watch_configurations(self, watcher: ConfigurationWatcher) -> None:
        """Registers a watcher that is told of each configuration."""
        self._configuration_watchers.append(watcher)

    @property
    def version(self) -> int:
        """Version of the configuration in force, or -1 if there is none."""
        return -1 if self.cfg is None else self.cfg.version

    def engine_traits(self, service: str) -> domain.EngineTraits | None:
        """Returns a service's engine traits; None if it is plain or unknown."""
        definition = self.cfg.services.get(service) if self.cfg else None
        return None if definition is None else definition.engine_traits

    def apply_configuration(self, cfg: domain.Configuration) -> None:
        """Applies a configuration if it is newer than the one in force."""
        if cfg.version <= self.version:
            return
        previous = self.version
        self.route_table = route_table.RouteTable(cfg.routes)
        self.urgency_ranks = urgency.UrgencyRanks(cfg)
        self.cfg = cfg
        self._log.info(
            "configuration_applied", version=cfg.version, previous=previous
        )
        for watcher in self._configuration_watchers:
            watcher.configuration_changed(cfg)

    def apply_endpoint(self, endpoint: domain.Endpoint) -> bool:
        """Adds or updates an endpoint; returns whether anything changed."""
        previous = self.endpoints.get(endpoint.id)
        if previous == endpoint:
            return False
        self.endpoints[endpoint.id] = endpoint
        self._log.info(
            "endpoint_changed",
            endpoint=endpoint.id,
            service=endpoint.service,
            address=f"{endpoint.host}:{endpoint.port}",
            leaving=endpoint.leaving,
            software=endpoint.software_version,
        )
        self._notify(previous, endpoint)
        return True

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes an endpoint; does nothing if it is unknown."""
        previous = self.endpoints.pop(endpoint_id, None)
        if previous is None:
            return
        self._log.info("endpoint_removed", endpoint=endpoint_id)
        self._notify(previous, None)

    def _notify(
        self, previous: domain.Endpoint | None, current: domain.Endpoint | None
    ) -> None:
        for watcher in self._watchers:
            watcher.endpoint_changed(previous, current)
        for subscriber in self._subscribers:
            subscriber()
