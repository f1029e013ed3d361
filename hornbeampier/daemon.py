"""The router process of one VM, for a platform with a log and a VM list."""

import dataclasses

import structlog

from hornbeampier import application
from hornbeampier import drain
from hornbeampier import environment
from hornbeampier import memory_budget
from hornbeampier import metrics
from hornbeampier import request_info
from hornbeampier import router
from hornbeampier import settings
from hornbeampier.callers import connection
from hornbeampier.callers import server
from hornbeampier.coordination import claim_writer
from hornbeampier.coordination import claims
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import vm_list
from hornbeampier.endpoints import load
from hornbeampier.endpoints import registry
from hornbeampier.operators import admin
from hornbeampier.operators import configuration_log
from hornbeampier.operators import follower
from hornbeampier.operators import report
from hornbeampier.policy import choice
from hornbeampier.policy import scheduler
from hornbeampier.policy import suspects
from hornbeampier.vms import catch_up
from hornbeampier.vms import hints
from hornbeampier.vms import messages

MAX_ADMIN_CONNECTIONS = 200


@dataclasses.dataclass(frozen=True)
class Ports:
    """The ports on which a VM listens."""

    callers: int
    admin: int
    hints: int
    catch_up: int


class VmDaemon(application.BaseComponent):
    """Builds and owns the components of a router that follows the log."""

    def __init__(self, env: environment.Environment, cfg: settings.VmSettings):
        self._env = env
        self._settings = cfg
        self._boot = env.rng.getrandbits(32)
        self._log = structlog.get_logger(vm=cfg.vm)
        self.app = application.Application(cfg.vm)
        self.metrics = metrics.Metrics()
        self._build_platform()
        self._build_policy()
        self._build_callers()
        self._subscribe()
        self._add_components()

    def _build_platform(self) -> None:
        platform = self._settings.platform
        clk = self._env.clock
        self._platform_log = platform_log.HttpLog(
            platform.log_host, platform.log_port, platform.timeout_ms
        )
        self._vm_list = vm_list.VmListPoller(
            vm_list.VmListClient(
                platform.vm_list_host,
                platform.vm_list_port,
                platform.timeout_ms,
            ),
            clk,
            platform.vm_list_interval_ms,
        )
        self.claim_writer = claim_writer.ClaimWriter(
            self._settings.vm, self._platform_log, clk
        )
        self.claims = claims.Claims(
            self._platform_log,
            self._env,
            self.claim_writer,
            platform.timeout_ms,
        )
        self._catch_up = catch_up.CatchUpClient(self._settings.vm, clk)
        self._follower = follower.ConfigurationFollower(
            self._platform_log,
            clk,
            self._catch_up,
            self._env.rng,
            platform.snapshot_age_ms,
        )
        self._catch_up_server = catch_up.CatchUpServer(
            self._settings.peers.host,
            self._settings.peers.catch_up_port,
            self._follower.state.snapshot,
        )

    def _build_policy(self) -> None:
        clk = self._env.clock
        peers = self._settings.peers
        self._endpoints = registry.Registry(clk)
        self._hints = hints.HintExchange(
            self._settings.vm,
            peers.host,
            peers.hint_port,
            clk,
            self._make_hint,
            self._on_hint,
            peers.hint_interval_ms,
        )
        self._scheduler = self._make_scheduler()
        self._load_poller = load.LoadPoller(
            self._endpoints, clk, self._scheduler.dispatch_waiting
        )
        self._suspects = suspects.Suspects(
            clk,
            self._env.rng,
            self._endpoints,
            self._hints,
            self._occupancy,
            self._on_suspects_changed,
        )
        self._router = router.Router(
            self._scheduler,
            self._endpoints,
            self._suspects,
            clk,
            lambda: self._follower.state.version,
        )

    def _occupancy(self, state: registry.EndpointState) -> int:
        chooser = choice.EndpointChooser(self._hints, self._env.rng)
        return chooser.occupancy(state, self._env.clock.now())

    def _make_scheduler(self) -> scheduler.Scheduler:
        """Returns the scheduler; the benchmark's baselines override this."""
        return scheduler.Scheduler(
            self._endpoints,
            choice.EndpointChooser(self._hints, self._env.rng),
            self._hints,
            self._env.clock,
        )

    def _build_callers(self) -> None:
        callers = self._settings.callers
        self._caller_app = server.CallerApp(
            self._env,
            callers,
            lambda: self._follower.accepted,
            self._router,
            self.metrics,
            self.claims,
        )
        self._client_memory = memory_budget.MemoryBudget(
            callers.held_bytes, self._env.clock, self._env.rng
        )
        self.caller_server = connection.CallerServer(
            callers.host,
            callers.port,
            self._caller_app,
            callers.max_connections,
            self._client_memory,
        )
        self.admin_server = connection.CallerServer(
            self._settings.admin.host,
            self._settings.admin.port,
            admin.AdminApp(self._render_metrics, self.make_report),
            MAX_ADMIN_CONNECTIONS,
            self._client_memory,
        )

    def _subscribe(self) -> None:
        self._vm_list.subscribe(self._hints.apply_vm_list)
        self._vm_list.subscribe(self._catch_up.apply_vm_list)
        self._vm_list.subscribe(self._endpoints.apply_vm_list)
        self._follower.subscribe(self._apply_configuration)

    def _add_components(self) -> None:
        self.app.add(self.admin_server)
        self.app.add(self._vm_list)
        self.app.add(self._catch_up_server)
        self.app.add(self._hints)
        self.app.add(self._load_poller)
        self.app.add(self._scheduler)
        self.app.add(self._follower)
        self.app.add(self.claim_writer)
        self.app.add(self.claims)
        self.app.add(self.caller_server)
        self.app.add(
            drain.Drain(
                self._caller_app,
                self.caller_server,
                self._env.clock,
                self._settings.drain,
            )
        )

    @property
    def ports(self) -> Ports:
        """The ports in use, known after `start`."""
        return Ports(
            self.caller_server.port,
            self.admin_server.port,
            self._hints.port,
            self._catch_up_server.port,
        )

    def start(self) -> None:
        """Starts all components."""
        self.app.start()

    def drain(self) -> None:
        """Finishes all requests in flight."""
        self.app.drain()

    def stop(self) -> None:
        """Stops all components."""
        self.app.stop()

    def make_report(self) -> report.VmReport:
        """Returns the report of this VM."""
        waiting = self._scheduler.waiting_by_class()
        accepted = self._follower.accepted
        class_names = [c.name for c in accepted.cfg.classes] if accepted else []
        draining = self._caller_app.not_ready
        return report.VmReport(
            vm=self._settings.vm,
            availability_zone=self._settings.availability_zone,
            ready=self._follower.has_synced() and not draining,
            draining=draining,
            version=self._follower.state.version,
            open_requests=self._caller_app.open_requests,
            endpoints=tuple(self._endpoint_rows()),
            classes=tuple(self._class_row(n, waiting) for n in class_names),
            useful_tokens=self.metrics.token_count("useful"),
            wasted_tokens=self.metrics.token_count("wasted"),
            hint_bytes=self._hints.sent_bytes,
            log_age_ms=self._log_age_ms(),
        )

    def _render_metrics(self) -> bytes:
        self.metrics.client_memory.record(self._client_memory.usage())
        return self.metrics.render()

    def _log_age_ms(self) -> float | None:
        read_at_ms = self._follower.read_at_ms
        if read_at_ms is None:
            return None
        return self._env.clock.now() - read_at_ms

    def _endpoint_rows(self):
        now_ms = self._env.clock.now()
        for state in self._endpoints.all():
            row_state = "open"
            if state.leaving:
                row_state = "leaving"
            elif now_ms < state.ejected_until_ms:
                row_state = "ejected"
            yield report.EndpointRow(
                state.name, row_state, state.in_flight, state.cfg.slots
            )

    def _class_row(self, name: str, waiting: dict[str, int]):
        count = self.metrics.request_count
        return report.ClassRow(
            name,
            waiting.get(name, 0),
            count(name, request_info.Outcome.SERVED),
            self.metrics.on_time_count(name),
            count(name, request_info.Outcome.REFUSED),
            count(name, request_info.Outcome.CANCELLED),
        )

    def _apply_configuration(
        self, accepted: configuration_log.AcceptedConfiguration
    ) -> None:
        self._endpoints.apply(accepted.cfg)
        self._scheduler.apply(accepted.cfg)

    def _make_hint(self, sequence: int) -> messages.Hint:
        return messages.Hint(
            self._settings.vm,
            self._boot,
            sequence,
            self._follower.state.version,
            {s.name: s.in_flight for s in self._endpoints.all() if s.in_flight},
            self._scheduler.waiting_by_target(),
            self._endpoints.leaving_marks.own_mark_ages_ms(),
            self._suspects.recent_suspicions(),
            self._suspects.suspect_endpoints(),
            self._suspects.reserved_endpoints(),
        )

    def _on_suspects_changed(self) -> None:
        """Informs the peers and dispatches requests that may run now."""
        self._hints.send_hint()
        self._scheduler.dispatch_waiting()

    def _on_hint(self, hint: messages.Hint) -> None:
        self._suspects.merge(hint.suspicions)
        self._endpoints.leaving_marks.record_peer_marks(hint.vm, hint.leaving)
        self._endpoints.refresh_leaving()
        if hint.version > self._follower.state.version:
            self._catch_up.prefer_peer(hint.vm)
        self._follower.record_peer_version(hint.version)
        self._scheduler.dispatch_waiting()
