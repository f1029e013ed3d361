"""The state of each endpoint, as observed through this VM's own requests."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import announcements
from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_speed
from hornbeampier.routing import latency
from hornbeampier.routing import prefix_cache
from hornbeampier.routing import route_table

# Ejection time after the first failure; it doubles with each further failure.
FIRST_EJECTION_MS = 250.0
MAX_EJECTION_MS = 8_000.0
# A success resets the failure count only if the last failure is at least this
# old, so that an endpoint that keeps crashing is ejected longer each time, even
# if it serves requests in between.
FAILURE_RESET_MS = 10_000.0


def _ignore(endpoint_id: str) -> None:
    """Default `on_load_change`: does nothing."""


@dataclasses.dataclass
class EndpointState:
    """One incarnation of an endpoint, as seen from this VM.

    Attributes:
        prefix_cache: Estimated contents of the engine's prefix cache.
        latency: Measured against expected response times of this VM's requests.
        speed: Event delays of this VM's streams, and what the endpoint says
            about its current speed.
        pool_rank: Position in [0, 1) among the service's engines, which decides
            to which pool an engine belongs.
        on_load_change: Called with the endpoint's id when this VM's load on it
            changes.
        in_flight: Number of this VM's requests in flight.
        prefill_tokens: Prompt tokens that the engine must prefill for those of
            these requests that still wait for their first event.
        failures: Number of failures since the last reset, see FAILURE_RESET_MS.
        failed_ms: When the last failure was seen.
        ejected_until_ms: Until when the endpoint gets no requests.
        event_ms: When it last completed an event of a stream of this VM.
        is_known: Whether the catalog has this incarnation.
    """

    endpoint: domain.Endpoint
    prefix_cache: prefix_cache.PrefixCacheIndex
    latency: latency.LatencyMeter
    speed: endpoint_speed.SpeedMeter
    pool_rank: float = 0.0
    on_load_change: Callable[[str], None] = _ignore
    in_flight: int = 0
    prefill_tokens: float = 0.0
    failures: int = 0
    failed_ms: float = -math.inf
    ejected_until_ms: float = 0.0
    event_ms: float = 0.0
    is_known: bool = True

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.endpoint.id

    def serves(self, service: str) -> bool:
        """Whether its entry allows it to get requests for a service now."""
        endpoint = self.endpoint
        return (
            self.is_known
            and not endpoint.leaving
            and endpoint.service == service
        )

    def is_eligible(self, now_ms: float) -> bool:
        """Whether it may get requests: neither leaving nor ejected."""
        return not self.endpoint.leaving and now_ms >= self.ejected_until_ms

    def latency_sums(self) -> latency.LatencySums:
        """Returns the sums over this VM's responses.

        Plain requests are measured by `latency`, and streams by `speed`.
        """
        plain = self.latency.sums()
        streams = self.speed.sums()
        return latency.LatencySums(
            plain.measured_ms + streams.measured_ms,
            plain.expected_ms + streams.expected_ms,
        )

    def record_success(self, now_ms: float) -> None:
        """Records a complete response, which ends an ejection."""
        if now_ms - self.failed_ms >= FAILURE_RESET_MS:
            self.failures = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, now_ms: float) -> None:
        """Ejects the endpoint with exponential backoff."""
        self.failures += 1
        self.failed_ms = now_ms
        ejection_ms = min(
            FIRST_EJECTION_MS * 2 ** (self.failures - 1), MAX_EJECTION_MS
        )
        self.ejected_until_ms = now_ms + ejection_ms


class InFlightAttempt:
    """Accounts for one attempt in its endpoint's load until it ends."""

    def __init__(
        self,
        state: EndpointState,
        expected_response_ms: float | None,
        prefill_tokens: float,
    ):
        self._state = state
        self._prefill_tokens = prefill_tokens
        self._latency_ticket = None
        if expected_response_ms is not None:
            self._latency_ticket = state.latency.begin(expected_response_ms)
        state.in_flight += 1
        state.prefill_tokens += prefill_tokens
        state.on_load_change(state.id)

    def record_response(self) -> None:
        """Records a stream's first block or a buffered response.

        Prefill is then complete. Later calls have no effect.
        """
        self._state.latency.end(self._latency_ticket)
        self._end_prefill()

    def record_failure(self) -> None:
        """Records that the attempt has failed."""
        self._state.latency.end(self._latency_ticket, failed=True)

    def end(self) -> None:
        """Ends the attempt and removes it from the load."""
        self._state.latency.discard(self._latency_ticket)
        self._state.in_flight -= 1
        self._state.on_load_change(self._state.id)
        self._end_prefill()

    def _end_prefill(self) -> None:
        if not self._prefill_tokens:
            return
        self._state.on_load_change(self._state.id)
        self._state.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0.0


