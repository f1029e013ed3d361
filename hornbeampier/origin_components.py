"""The parts of a node that know where streams began."""

from collections.abc import Callable
from collections.abc import Collection
import random

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.forwarding import begin_proof
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import process_survey
from hornbeampier.forwarding import resumption
from hornbeampier.peers import components
from hornbeampier.platform import names
from hornbeampier.platform import records
from hornbeampier.platform import settings
from hornbeampier.platform import store
from hornbeampier.replication import configuration_log
from hornbeampier.replication import endpoint_log
from hornbeampier.replication import fresh_reads
from hornbeampier.replication import log_reader
from hornbeampier.replication import messages
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
        self._readers: dict[str, log_reader.LogReader] = {}
        self._replicas: dict[str, replica.TopicReplica] = {}
        self._silence: store_silence.StoreSilence | None = None
        self._reads: freshnesses.Freshness = freshnesses.SingleVm()
        self._freshness: freshnesses.Freshness = freshnesses.SingleVm()
        self._was_proved = False
        self._log = structlog.get_logger(task="origins")

    def build_readers(
        self,
        replicas: dict[str, replica.TopicReplica],
        should_read_store: Callable[[], bool],
    ) -> dict[str, log_reader.LogReader]:
        """Returns the readers of the store's logs, by topic."""
        self._replicas = replicas
        self._silence = store_silence.StoreSilence(
            replicas[names.ENDPOINT_TOPIC], self._cfg.heartbeat_ms, self._clock
        )
        self._watch_replicas()
        histories = {
            names.OPERATOR_TOPIC: configuration_log.ConfigurationLog(
                names.CONFIGURATION_KEY, self._history, self._clock
            ),
            names.ENDPOINT_TOPIC: endpoint_log.RegistrationLog(
                self._history, self._cfg.heartbeat_ms, self._clock
            ),
        }
        reads_early = store_readers.reads_at_start(
            self._cfg.host, {seed.host for seed in self._cfg.seeds}
        )
        self._readers = {
            topic: log_reader.LogReader(
                topic,
                store.StoreClient(self._cfg.store, self._clock),
                history,
                reads_early,
                should_read_store,
                lambda topic=topic: replicas[topic].offset,
                self._clock,
            )
            for topic, history in histories.items()
        }
        return self._readers

    def build_fresh_reads(
        self, count_vms: Callable[[], int]
    ) -> fresh_reads.FreshReads:
        """Returns the component that reads the store when it is asked to."""
        reads = fresh_reads.FreshReads(
            list(self._replicas.values()),
            store.StoreClient(self._cfg.store, self._clock),
            count_vms,
            self._has_route,
            self._clock,
        )
        self._reads = reads
        if self._cfg.seeds:
            self._freshness = reads
        return reads

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
        self,
        proof: begin_proof.BeginProof,
        metrics: node_metrics.NodeMetrics,
    ) -> resumption.Resumption:
        """Returns the object that finds and records the origins of streams."""
        return resumption.Resumption(
            self._streams,
            self._history,
            self._directory,
            self._freshness,
            proof,
            process_survey.ProcessSurvey(proof, self._catalog),
            lambda: any(r.is_pending for r in self._readers.values()),
            metrics,
            self._clock,
        )

    def build_begin_proof(
        self, pool: connection_pool.ConnectionPool
    ) -> begin_proof.BeginProof:
        """Returns the object that proves which process began a stream."""
        return begin_proof.BeginProof(
            pool, self._reads, self._catalog, self._clock
        )

    def maintain(self, is_in_touch: bool) -> None:
        """Records that this VM follows registrations; drops what is old."""
        if is_in_touch:
            self._observe()
        self._history.expire()
        self._directory.expire()
        self._directory.announce_all(self._silence.is_silent())
        self._log_change(is_in_touch)

    def _log_change(self, is_in_touch: bool) -> None:
        is_proved = self._history.is_proved()
        if is_proved == self._was_proved:
            return
        self._was_proved = is_proved
        covered_ms = self._history.covered_ms()
        self._log.info(
            "origins_proved" if is_proved else "origins_unproved",
            covered_ms=round(stream_origins.bound_retention(covered_ms)),
            in_touch=is_in_touch,
        )

    def _has_route(self, route: domain.Route) -> bool:
        cfg = self._catalog.cfg
        return cfg is not None and route in cfg.routes

    def _observe(self) -> None:
        """Records that this VM follows both topics at the moment."""
        coverages = {
            names.OPERATOR_TOPIC: self._history.routes.coverage,
            names.ENDPOINT_TOPIC: self._history.coverage,
        }
        for topic, coverage in coverages.items():
            if self._replicas[topic].offset is not None:
                coverage.observe()

    def _watch_replicas(self) -> None:
        operator_replica = self._replicas[names.OPERATOR_TOPIC]
        operator_replica.on_superseded = self._record_earlier_configuration
        self._history.routes.is_contiguous = lambda: (
            operator_replica.is_contiguous
        )
        endpoint_replica = self._replicas[names.ENDPOINT_TOPIC]
        endpoint_replica.on_superseded = self._record_superseded
        endpoint_replica.on_unseen = self._record_unseen

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

    def _record_unseen(self, record: messages.Record) -> None:
        """Records that an endpoint of any version may have come and gone."""
        self._log.info("entry_unseen", endpoint=record.key)
        self._history.coverage.limit(self._clock.now())

    def _record_earlier_configuration(self, record: messages.Record) -> None:
        """Records a configuration that came after a newer one."""
        cfg = configuration_log.decode(record, names.CONFIGURATION_KEY)
        if cfg is not None:
            self._history.routes.record_earlier(cfg)
