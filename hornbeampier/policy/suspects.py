"""Requests that may crash endpoints; see docs/design/failures.md.

After a crash, every request that ran at the endpoint is a suspect. A suspect
shares no endpoint with other suspects; after its second crash it runs alone.
It is blocked after a crash in such an isolated run, or after `MAX_CRASHES` in
all. If another request joined the isolated run, its crash is inconclusive: it
only counts towards `MAX_CRASHES` and makes the other request a suspect.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import random
from typing import Protocol

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier import verdict
from hornbeampier.endpoints import registry
from hornbeampier.policy import health
from hornbeampier.policy import reservations
from hornbeampier.policy import suspect_runs
from hornbeampier.vms import messages

# Bounds the endpoints that one request can crash, even if others ran on them.
MAX_CRASHES = 6
# Crashes after which a request runs alone.
CRASHES_BEFORE_ISOLATION = 2
EXPIRY_MS = 600_000.0
# A suspicion is repeated in the hints for this long after its last crash.
HINT_REPEAT_MS = 3_000.0
# Peers have this long after a crash to report that they ran a request at the
# endpoint, too. Longer than `probe.TIMEOUT_MS`, the read timeout of their probe
# of the endpoint.
PEER_CRASH_REPORT_MS = 700.0
MAX_SUSPECTS = 1_024
CRASH_ID_BITS = 32


class IsolationLevel(enum.IntEnum):
    """The isolation that a request needs.

    Attributes:
        NONE: It is not a suspect.
        APART: It must not share an endpoint with another suspect.
        ALONE: It must not share an endpoint with any request.
    """

    NONE = 0
    APART = 1
    ALONE = 2


class PeerSuspects(Protocol):
    """What the other VMs report in their hints about suspects."""

    def in_flight(self, endpoint: str) -> int:
        """Returns the number of the peers' requests at an endpoint."""
        ...

    def runs_suspect(self, endpoint: str) -> bool:
        """Returns whether a peer runs a suspect at the endpoint."""
        ...

    def is_reserved(self, endpoint: str) -> bool:
        """Returns whether a peer reserves the endpoint for one suspect."""
        ...


@dataclasses.dataclass
class _Suspect:
    """What is known about one suspect.

    Attributes:
        crashes: IDs of the endpoint crashes during its runs, on all VMs.
        inconclusive_crashes: Number of crashes in isolated runs that another
            request joined.
        endpoint: The endpoint of the last crash on this VM; empty if there was
            none.
        blocked: Whether it is refused from now on.
        expires_ms: Monotonic time at which the suspicion ends.
        hint_until_ms: Monotonic time until which hints repeat the suspicion.
    """

    crashes: set[int] = dataclasses.field(default_factory=set)
    inconclusive_crashes: int = 0
    endpoint: str = ""
    blocked: bool = False
    expires_ms: float = 0.0
    hint_until_ms: float = 0.0

    @property
    def isolation_level(self) -> IsolationLevel:
        if len(self.crashes) >= CRASHES_BEFORE_ISOLATION:
            return IsolationLevel.ALONE
        return IsolationLevel.APART if self.crashes else IsolationLevel.NONE