class Fleet:
    """The states of all endpoints, by service."""

    def __init__(
        self,
        catalog: catalog.Catalog,
        announcements: announcements.Announcements,
        clock: clocks.Clock,
    ):
        self._catalog = catalog
        self._announcements = announcements
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self._changed_loads: set[str] = set()
        catalog.subscribe(self.refresh)

    def refresh(self) -> None:
        """Updates the states from the catalog.

        A new incarnation of an endpoint gets a new state.
        """
        states = {}
        for endpoint in self._catalog.endpoints.values():
            state = self._states.get(endpoint.id)
            if state and state.endpoint.incarnation == endpoint.incarnation:
                state.endpoint = endpoint
            else:
                state = self._new_state(endpoint, state)
            states[endpoint.id] = state
        for state in self._states.values():
            state.is_known = states.get(state.id) is state
        self._states = states
        self._by_service = {}
        for state in states.values():
            states_of_service = self._by_service.setdefault(
                state.endpoint.service, []
            )
            states_of_service.append(state)
        for states_of_service in self._by_service.values():
            states_of_service.sort(key=lambda state: state.id)

    def _new_state(
        self, endpoint: domain.Endpoint, previous: EndpointState | None
    ) -> EndpointState:
        """Returns the state of a new incarnation.

        It has no load, but keeps the failures of the previous incarnation.
        """
        state = EndpointState(
            endpoint,
            prefix_cache.PrefixCacheIndex(self._clock),
            latency.LatencyMeter(self._clock),
            endpoint_speed.SpeedMeter(self._clock),
            route_table.uniform_hash(f"pool/{endpoint.id}"),
            self._changed_loads.add,
        )
        if previous is not None:
            state.failures = previous.failures
            state.failed_ms = previous.failed_ms
        return state

    def serving(self, service: str) -> list[EndpointState]:
        """Returns the endpoints of a service that are not leaving."""
        serving = [
            state
            for state in self._by_service.get(service, ())
            if not state.endpoint.leaving
        ]
        if not self._announcements.endpoint_ids:
            return serving
        return [
            state
            for state in serving
            if not self._announcements.is_leaving(state.endpoint)
        ]

    def candidates(
        self,
        service: str,
        tried: Container[str] = (),
        version: str | None = None,
    ) -> list[EndpointState]:
        """Returns the endpoints outside `tried` that may get requests.

        Those that asked for fewer requests are left out for now. If all others
        are ejected, returns the one whose ejection ends first.

        Args:
            service: The service.
            tried: Ids of endpoints to leave out.
            version: Software version that the endpoints must run; None for any.
        """
        now_ms = self._clock.now()
        serving = self._untried(service, tried, version)
        if self._announcements.endpoint_ids:
            serving = [
                state
                for state in serving
                if not self._announcements.opens_in_ms(state.endpoint)
            ]
        eligible = [state for state in serving if state.is_eligible(now_ms)]
        if eligible or not serving:
            return eligible
        return [min(serving, key=lambda state: state.ejected_until_ms)]

    def _untried(
        self, service: str, tried: Container[str], version: str | None
    ) -> list[EndpointState]:
        serving = [s for s in self.serving(service) if s.id not in tried]
        if version is None:
            return serving
        return [s for s in serving if s.endpoint.software_version == version]

    def limited(self, states: list[EndpointState]) -> list[EndpointState]:
        """Returns those of the endpoints that name a limit on requests."""
        announced = self._announcements.endpoint_ids
        if not announced:
            return []
        return [
            state
            for state in states
            if state.id in announced
            and self._announcements.is_limited(state.endpoint)
        ]

    def in_doubt(self) -> list[domain.Endpoint]:
        """Returns endpoints of which a health check tells whether they leave.

        Until then they get no requests.
        """
        return [
            state.endpoint
            for id_ in self._announcements.endpoint_ids
            if (state := self._states.get(id_))
            and self._announcements.is_in_doubt(state.endpoint)
        ]

    def withheld(self, service: str) -> dict[str, str]:
        """Returns why endpoints get no requests because of announcements.

        They are keyed by endpoint id.
        """
        announced = self._announcements.endpoint_ids
        if not announced:
            return {}
        reasons = {
            state.id: self._announcements.describe(state.endpoint)
            for state in self._by_service.get(service, ())
            if state.id in announced
        }
        return {id_: reason for id_, reason in reasons.items() if reason}

    def opens_in_ms(
        self,
        service: str,
        tried: Container[str] = (),
        version: str | None = None,
    ) -> float | None:
        """Returns when the next endpoint outside `tried` may get a request.

        None if there is no such endpoint. `version` is as in `candidates`.
        """
        return min(
            (
                self._announcements.opens_in_ms(state.endpoint)
                for state in self._untried(service, tried, version)
            ),
            default=None,
        )

    def take_changed_loads(self) -> frozenset[str]:
        """Returns ids of endpoints whose load changed since the last call."""
        changed = frozenset(self._changed_loads)
        self._changed_loads.clear()
        return changed

    def all(self) -> list[EndpointState]:
        """Returns the states of all endpoints, leaving ones included."""
        return list(self._states.values())

    def count(self) -> int:
        """Returns the number of endpoints."""
        return len(self._states)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns the state of an endpoint, or None if it is unknown."""
        return self._states.get(endpoint_id)
