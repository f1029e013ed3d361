"""Endpoints that this VM keeps free for requests that have to run alone."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from gevent import lock

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier.endpoints import registry
from hornbeampier.policy import health

RETRY_AFTER_MS = 1_000.0


class Reservations:
    """Reserves at most one endpoint of each target, for one request."""

    def __init__(
        self,
        clk: clock.Clock,
        endpoints: registry.Registry,
        is_reserved_by_peer: Callable[[str], bool],
        occupancy: Callable[[registry.EndpointState], int],
        on_change: Callable[[], None],
    ):
        self._clock = clk
        self._endpoints = endpoints
        self._is_reserved_by_peer = is_reserved_by_peer
        self._occupancy = occupancy
        self._on_change = on_change
        # Fingerprints of the requests by the name of their endpoint.
        self._owners: dict[str, str] = {}
        self._locks: dict[str, lock.Semaphore] = {}

    @contextlib.contextmanager
    def hold(
        self, info: request_info.RequestInfo, failed: frozenset[str]
    ) -> Iterator[None]:
        """Reserves an endpoint, one request of a target at a time.

        Args:
            info: The request.
            failed: Endpoints that are not reserved.

        Raises:
            errors.RefusalError: Another request of the same target did not end
                before the deadline.
        """
        target_lock = self._locks.setdefault(info.target, lock.Semaphore())
        remaining_ms = max(0.0, info.deadline_ms - self._clock.now())
        if not target_lock.acquire(timeout=remaining_ms / clock.MS_PER_SECOND):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.WAIT_TIMEOUT,
                "no endpoint became free before the request's deadline",
                retry_after_ms=RETRY_AFTER_MS,
            )
        try:
            self._reserve(info, failed)
            yield
        finally:
            self._release(info.fingerprint)
            target_lock.release()
            self._on_change()

    def is_for_other(self, fingerprint: str, name: str) -> bool:
        """Returns whether an endpoint is reserved for another request."""
        owner = self._owners.get(name)
        if owner is not None:
            return owner != fingerprint
        return self._is_reserved_by_peer(name)

    def endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints that this VM reserves."""
        return tuple(self._owners)

    def _reserve(
        self, info: request_info.RequestInfo, failed: frozenset[str]
    ) -> None:
        """Reserves the least occupied endpoint, but never the last open one."""
        now_ms = self._clock.now()
        serving = self._endpoints.serving(info.target)
        states = [
            s
            for s in serving
            if health.is_open(s, now_ms) and s.name not in failed
        ]
        if not states or not health.has_other_open(states[0], serving, now_ms):
            return
        unreserved = [
            s for s in states if not self._is_reserved_by_peer(s.name)
        ]
        chosen = min(unreserved or states, key=self._occupancy)
        self._owners[chosen.name] = info.fingerprint
        self._on_change()

    def _release(self, fingerprint: str) -> None:
        for name, owner in list(self._owners.items()):
            if owner == fingerprint:
                del self._owners[name]
