"""The endpoints that this VM knows, with what it knows of their load."""

from collections.abc import Callable
import dataclasses

from hornbeampier import clock
from hornbeampier import exchange
from hornbeampier import models
from hornbeampier.coordination import records
from hornbeampier.endpoints import leaving
from hornbeampier.endpoints import messages
from hornbeampier.operators import schema

READ_TIMEOUT_MS = 30_000.0


@dataclasses.dataclass
class EndpointState:
    """One endpoint and this VM's view of it.

    Attributes:
        in_flight: Requests that this VM has running there.
        report: The endpoint's last load report.
        reported_at_ms: When the report arrived, monotonic.
        foreign: The report's requests that were not this VM's.
        leaving: The VM list, a peer or the endpoint says it is leaving.
        ejected_until_ms: No new work before this time, monotonic.
        down: It crashed and has not shown life since.
        failures: Failures since the last success.
        token_gap_ms: Mean time between two tokens; 0 if not measured.
        gap_samples: Times between tokens that were measured.
        on_trial: It was slow and has not been measured since.
    """

    cfg: schema.Endpoint
    peer: exchange.HttpPeer
    in_flight: int = 0
    report: messages.LoadReport | None = None
    reported_at_ms: float = 0.0
    foreign: int = 0
    leaving: bool = False
    ejected_until_ms: float = 0.0
    failures: int = 0
    token_gap_ms: float = 0.0
    gap_samples: int = 0
    down: bool = False
    on_trial: bool = False

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.cfg.name

    def serves(self, target: str) -> bool:
        """Returns whether the endpoint can run requests for `target`."""
        if self.cfg.kind is schema.EndpointKind.SERVICE:
            name = target.removeprefix(models.SERVICE_PREFIX)
            return name != target and name in self.cfg.serves
        return target in self.cfg.serves


class Registry:
    """All endpoints of the configuration in force."""

    def __init__(self, clock: clock.Clock):
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._listeners: list[Callable[[], None]] = []
        self.marks = leaving.LeavingMarks(clock)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of the set of endpoints."""
        self._listeners.append(listener)

    def apply(self, cfg: schema.Configuration) -> None:
        """Replaces the set; unchanged endpoints keep their state."""
        former = self._states
        self._states = {}
        for endpoint in cfg.endpoints:
            self._states[endpoint.name] = self._state_for(
                endpoint, former.get(endpoint.name)
            )
        self.refresh_leaving()
        for listener in self._listeners:
            listener()

    def _state_for(
        self, cfg: schema.Endpoint, former: EndpointState | None
    ) -> EndpointState:
        if former and (former.cfg.host, former.cfg.port) == (
            cfg.host,
            cfg.port,
        ):
            former.cfg = cfg
            return former
        peer = exchange.HttpPeer(cfg.host, cfg.port, READ_TIMEOUT_MS)
        return EndpointState(cfg, peer)

    def apply_vm_list(self, vms: tuple[records.ListedVm, ...]) -> None:
        """Marks endpoints that the VM list shows as leaving."""
        self.marks.note_list(vms)
        self.marks.forget_missing_peers(vms)
        self.refresh_leaving()

    def refresh_leaving(self) -> None:
        """Takes the marks as they stand now into the endpoints' states."""
        for state in self._states.values():
            state.leaving = self.marks.is_leaving(state.name)

    def all(self) -> list[EndpointState]:
        """Returns all endpoints."""
        return list(self._states.values())

    def engines(self) -> list[EndpointState]:
        """Returns the model engines."""
        kind = schema.EndpointKind.ENGINE
        return [s for s in self._states.values() if s.cfg.kind is kind]

    def find(self, name: str) -> EndpointState | None:
        """Returns the endpoint of that name."""
        return self._states.get(name)

    def serving(self, target: str) -> list[EndpointState]:
        """Returns the endpoints that can run requests for `target`."""
        return [s for s in self._states.values() if s.serves(target)]

    def record_report(
        self, state: EndpointState, report: messages.LoadReport
    ) -> None:
        """Stores a load report that has just arrived."""
        state.report = report
        state.down = False
        state.reported_at_ms = self._clock.now()
        total = report.running + report.waiting
        state.foreign = max(0, total - state.in_flight)
        self.marks.note_report(state.name, report.leaving)
        state.leaving = self.marks.is_leaving(state.name)
