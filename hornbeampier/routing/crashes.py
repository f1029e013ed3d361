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
EXPIRY_INTERVAL_MS = 1_000.0
# A crash is gossiped for this time.
GOSSIP_MS = 2_500.0
# Peers hear that a request was cleared only if it had at least this number of
# crashes: one alone blocks nothing.
MIN_GOSSIPED_CLEARED = 2
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
        self._by_fingerprint: dict[str, set[Crash]] = {}
        # When crashes were found not to be the fault of their request, and
        # those of them that peers are to hear of.
        self._cleared_ms: dict[Crash, float] = {}
        self._cleared_news_ms: dict[Crash, float] = {}
        self._expired_ms = clock.now()

    def record(self, crash: Crash) -> None:
        """Records a crash; one that is already known keeps its time."""
        if crash in self._cleared_ms or crash in self._seen_ms:
            return
        self._seen_ms[crash] = self._clock.now()
        self._by_fingerprint.setdefault(crash.fingerprint, set()).add(crash)

    def record_success(self, fingerprint: str) -> None:
        """Records that a request with this fingerprint was served."""
        crashes = self._by_fingerprint.pop(fingerprint, None)
        if crashes is None:
            return
        is_news = len(crashes) >= MIN_GOSSIPED_CLEARED
        for crash in crashes:
            if is_news:
                self.clear(crash)
            else:
                self._forget(crash)

    def clear(self, crash: Crash) -> None:
        """Records that a crash was not the fault of its request.

        Peers hear of it.
        """
        self._forget(crash)
        self._cleared_news_ms.setdefault(crash, self._clock.now())

    def is_blocked(self, fingerprint: str) -> bool:
        """Whether the request has reached the limit of crashes."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes at which the request was running."""
        self._expire()
        return len(self._by_fingerprint.get(fingerprint, ()))

    def to_gossip(self) -> list[Crash]:
        """Returns the recent crashes, which are to be gossiped."""
        return self._recent(self._seen_ms)

    def cleared_to_gossip(self) -> list[Crash]:
        """Returns the crashes that were cleared recently."""
        return self._recent(self._cleared_news_ms)

    def _recent(self, times_ms: dict[Crash, float]) -> list[Crash]:
        oldest_ms = self._clock.now() - GOSSIP_MS
        recent = [c for c, at_ms in times_ms.items() if at_ms >= oldest_ms]
        return recent[-MAX_GOSSIPED:]

    def _forget(self, crash: Crash) -> None:
        self._seen_ms.pop(crash, None)
        self._cleared_ms.setdefault(crash, self._clock.now())
        crashes = self._by_fingerprint.get(crash.fingerprint)
        if crashes is not None:
            crashes.discard(crash)

    def _expire(self) -> None:
        now_ms = self._clock.now()
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        for times_ms in (
            self._seen_ms,
            self._cleared_ms,
            self._cleared_news_ms,
        ):
            oldest_ms = now_ms - RETENTION_MS
            for crash in [c for c, ms in times_ms.items() if ms < oldest_ms]:
                del times_ms[crash]
        self._by_fingerprint = {}
        for crash in self._seen_ms:
            self._by_fingerprint.setdefault(crash.fingerprint, set()).add(crash)