class Suspects:
    """Records crashes by request and decides where suspects may run."""

    def __init__(
        self,
        clk: clock.Clock,
        rng: random.Random,
        endpoints: registry.Registry,
        peers: PeerSuspects,
        occupancy: Callable[[registry.EndpointState], int],
        on_change: Callable[[], None],
    ):
        self._clock = clk
        self._random = rng
        self._endpoints = endpoints
        self._peers = peers
        self._occupancy = occupancy
        self._on_change = on_change
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._runs = suspect_runs.SuspectRuns(on_change)
        self._reservations = reservations.Reservations(
            clk, endpoints, peers.is_reserved, occupancy, on_change
        )
        self._peer_crash_reported_ms: dict[str, float] = {}

    def refuse_if_blocked(self, fingerprint: str) -> None:
        """Refuses a blocked request.

        Raises:
            errors.RefusalError: The request is blocked.
        """
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.blocked:
            raise errors.RefusalError(
                422,
                errors.RefusalCode.CRASHES_ENDPOINTS,
                "the request is blocked: endpoints crashed while running it",
                verdict.Verdict.MAY_HAVE_RUN,
            )

    def isolation_level(self, fingerprint: str) -> IsolationLevel:
        """Returns the isolation that the request needs."""
        suspect = self._find(fingerprint)
        return suspect.isolation_level if suspect else IsolationLevel.NONE

    @contextlib.contextmanager
    def isolate(
        self, info: request_info.RequestInfo, failed: frozenset[str]
    ) -> Iterator[None]:
        """Reserves an endpoint for a request that has to run alone.

        Does nothing if the request may share an endpoint.

        Raises:
            errors.RefusalError: Another suspect's isolated run of the same
                target did not end before the deadline.
        """
        if self.isolation_level(info.fingerprint) is not IsolationLevel.ALONE:
            yield
            return
        with self._reservations.hold(info, failed):
            yield

    @contextlib.contextmanager
    def running(
        self, fingerprint: str, state: registry.EndpointState
    ) -> Iterator[None]:
        """Records that a request runs at an endpoint, if it is a suspect."""
        self._runs.mark_shared(state.name)
        level = self.isolation_level(fingerprint)
        if level is IsolationLevel.NONE:
            yield
            return
        isolated_run = None
        if level is IsolationLevel.ALONE:
            isolated_run = suspect_runs.IsolatedRun(
                fingerprint, shared=self._occupancy(state) > 1
            )
        with self._runs.add(fingerprint, state.name, isolated_run):
            yield

    def must_avoid(self, info: request_info.RequestInfo, name: str) -> bool:
        """Returns whether a request must not be sent to an endpoint."""
        state = self._endpoints.find(name)
        if state is None:
            return True
        fingerprint = info.fingerprint
        level = self.isolation_level(fingerprint)
        if level is IsolationLevel.ALONE and self._occupancy(state) > 0:
            return True
        if self._reservations.is_for_other(fingerprint, name):
            return level > IsolationLevel.NONE or health.has_other_open(
                state, self._endpoints.serving(info.target), self._clock.now()
            )
        if level is IsolationLevel.NONE:
            return False
        return self._runs.has_other(
            fingerprint, name
        ) or self._peers.runs_suspect(name)

    def record_crash(
        self, fingerprint: str, state: registry.EndpointState
    ) -> None:
        """Records that an endpoint crashed while it ran a request."""
        suspect = self._find_or_add(fingerprint)
        run = self._runs.find_isolated(fingerprint, state.name)
        if run is not None and not self._was_alone(run, state):
            suspect.inconclusive_crashes += 1
        else:
            suspect.crashes.add(self._random.getrandbits(CRASH_ID_BITS))
            suspect.blocked = run is not None
        if len(suspect.crashes) + suspect.inconclusive_crashes >= MAX_CRASHES:
            suspect.blocked = True
        suspect.endpoint = state.name
        self._renew(suspect)
        self._on_change()

    def clear_suspect(self, fingerprint: str) -> None:
        """Clears a request whose response was complete."""
        self._suspects.pop(fingerprint, None)

    def recent_suspicions(self) -> tuple[messages.Suspicion, ...]:
        """Returns recent suspicions for the next hint, blocked ones first."""
        now_ms = self._clock.now()
        recent = [
            messages.Suspicion(
                fingerprint,
                tuple(sorted(suspect.crashes))[
                    : messages.MAX_CRASHES_PER_SUSPICION
                ],
                suspect.endpoint,
                suspect.blocked,
            )
            for fingerprint, suspect in reversed(self._suspects.items())
            if now_ms < suspect.hint_until_ms
        ]
        # A hint that cannot hold all contains the blocked requests first, since
        # the others may only have shared the endpoint with a blocked one.
        recent.sort(key=lambda s: (not s.blocked, -len(s.crashes)))
        return tuple(recent[: messages.MAX_SUSPICIONS])

    def suspect_endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints at which this VM runs suspects."""
        return self._runs.endpoints()

    def reserved_endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints that this VM reserves for suspects."""
        return self._reservations.endpoints()

    def merge(self, suspicions: tuple[messages.Suspicion, ...]) -> None:
        """Merges the suspicions from a peer's hint."""
        for suspicion in suspicions:
            suspect = self._find_or_add(suspicion.fingerprint)
            if not suspect.crashes.issuperset(suspicion.crashes):
                self._peer_crash_reported_ms[suspicion.endpoint] = (
                    self._clock.now()
                )
            suspect.crashes |= set(suspicion.crashes)
            suspect.blocked = suspect.blocked or suspicion.blocked
            suspect.expires_ms = self._clock.now() + EXPIRY_MS

    def _find(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._clock.now() >= suspect.expires_ms:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _find_or_add(self, fingerprint: str) -> _Suspect:
        suspect = self._find(fingerprint)
        if suspect is not None:
            return suspect
        suspect = _Suspect()
        self._suspects[fingerprint] = suspect
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _renew(self, suspect: _Suspect) -> None:
        now_ms = self._clock.now()
        suspect.expires_ms = now_ms + EXPIRY_MS
        suspect.hint_until_ms = now_ms + HINT_REPEAT_MS

    def _was_alone(
        self, run: suspect_runs.IsolatedRun, state: registry.EndpointState
    ) -> bool:
        """Returns whether the run alone can have crashed the endpoint.

        No other request of any VM was there, and the endpoint was up: it has
        sent a load report since a peer reported a crash there. Waits until the
        peers had time to report crashes of their own.
        """
        crashed_ms = self._clock.now()
        if run.shared or self._peers.in_flight(state.name):
            return False
        self._clock.sleep(PEER_CRASH_REPORT_MS)
        reported_ms = self._peer_crash_reported_ms.get(
            state.name, float("-inf")
        )
        return (
            reported_ms < crashed_ms - PEER_CRASH_REPORT_MS
            and reported_ms < state.reported_at_ms
        )
