"""Requests that crash the endpoints that run them.

Callers retry such a request, possibly through another VM. Each VM therefore
gossips which request was running on an endpoint when it crashed. A request that
was running during several crashes is refused.
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

    def record(self, crash: Crash) -> None:
        """Records a crash; one that is already known keeps its time."""
        self._seen_ms.setdefault(crash, self._clock.now())

    def is_blocked(self, fingerprint: str) -> bool:
        """Whether the request has reached the limit of crashes."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes at which the request was running."""
        self._expire()
        return sum(c.fingerprint == fingerprint for c in self._seen_ms)

    def to_gossip(self) -> list[Crash]:
        """Returns the recent crashes, which are to be gossiped."""
        oldest_ms = self._clock.now() - GOSSIP_MS
        recent = [
            c for c, seen_ms in self._seen_ms.items() if seen_ms >= oldest_ms
        ]
        return recent[-MAX_GOSSIPED:]

    def _expire(self) -> None:
        oldest_ms = self._clock.now() - RETENTION_MS
        for crash in [
            c for c, seen_ms in self._seen_ms.items() if seen_ms < oldest_ms
        ]:
            del self._seen_ms[crash]
