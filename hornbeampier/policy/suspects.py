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

from gevent import lock

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier import verdict
from hornbeampier.endpoints import registry
from hornbeampier.policy import health
from hornbeampier.vms import messages

# Bounds the endpoints that one request can crash, whatever ran beside it.
MAX_CRASHES = 6
# Crashes after which a request runs alone.
CRASHES_BEFORE_TRIAL = 2
EXPIRY_MS = 600_000.0
# A suspicion is repeated in the hints for this long after its last crash.
TELL_MS = 3_000.0
# Peers have this long after a crash to report that they ran a request at the
# endpoint, too. Longer than their probe of the endpoint may take.
CONFIRM_MS = 700.0
MAX_RECORDS = 1_024
CRASH_ID_BITS = 32
RETRY_AFTER_MS = 1_000.0


class Level(enum.IntEnum):
    """The isolation that a request needs.

    Attributes:
        NONE: It is no suspect.
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
class _Record:
    """What is known about one suspect.

    Attributes:
        crashes: IDs of the crashes under it, from all VMs.
        inconclusive: Crashes in isolated runs that another request joined.
        endpoint: Where it crashed last.
        blocked: Whether it is refused from now on.
        expires_ms: When the suspicion ends.
        tell_until_ms: Until when hints repeat the suspicion.
    """

    crashes: set[int] = dataclasses.field(default_factory=set)
    inconclusive: int = 0
    endpoint: str = ""
    blocked: bool = False
    expires_ms: float = 0.0
    tell_until_ms: float = 0.0

    @property
    def level(self) -> Level:
        if len(self.crashes) >= CRASHES_BEFORE_TRIAL:
            return Level.ALONE
        return Level.APART if self.crashes else Level.NONE


@dataclasses.dataclass
class _Trial:
    """An isolated run.

    Attributes:
        fingerprint: The suspect's.
        shared: Whether another request was at the endpoint all the same.
    """

    fingerprint: str
    shared: bool


class Suspects:
    """Records crashes by request and decides where suspects may run."""

    def __init__(
        self,
        clk: clock.Clock,
        rng: random.Random,
        endpoints: registry.Registry,
        peers: PeerSuspects,
        occupancy: Callable[[registry.EndpointState], int],
        announce: Callable[[], None],
    ):
        self._clock = clk
        self._random = rng
        self._endpoints = endpoints
        self._peers = peers
        self._occupancy = occupancy
        self._announce = announce
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._running: dict[str, list[str]] = {}
        self._reserved: dict[str, str] = {}
        self._turns: dict[str, lock.Semaphore] = {}
        self._trials: dict[str, _Trial] = {}
        self._peer_crashes_ms: dict[str, float] = {}

    def check(self, fingerprint: str) -> None:
        """Refuses a blocked request.

        Raises:
            errors.RefusalError: The request is blocked.
        """
        record = self._find(fingerprint)
        if record is not None and record.blocked:
            raise errors.RefusalError(
                422,
                errors.RefusalCode.CRASHES_ENDPOINTS,
                "endpoints crash when they run this request",
                verdict.Verdict.MAY_HAVE_RUN,
            )

    def level(self, fingerprint: str) -> Level:
        """Returns the isolation that the request needs."""
        record = self._find(fingerprint)
        return record.level if record else Level.NONE

    @contextlib.contextmanager
    def trial(
        self, info: request_info.RequestInfo, failed: frozenset[str]
    ) -> Iterator[None]:
        """Reserves an endpoint for a request that has to run alone.

        Does nothing for requests of other levels.

        Raises:
            errors.RefusalError: Another suspect's isolated run of the same
                target did not end before the deadline.
        """
        if self.level(info.fingerprint) is not Level.ALONE:
            yield
            return
        turn = self._turns.setdefault(info.target, lock.Semaphore())
        remaining_ms = max(0.0, info.deadline_ms - self._clock.now())
        if not turn.acquire(timeout=remaining_ms / clock.MS_PER_SECOND):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.WAIT_TIMEOUT,
                "no endpoint became free in time",
                retry_after_ms=RETRY_AFTER_MS,
            )
        try:
            self._reserve(info, failed)
            yield
        finally:
            self._release(info.fingerprint)
            turn.release()
            self._announce()

    @contextlib.contextmanager
    def running(
        self, fingerprint: str, state: registry.EndpointState
    ) -> Iterator[None]:
        """Records that a request runs at an endpoint, if it is a suspect."""
        self._mark_shared(state.name)
        level = self.level(fingerprint)
        if level is Level.NONE:
            yield
            return
        if level is Level.ALONE:
            shared = self._occupancy(state) > 1
            self._trials[state.name] = _Trial(fingerprint, shared)
        fingerprints = self._running.setdefault(state.name, [])
        fingerprints.append(fingerprint)
        self._announce()
        try:
            yield
        finally:
            fingerprints.remove(fingerprint)
            if not fingerprints:
                self._running.pop(state.name, None)
            self._announce()
            if level is Level.ALONE:
                self._trials.pop(state.name, None)

    def bars(self, info: request_info.RequestInfo, name: str) -> bool:
        """Returns whether a request must not be sent to an endpoint."""
        state = self._endpoints.find(name)
        if state is None:
            return True
        own = info.fingerprint
        level = self.level(own)
        if level is Level.ALONE and self._occupancy(state) > 0:
            return True
        if self._is_kept_for_other(own, name):
            return level > Level.NONE or self._has_other(info.target, state)
        if level is Level.NONE:
            return False
        others = [f for f in self._running.get(name, ()) if f != own]
        return bool(others) or self._peers.runs_suspect(name)

    def record_crash(
        self, fingerprint: str, state: registry.EndpointState
    ) -> None:
        """Records that an endpoint crashed while it ran a request."""
        record = self._find(fingerprint) or self._add(fingerprint)
        trial = self._trials.get(state.name)
        on_trial = trial is not None and trial.fingerprint == fingerprint
        if on_trial and not self._was_alone(trial, state):
            record.inconclusive += 1
        else:
            record.crashes.add(self._random.getrandbits(CRASH_ID_BITS))
            record.blocked = on_trial
        if len(record.crashes) + record.inconclusive >= MAX_CRASHES:
            record.blocked = True
        record.endpoint = state.name
        self._touch(record)
        self._announce()

    def record_whole(self, fingerprint: str) -> None:
        """Clears a request that was answered completely."""
        self._records.pop(fingerprint, None)

    def recent_suspicions(self) -> tuple[messages.Suspicion, ...]:
        """Returns recent suspicions for the next hint, blocked ones first."""
        now_ms = self._clock.now()
        recent = [
            messages.Suspicion(
                fingerprint,
                tuple(sorted(r.crashes))[: messages.MAX_CRASHES_PER_SUSPICION],
                r.endpoint,
                r.blocked,
            )
            for fingerprint, r in reversed(self._records.items())
            if now_ms < r.tell_until_ms
        ]
        # If not all fit, blocked requests matter more than bystanders.
        recent.sort(key=lambda s: (not s.blocked, -len(s.crashes)))
        return tuple(recent[: messages.MAX_SUSPICIONS])

    def suspect_endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints at which this VM runs suspects."""
        return tuple(self._running)

    def reserved_endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints that this VM reserves for suspects."""
        return tuple(self._reserved)

    def merge(self, suspicions: tuple[messages.Suspicion, ...]) -> None:
        """Merges the suspicions from a peer's hint."""
        for told in suspicions:
            record = self._find(told.fingerprint)
            if record is None:
                record = self._add(told.fingerprint)
            if not record.crashes.issuperset(told.crashes):
                self._peer_crashes_ms[told.endpoint] = self._clock.now()
            record.crashes |= set(told.crashes)
            record.blocked = record.blocked or told.blocked
            record.expires_ms = self._clock.now() + EXPIRY_MS

    def _find(self, fingerprint: str) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and self._clock.now() >= record.expires_ms:
            del self._records[fingerprint]
            return None
        return record

    def _add(self, fingerprint: str) -> _Record:
        record = _Record()
        self._records[fingerprint] = record
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return record

    def _touch(self, record: _Record) -> None:
        now_ms = self._clock.now()
        record.expires_ms = now_ms + EXPIRY_MS
        record.tell_until_ms = now_ms + TELL_MS

    def _reserve(
        self, info: request_info.RequestInfo, failed: frozenset[str]
    ) -> None:
        """Reserves the least occupied endpoint, but never the last open one."""
        now_ms = self._clock.now()
        states = [
            s
            for s in self._endpoints.serving(info.target)
            if health.is_open(s, now_ms) and s.name not in failed
        ]
        if not states or not self._has_other(info.target, states[0]):
            return
        free = [s for s in states if not self._peers.is_reserved(s.name)]
        chosen = min(free or states, key=self._occupancy)
        self._reserved[chosen.name] = info.fingerprint
        self._announce()

    def _release(self, fingerprint: str) -> None:
        for name, owner in list(self._reserved.items()):
            if owner == fingerprint:
                del self._reserved[name]

    def _is_kept_for_other(self, fingerprint: str, name: str) -> bool:
        owner = self._reserved.get(name)
        if owner is not None:
            return owner != fingerprint
        return self._peers.is_reserved(name)

    def _has_other(self, target: str, state: registry.EndpointState) -> bool:
        now_ms = self._clock.now()
        return any(
            health.is_open(s, now_ms)
            for s in self._endpoints.serving(target)
            if s is not state
        )

    def _mark_shared(self, name: str) -> None:
        trial = self._trials.get(name)
        if trial is not None:
            trial.shared = True

    def _was_alone(self, trial: _Trial, state: registry.EndpointState) -> bool:
        """Returns whether no other request of any VM was at the endpoint.

        Waits until the peers had time to report crashes of their own there.
        """
        crashed_ms = self._clock.now()
        if trial.shared or self._peers.in_flight(state.name):
            return False
        self._clock.sleep(CONFIRM_MS)
        told_ms = self._peer_crashes_ms.get(state.name, float("-inf"))
        return told_ms < crashed_ms - CONFIRM_MS
