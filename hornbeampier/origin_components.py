"""The parts of a node that know where streams began."""

from collections.abc import Callable
from collections.abc import Collection
import random

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.forwarding import resumption
from hornbeampier.peers import components
from hornbeampier.platform import names
from hornbeampier.platform import records
from hornbeampier.platform import settings
from hornbeampier.platform import store
from hornbeampier.replication import fresh_reads
from hornbeampier.replication import messages
from hornbeampier.replication import registration_reader
from hornbeampier.replication import replica
from hornbeampier.replication import store_readers
from hornbeampier.replication import store_silence
from hornbeampier.routing import catalog as catalogs
from hornbeampier.routing import domain
from hornbeampier.routing import freshness as freshnesses
from hornbeampier.routing import origin_history
from hornbeampier.routing import stream_origins


class OriginComponents:
    """Builds the records of streams, their exchange and the history."""

    def __init__(
        self,
        cfg: settings.NodeSettings,
        catalog: catalogs.Catalog,
        clock: clocks.Clock,
    ):
        self._cfg = cfg
        self._catalog = catalog
        self._clock = clock
        self._streams = stream_origins.StreamOrigins(clock)
        self._history = origin_history.OriginHistory(catalog, clock)
        self._directory: stream_origins.Directory = (
            stream_origins.LocalDirectory(self._streams)
        )
        self._reader: registration_reader.RegistrationReader | None = None
        self._replica: replica.TopicReplica | None = None
        self._silence: store_silence.StoreSilence | None = None
        self._freshness: freshnesses.Freshness = freshnesses.SingleVm()
        self._was_proved = False
        self._log = structlog.get_logger(task="origins")

    def build_reader(
        self,
        endpoint_replica: replica.TopicReplica,
        should_read_store: Callable[[], bool],
    ) -> registration_reader.RegistrationReader:
        """Returns the reader of the store's log of registrations."""
        self._replica = endpoint_replica
        self._silence = store_silence.StoreSilence(
            endpoint_replica, self._cfg.heartbeat_ms, self._clock
        )
        endpoint_replica.on_superseded = self._record_superseded
        self._reader = registration_reader.RegistrationReader(
            names.ENDPOINT_TOPIC,
            store.StoreClient(self._cfg.store, self._clock),
            self._history,
            self._cfg.heartbeat_ms,
            store_readers.reads_at_start(
                self._cfg.host, {seed.host for seed in self._cfg.seeds}
            ),
            should_read_store,
            lambda: endpoint_replica.offset,
            self._clock,
        )
        return self._reader

    def build_fresh_reads(
        self,
        configuration_replica: replica.TopicReplica,
        count_vms: Callable[[], int],
    ) -> list[application.Component]:
        """Returns the component that reads the store for streams taken up."""
        if not self._cfg.seeds:
            return []
        reads = fresh_reads.FreshReads(
            [self._replica, configuration_replica],
            store.StoreClient(self._cfg.store, self._clock),
            count_vms,
            self._has_route,
            self._clock,
        )
        self._freshness = reads
        return [reads]

    def build_exchange(
        self, peer_hosts: Callable[[], Collection[str]], rng: random.Random
    ) -> list[application.Component]:
        """Returns the components that exchange records with other VMs."""
        transport, exchange = components.build_origin_exchange(
            self._cfg.host,
            self._cfg.origin_port,
            peer_hosts,
            self._streams,
            self._history,
            self._clock,
            rng,
        )
        self._directory = exchange
        return [transport, exchange]

    def build_resumption(
        self, metrics: node_metrics.NodeMetrics
    ) -> resumption.Resumption:
        """Returns the object that finds and records the origins of streams."""
        return resumption.Resumption(
            self._streams,
            self._history,
            self._directory,
            self._freshness,
            lambda: self._reader.is_pending,
            metrics,
            self._clock,
        )

    def maintain(self, is_in_touch: bool) -> None:
        """Records that this VM follows registrations; drops what is old."""
        if is_in_touch and self._replica.offset is not None:
            self._history.coverage.observe()
        self._history.expire()
        self._directory.expire()
        self._directory.announce_all(self._silence.is_silent())
        self._log_change(is_in_touch)

    def _log_change(self, is_in_touch: bool) -> None:
        is_proved = self._history.is_proved()
        if is_proved == self._was_proved:
            return
        self._was_proved = is_proved
        covered_ms = self._history.coverage.length_ms()
        self._log.info(
            "origins_proved" if is_proved else "origins_unproved",
            covered_ms=round(stream_origins.bound_retention(covered_ms)),
            in_touch=is_in_touch,
        )

    def _has_route(self, route: domain.Route) -> bool:
        cfg = self._catalog.cfg
        return cfg is not None and route in cfg.routes

    def _record_superseded(self, record: messages.Record) -> None:
        """Records the version in an entry that came after a newer one."""
        if record.value is None:
            return
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError:
            # An entry that cannot be decoded is not applied either.
            return
        self._history.record_version(endpoint)
