"""Requests that crash the endpoints that run them.

Callers retry such a request, possibly through another VM. Each VM therefore
gossips which request was running on an endpoint when it crashed. A request that
was running during several crashes is refused.

Callers may also send equal requests that harm nobody, such as a status page's.
Once one of them has a complete response, the crashes before are not its fault.
"""

import dataclasses

from hornbeampier import clock as clocks

# Number of crashed endpoint processes after which a request is refused.
CRASH_LIMIT = 3
# A crash is forgotten after this time.
RETENTION_MS = 120_000.0
# A crash is gossiped for this time.
GOSSIP_MS = 5_000.0
# Maximum number of crashes that are gossiped at once.
MAX_GOSSIPED = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A request was running on an endpoint when the endpoint crashed.

    Attributes:
        fingerprint: Digest of the request, equal for its retries.
        incarnation: Identifies the endpoint and its process.
    """

    fingerprint: str
    incarnation: str


class CrashHistory:
    """Recent crashes, seen by this VM or by a peer."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._seen_ms: dict[Crash, float] = {}
        # When crashes were found not to be the fault of their request.
        self._cleared_ms: dict[Crash, float] = {}

    def record(self, crash: Crash) -> None:
        """Records a crash; one that is already known keeps its time."""
        if crash not in self._cleared_ms:
            self._seen_ms.setdefault(crash, self._clock.now())

    def record_success(self, fingerprint: str) -> None:
        """Records that a request with this fingerprint was served."""
        for crash in [c for c in self._seen_ms if c.fingerprint == fingerprint]:
            self.clear(crash)

    def clear(self, crash: Crash) -> None:
        """Records that a crash was not the fault of its request."""
        if crash in self._cleared_ms:
            return
        self._seen_ms.pop(crash, None)
        self._cleared_ms[crash] = self._clock.now()

    def is_blocked(self, fingerprint: str) -> bool:
        """Whether the request has reached the limit of crashes."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes at which the request was running."""
        self._expire()
        return sum(c.fingerprint == fingerprint for c in self._seen_ms)

    def to_gossip(self) -> list[Crash]:
        """Returns the recent crashes, which are to be gossiped."""
        return self._recent(self._seen_ms)

    def cleared_to_gossip(self) -> list[Crash]:
        """Returns the crashes that were cleared recently."""
        return self._recent(self._cleared_ms)

    def _recent(self, times_ms: dict[Crash, float]) -> list[Crash]:
        oldest_ms = self._clock.now() - GOSSIP_MS
        recent = [c for c, at_ms in times_ms.items() if at_ms >= oldest_ms]
        return recent[-MAX_GOSSIPED:]

    def _expire(self) -> None:
        oldest_ms = self._clock.now() - RETENTION_MS
        for times_ms in (self._seen_ms, self._cleared_ms):
            for crash in [
                c for c, at_ms in times_ms.items() if at_ms < oldest_ms
            ]:
                del times_ms[crash]
