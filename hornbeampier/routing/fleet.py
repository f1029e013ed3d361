"""What this VM knows of each endpoint from its own requests."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import cached_parts
from hornbeampier.routing import catalog
from hornbeampier.routing import model
from hornbeampier.routing import speed
from hornbeampier.routing import table

# Time for which an endpoint gets no requests after its first failure.
FIRST_EJECTION_MS = 250.0
MAX_EJECTION_MS = 8_000.0
# An endpoint that went down within this time is ejected for longer when it goes
# down again, though it served requests in between.
FORGIVE_MS = 10_000.0


def _ignore(endpoint_id: str) -> None:
    """The load of an endpoint that nobody watches."""


@dataclasses.dataclass
class EndpointState:
    """One incarnation of an endpoint, as seen from this VM.

    Attributes:
        in_flight: This VM's open requests there.
        prefill_tokens: Prompt tokens of this VM's requests that have no event
            yet.
        failures: Failures that have not been forgiven.
        failed_ms: When the last of them was seen.
        ejected_until_ms: Until when it gets no requests.
        cached: Prompt parts that it is believed to keep.
        speed: How fast it answered this VM.
        rank: Place in the order in which engines join pools, in [0, 1).
        on_load: Called with its id when this VM's load there changes.
    """

    endpoint: model.Endpoint
    cached: cached_parts.CachedParts
    speed: speed.SpeedMeter
    rank: float = 0.0
    on_load: Callable[[str], None] = _ignore
    in_flight: int = 0
    prefill_tokens: float = 0.0
    failures: int = 0
    failed_ms: float = -math.inf
    ejected_until_ms: float = 0.0

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.endpoint.id

    def is_open(self, now_ms: float) -> bool:
        """Whether it may get requests: not leaving, not ejected."""
        return not self.endpoint.leaving and now_ms >= self.ejected_until_ms

    def record_success(self, now_ms: float) -> None:
        """Notes a whole response."""
        if now_ms - self.failed_ms >= FORGIVE_MS:
            self.failures = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, now_ms: float) -> None:
        """Ejects the endpoint, longer after each failure in a row."""
        self.failures += 1
        self.failed_ms = now_ms
        out_ms = min(
            FIRST_EJECTION_MS * 2 ** (self.failures - 1), MAX_EJECTION_MS
        )
        self.ejected_until_ms = now_ms + out_ms


class AttemptLoad:
    """Counts an attempt at its endpoint for as long as it lasts."""

    def __init__(
        self,
        state: EndpointState,
        expected_ms: float | None,
        prefill_tokens: float,
    ):
        self._state = state
        self._tokens = prefill_tokens
        self._ticket = None
        if expected_ms is not None:
            self._ticket = state.speed.begin(expected_ms)
        state.in_flight += 1
        state.prefill_tokens += prefill_tokens
        state.on_load(state.id)

    def note_answer(self) -> None:
        """The answer has begun: the prompt has been read."""
        self._state.speed.end(self._ticket)
        self._end_prefill()

    def note_failure(self) -> None:
        """The attempt has failed."""
        self._state.speed.end(self._ticket, failed=True)

    def end(self) -> None:
        """The attempt is over."""
        self._state.speed.forget(self._ticket)
        self._state.in_flight -= 1
        self._state.on_load(self._state.id)
        self._end_prefill()

    def _end_prefill(self) -> None:
        if not self._tokens:
            return
        self._state.on_load(self._state.id)
        self._state.prefill_tokens -= self._tokens
        self._tokens = 0.0


class Fleet:
    """The states of all endpoints, by service."""

    def __init__(self, catalog: catalog.Catalog, clock: clocks.Clock):
        self._catalog = catalog
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self._changed: set[str] = set()
        catalog.subscribe(self.refresh)

    def refresh(self) -> None:
        """Follows the catalogue; a new incarnation starts afresh."""
        states = {}
        for endpoint in self._catalog.endpoints.values():
            state = self._states.get(endpoint.id)
            if state and state.endpoint.incarnation == endpoint.incarnation:
                state.endpoint = endpoint
            else:
                state = self._start_state(endpoint, state)
            states[endpoint.id] = state
        self._states = states
        self._by_service = {}
        for state in states.values():
            group = self._by_service.setdefault(state.endpoint.service, [])
            group.append(state)
        for group in self._by_service.values():
            group.sort(key=lambda state: state.id)

    def _start_state(
        self, endpoint: model.Endpoint, previous: EndpointState | None
    ) -> EndpointState:
        """Returns the state of a new incarnation, which keeps no requests."""
        state = EndpointState(
            endpoint,
            cached_parts.CachedParts(self._clock),
            speed.SpeedMeter(self._clock),
            table.uniform(f"pool/{endpoint.id}"),
            self._changed.add,
        )
        if previous is not None:
            state.failures = previous.failures
            state.failed_ms = previous.failed_ms
        return state

    def serving(self, service: str) -> list[EndpointState]:
        """Returns the endpoints of a service that are not leaving."""
        return [
            state
            for state in self._by_service.get(service, ())
            if not state.endpoint.leaving
        ]

    def candidates(
        self, service: str, tried: Container[str] = ()
    ) -> list[EndpointState]:
        """Returns the open endpoints outside `tried`.

        If none is open, the one that will be open next.
        """
        now_ms = self._clock.now()
        serving = [s for s in self.serving(service) if s.id not in tried]
        found = [state for state in serving if state.is_open(now_ms)]
        if found or not serving:
            return found
        return [min(serving, key=lambda state: state.ejected_until_ms)]

    def take_changed(self) -> frozenset[str]:
        """Returns the ids whose load changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def all(self) -> list[EndpointState]:
        """Returns all endpoints."""
        return list(self._states.values())

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns an endpoint by its id, or None."""
        return self._states.get(endpoint_id)
