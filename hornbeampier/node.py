"""The router process of one VM, for a platform with a store of topics."""

from hornbeampier import application
from hornbeampier import environment
from hornbeampier import memory_budget
from hornbeampier import node_memory
from hornbeampier import node_metrics
from hornbeampier import origin_components
from hornbeampier.duties import scaling_wiring
from hornbeampier.duties import wiring
from hornbeampier.forwarding import cache_survey
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import context
from hornbeampier.forwarding import departure_checks
from hornbeampier.forwarding import forwarder
from hornbeampier.forwarding import oversized
from hornbeampier.ingress import admission
from hornbeampier.ingress import caller_handler
from hornbeampier.ingress import control
from hornbeampier.ingress import listener
from hornbeampier.ingress import readiness
from hornbeampier.ingress import shutdown
from hornbeampier.peers import components
from hornbeampier.peers import known_vms
from hornbeampier.peers import membership
from hornbeampier.peers import state_exchange
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.platform import store
from hornbeampier.replication import appliers
from hornbeampier.replication import catch_up
from hornbeampier.replication import follower
from hornbeampier.replication import relay
from hornbeampier.replication import replica
from hornbeampier.replication import store_checks
from hornbeampier.replication import store_readers
from hornbeampier.routing import announcements
from hornbeampier.routing import budget
from hornbeampier.routing import catalog
from hornbeampier.routing import components as routing_components
from hornbeampier.routing import crashes
from hornbeampier.routing import dispatch
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import limit_shares
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds

MAINTENANCE_INTERVAL_MS = 250.0
# A VM that hears none of its peers for this time may miss new endpoints.
IN_TOUCH_MS = 2_000.0
# Fraction of the process's file descriptors that callers' connections may use.
CALLER_FD_FRACTION = 0.5
# Limit of each of the listeners that do not serve callers.
MAX_CONTROL_CONNECTIONS = 100


