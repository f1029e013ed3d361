"""The endpoints of the configuration, with their load and health."""

from collections.abc import Callable
import dataclasses

from hornbeampier import clock
from hornbeampier import http_client
from hornbeampier import request_info
from hornbeampier.coordination import records
from hornbeampier.endpoints import leaving
from hornbeampier.endpoints import messages
from hornbeampier.operators import schema

READ_TIMEOUT_MS = 30_000.0


@dataclasses.dataclass
class EndpointState:
    """One endpoint and this VM's view of it.

    Attributes:
        http_client: Sends requests to the endpoint.
        in_flight: Number of this VM's requests at the endpoint.
        report: The endpoint's last load report.
        reported_at_ms: Monotonic time at which the report arrived.
        other_vms_in_flight: Number of other VMs' requests in the report.
        leaving: Whether the VM list, a peer or the endpoint says it is leaving.
        ejected_until_ms: Monotonic time before which it gets no new requests.
        down: Whether it crashed and has not responded since.
        failures: Number of failures since the last success.
        inter_token_ms: EWMA of the time between two tokens; 0 if not measured.
        inter_token_samples: Number of samples in `inter_token_ms`, counted
            since it was last ejected as a straggler.
        on_trial: Whether it was ejected as a straggler and has not passed the
            straggler check since.
    """

    cfg: schema.Endpoint
    http_client: http_client.HttpClient
    in_flight: int = 0
    report: messages.LoadReport | None = None
    reported_at_ms: float = 0.0
    other_vms_in_flight: int = 0
    leaving: bool = False
    ejected_until_ms: float = 0.0
    failures: int = 0
    inter_token_ms: float = 0.0
    inter_token_samples: int = 0
    down: bool = False
    on_trial: bool = False

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.cfg.name

    def may_run(self, software_version: str | None) -> bool:
        """Returns whether the endpoint may run this version of its software.

        None stands for any version. An endpoint that has not reported any load
        may run each.
        """
        if software_version is None or self.report is None:
            return True
        return self.report.software_version == software_version

    def serves(self, target: str) -> bool:
        """Returns whether the endpoint can run requests for `target`."""
        if self.cfg.kind is schema.EndpointKind.SERVICE:
            name = target.removeprefix(request_info.SERVICE_PREFIX)
            return name != target and name in self.cfg.serves
        return target in self.cfg.serves


class Registry:
    """All endpoints of the configuration in force."""

    def __init__(self, clock: clock.Clock):
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._listeners: list[Callable[[], None]] = []
        self.leaving_marks = leaving.LeavingMarks(clock)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of the set of endpoints."""
        self._listeners.append(listener)

    def apply(self, cfg: schema.Configuration) -> None:
        """Replaces the endpoints, with new state if the address has changed."""
        previous = self._states
        self._states = {}
        for endpoint in cfg.endpoints:
            self._states[endpoint.name] = self._state_for(
                endpoint, previous.get(endpoint.name)
            )
        self.refresh_leaving()
        for listener in self._listeners:
            listener()

    def _state_for(
        self, cfg: schema.Endpoint, previous: EndpointState | None
    ) -> EndpointState:
        if previous and (previous.cfg.host, previous.cfg.port) == (
            cfg.host,
            cfg.port,
        ):
            previous.cfg = cfg
            return previous
        client = http_client.HttpClient(cfg.host, cfg.port, READ_TIMEOUT_MS)
        return EndpointState(cfg, client)

    def apply_vm_list(self, vms: tuple[records.ListedVm, ...]) -> None:
        """Marks endpoints that the VM list shows as leaving."""
        self.leaving_marks.record_vm_list(vms)
        self.leaving_marks.forget_unlisted_peers(vms)
        self.refresh_leaving()

    def refresh_leaving(self) -> None:
        """Updates the `leaving` attribute of all endpoints from the marks."""
        for state in self._states.values():
            state.leaving = self.leaving_marks.is_leaving(state.name)

    def all(self) -> list[EndpointState]:
        """Returns all endpoints."""
        return list(self._states.values())

    def engines(self) -> list[EndpointState]:
        """Returns the model engines."""
        kind = schema.EndpointKind.ENGINE
        return [s for s in self._states.values() if s.cfg.kind is kind]

    def find(self, name: str) -> EndpointState | None:
        """Returns the endpoint of that name, or None."""
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
        state.other_vms_in_flight = max(0, total - state.in_flight)
        self.leaving_marks.record_load_report(state.name, report.leaving)
        state.leaving = self.leaving_marks.is_leaving(state.name)
