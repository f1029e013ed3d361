"""Applies endpoint entries and configurations to the catalog."""

import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.replication import messages
from hornbeampier.routing import catalog

# Grace time for an endpoint to register again after its entry expired in an
# outage of the store, during which it could not be renewed.
REREGISTER_MS = 2_000.0


class EndpointApplier:
    """Adds and removes endpoints as their entries change."""

    def __init__(self, catalog: catalog.Catalog, clock: clocks.Clock):
        self._catalog = catalog
        self._clock = clock
        self._lost = False
        self._settled_at_ms = 0.0
        # When to remove each endpoint whose entry was removed.
        self._gone_at_ms: dict[str, float] = {}
        self._log = structlog.get_logger(task="entries")

    def on_source_lost(self) -> None:
        """Delays removals, as entries cannot be renewed during an outage."""
        self._lost = True

    def on_source_regained(self) -> None:
        """Gives endpoints whose entries expired time to register again."""
        self._lost = False
        self._settled_at_ms = self._clock.now() + REREGISTER_MS

    def apply_record(self, record: messages.Record) -> None:
        """Adds, updates or removes an endpoint.

        An unreadable entry removes its endpoint.
        """
        if record.value is None:
            self._drop(record.key)
            return
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError as exc:
            self._log.warning(
                "entry_unreadable",
                endpoint=record.key,
                offset=record.offset,
                error=str(exc),
            )
            self._catalog.remove_endpoint(record.key)
            return
        self._gone_at_ms.pop(record.key, None)
        self._catalog.apply_endpoint(endpoint)

    def expire(self) -> None:
        """Removes endpoints that did not register again in time."""
        now_ms = self._clock.now()
        gone = [key for key, at in self._gone_at_ms.items() if at <= now_ms]
        for endpoint_id in gone:
            del self._gone_at_ms[endpoint_id]
            self._catalog.remove_endpoint(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        now_ms = self._clock.now()
        gone_at_ms = self._settled_at_ms
        if self._lost:
            gone_at_ms = now_ms + REREGISTER_MS
        if now_ms < gone_at_ms:
            self._gone_at_ms[endpoint_id] = gone_at_ms
        else:
            self._catalog.remove_endpoint(endpoint_id)


class ConfigurationApplier:
    """Applies the configurations that operators publish."""

    def __init__(self, catalog: catalog.Catalog, key: str):
        self._catalog = catalog
        self._key = key
        self._log = structlog.get_logger(task="configuration")

    def on_source_lost(self) -> None:
        """Does nothing, as configurations do not expire."""

    def on_source_regained(self) -> None:
        """Does nothing, as configurations do not expire."""

    def apply_record(self, record: messages.Record) -> None:
        """Applies a configuration; logs and skips an unreadable one."""
        if record.key != self._key or record.value is None:
            return
        try:
            cfg = records.decode_configuration(record.value)
        except errors.PlatformError as exc:
            self._log.error(
                "configuration_unreadable",
                offset=record.offset,
                error=str(exc),
            )
            return
        self._catalog.apply_configuration(cfg)