class Node(application.BaseComponent):
    """Builds and owns the components of a router that follows the store."""

    def __init__(
        self,
        env: environment.Environment,
        cfg: settings.NodeSettings,
        metrics_port: int = node_metrics.PORT,
    ):
        self._env = env
        self._metrics_address = settings.Address(cfg.host, metrics_port)
        self._cfg = cfg
        self._clock = env.clock
        self._vms = known_vms.KnownVms(cfg)
        self.app = application.Application(cfg.vm)
        self.catalog = catalog.Catalog()
        self._metrics = node_metrics.NodeMetrics()
        self._client_memory = memory_budget.MemoryBudget(
            node_memory.client_memory_bytes(cfg), self._clock, env.rng
        )
        self._announcements = announcements.Announcements(
            limit_shares.LimitShares(
                cfg.host, self._vms.peer_hosts
            ).share_per_s,
            self._metrics.record_announcement,
            self._clock,
            env.rng,
        )
        self._fleet = fleet.Fleet(
            self.catalog, self._announcements, self._clock
        )
        self._peer_loads = peer_loads.PeerLoads(self._clock)
        self._endpoint_applier = appliers.EndpointApplier(
            self.catalog,
            self._cfg.heartbeat_ms,
            self._clock,
            self._metrics.record_unreadable,
        )
        self._classifier = prompt_kinds.PromptClassifier()
        self._engine_models = engine_model.EngineModels()
        self._pools = pools.EnginePools(
            self._classifier,
            self._engine_models,
            self.catalog.engine_traits,
            self._clock,
        )
        self._crashes = crashes.CrashHistory(self._clock, self._vms.owns_trial)
        self._prefill_meter = prefill.PrefillMeter(self._clock)
        self._placements = placements.Placements(self._fleet, self.catalog)
        self._origins = origin_components.OriginComponents(
            cfg, self.catalog, self._clock
        )
        self._build_replication()
        self._build_peers()
        self._duties = wiring.Duties(
            cfg, self._vms.live_peers, self._metrics, self._clock, env.rng
        )
        self.app.add(*self._duties.exchanges)
        self._build_forwarder()
        self._build_listeners()
        self.app.add(*self._duties.actors)
        self.app.add(
            *scaling_wiring.build_scaling(
                cfg,
                self._context,
                self._fleet,
                self._prefill_meter,
                self._vms.live_peers,
                self._is_in_touch,
            )
        )

    def _build_replication(self) -> None:
        configuration_applier = appliers.ConfigurationApplier(
            self.catalog,
            names.CONFIGURATION_KEY,
            self._metrics.record_unreadable,
        )
        self._replicas = {
            topic: replica.TopicReplica(topic, applier)
            for topic, applier in (
                (names.OPERATOR_TOPIC, configuration_applier),
                (names.ENDPOINT_TOPIC, self._endpoint_applier),
            )
        }
        seeds = {seed.host for seed in self._cfg.seeds} - {self._cfg.host}
        self._store_readers = store_readers.StoreReaders(
            self._cfg.host, self._clock, expects_peers=bool(seeds)
        )
        readers = self._origins.build_readers(
            self._replicas, self._should_read_store
        )
        self._followers = [
            follower.TopicFollower(
                topic_replica,
                store.StoreClient(self._cfg.store, self._clock),
                self._clock,
                self._env.rng,
                self._count_readers,
                self._should_read_store,
                # The log is read before this VM becomes ready.
                readers[topic].read_before,
            )
            for topic, topic_replica in self._replicas.items()
        ]
        reads = self._origins.build_fresh_reads(self._vms.count)
        checks = store_checks.StoreChecks(
            self._replicas.values(),
            reads,
            self._allowed_age_ms,
            self._vms.count,
            self._clock,
            self._env.rng,
        )
        self.app.add(*self._followers, *readers.values(), reads, checks)

    def _build_peers(self) -> None:
        cfg = self._cfg
        if cfg.control is None:
            return
        self._catch_up = catch_up.CatchUp(
            self._replicas,
            cfg.control.port,
            self._reads_store,
            self._clock,
            self._env.rng,
        )
        members = membership.Membership(
            cfg.host, [seed.host for seed in cfg.seeds], self._clock
        )
        self._vms.membership = members
        shared = state_exchange.SharedComponents(
            replicas=self._replicas,
            fleet=self._fleet,
            peer_loads=self._peer_loads,
            pools=self._pools,
            placements=self._placements,
            announcements=self._announcements,
            crashes=self._crashes,
            prefill_meter=self._prefill_meter,
            catch_up=self._catch_up,
            store_readers=self._store_readers,
        )
        handler = control.ControlHandler(relay.RelayHandler(self._replicas))
        self.app.add(self._make_listener(cfg.control, handler))
        identity = components.Identity(
            cfg.vm, cfg.host, cfg.availability_zone, cfg.peer_port
        )
        self.app.add(
            *components.build_gossip(
                identity,
                shared,
                members,
                self._reads_store,
                self._clock,
                self._env.rng,
            ),
            self._catch_up,
            *self._origins.build_exchange(self._vms.peer_hosts, self._env.rng),
        )

    def _build_forwarder(self) -> None:
        cfg = self._cfg
        oversized_responses = oversized.OversizedResponses(
            self._fleet, self._metrics, self._clock
        )
        self._connection_pool = connection_pool.ConnectionPool(
            self._fleet, self._clock, oversized_responses.record
        )
        proof = self._origins.build_begin_proof(self._connection_pool)
        self._context = context.Context(
            catalog=self.catalog,
            peer_loads=self._peer_loads,
            connection_pool=self._connection_pool,
            dispatcher=self._make_dispatcher(),
            crashes=self._crashes,
            budget=budget.RetryBudget(
                cfg.retry_ratio,
                cfg.retry_extra,
                cfg.retry_window_ms,
                self._vms.count,
                self._clock,
            ),
            engine_models=self._engine_models,
            announcements=self._announcements,
            entries=self._replicas[names.ENDPOINT_TOPIC].currency,
            resumption=self._origins.build_resumption(proof, self._metrics),
            begin_proof=proof,
            metrics=self._metrics,
            clock=self._clock,
            rng=self._env.rng,
            usage=self._duties.usage,
        )
        self._forwarder = forwarder.Forwarder(self._context)
        self.app.add(
            departure_checks.DepartureChecks(
                self._context, self._fleet, cfg.host, self._vms.peer_hosts
            )
        )
        if cfg.control is not None and not cfg.bootstrap:
            self.app.add(
                cache_survey.CacheSurvey(
                    cfg.host,
                    self._vms.live_peers,
                    self._fleet,
                    self.catalog,
                    self._connection_pool,
                    self._placements,
                    self._announcements,
                    self._clock,
                )
            )

    def _make_dispatcher(self) -> dispatch.Dispatcher:
        shared = routing_components.SharedComponents(
            catalog=self.catalog,
            fleet=self._fleet,
            peer_loads=self._peer_loads,
            pools=self._pools,
            placements=self._placements,
            classifier=self._classifier,
            prefill_meter=self._prefill_meter,
            engine_models=self._engine_models,
            metrics=self._metrics,
        )
        return routing_components.build_dispatcher(
            shared,
            self._cfg.availability_zone,
            self._vms.count_in_zone,
            self._clock,
            self._env.rng,
        )

    def _build_listeners(self) -> None:
        cfg = self._cfg
        self._handler = caller_handler.CallerHandler(
            self.catalog,
            admission.Admission(self.catalog, self._clock),
            self._forwarder,
            self._metrics,
            self._clock,
        )
        caller_listener = self._make_listener(
            cfg.callers,
            self._handler,
            round(cfg.max_open_files * CALLER_FD_FRACTION),
        )
        self.app.add(
            self._make_listener(
                cfg.readiness, readiness.ReadinessHandler(self.is_ready)
            ),
            self._make_listener(
                self._metrics_address,
                control.MetricsHandler(self._render_metrics),
            ),
            caller_listener,
            shutdown.GracefulShutdown(
                self._handler, caller_listener, self._clock, cfg.grace_ms
            ),
            application.PeriodicTask(
                MAINTENANCE_INTERVAL_MS, self._maintain, self._clock
            ),
        )

    def _make_listener(
        self,
        address: settings.Address,
        handler: listener.Handler,
        max_connections: int = MAX_CONTROL_CONNECTIONS,
    ) -> listener.Listener:
        return listener.Listener(
            address, handler, self._clock, max_connections, self._client_memory
        )

    def start(self) -> None:
        """Starts all components."""
        self.app.start()

    def drain(self) -> None:
        """Drains all components, which finishes the requests in flight."""
        self.app.drain()

    def stop(self) -> None:
        """Stops all components and closes the connections to endpoints."""
        self.app.stop()
        self._connection_pool.close()

    def is_ready(self) -> bool:
        """Whether this VM is ready for requests.

        It has a configuration, has read the endpoints and is not draining.
        """
        return (
            not self._handler.draining
            and self.catalog.cfg is not None
            and self._replicas[names.ENDPOINT_TOPIC].offset is not None
        )

    def _render_metrics(self) -> bytes:
        for topic, topic_replica in self._replicas.items():
            age_ms = topic_replica.currency.age_ms(self._clock.now())
            self._metrics.record_age(topic, age_ms)
        self._metrics.client_memory.record(self._client_memory.usage())
        return self._metrics.render(self.catalog.version)

    def _should_read_store(self) -> bool:
        self._store_readers.record_members(self._vms.live_peers())
        return self._store_readers.should_read()

    def _allowed_age_ms(self) -> float:
        """Returns the age of its records at which this VM reads the store."""
        rank = self._store_readers.rank_among(self._vms.live_peers())
        return store_checks.allowed_age_ms(rank, self._vms.has_hubs())

    def _reads_store(self) -> bool:
        return all(f.reads_store for f in self._followers)

    def _is_in_touch(self) -> bool:
        """Whether this VM hears of new endpoints, from the store or peers."""
        if self._reads_store() or not self._cfg.seeds:
            return True
        if self._vms.membership is None:
            return False
        silent_ms = self._clock.now() - self._vms.membership.last_seen_ms()
        return silent_ms < IN_TOUCH_MS

    def _count_readers(self) -> int:
        """Returns the number of VMs that read the store at the moment."""
        return min(
            1 + len(self._store_readers.live()), store_readers.READER_COUNT
        )

    def _maintain(self) -> None:
        self._announcements.expire(
            [e.process_id for e in self.catalog.endpoints.values()]
        )
        self._endpoint_applier.expire()
        self._origins.maintain(self._is_in_touch())
        self._connection_pool.expire()
        self._prefill_meter.expire()
