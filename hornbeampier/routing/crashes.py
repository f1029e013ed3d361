"""Requests that crash the endpoints that run them.

Such a request comes again, at any VM. Each VM tells its peers which request
was running at an endpoint when that endpoint crashed; a request that was there
at several crashes is not sent any more.
"""

import dataclasses

from hornbeampier import clock as clocks

# Crashes of different endpoints after which a request is refused.
CRASH_LIMIT = 3
# How long a crash is remembered.
MEMORY_MS = 120_000.0
# How long peers are told of a crash.
TELL_MS = 5_000.0
MAX_TOLD = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A request ran at an endpoint when it crashed.

    Attributes:
        incarnation: Tells the processes of an endpoint apart.
    """

    fingerprint: str
    incarnation: str


class Crashes:
    """The crashes that all VMs saw of late."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._seen_ms: dict[Crash, float] = {}

    def record(self, crash: Crash) -> None:
        """Takes over a crash that this VM or a peer saw."""
        self._seen_ms.setdefault(crash, self._clock.now())

    def is_barred(self, fingerprint: str) -> bool:
        """Whether the request crashed too many endpoints."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def count(self, fingerprint: str) -> int:
        """Returns at how many crashes the request was running."""
        self._expire()
        return sum(c.fingerprint == fingerprint for c in self._seen_ms)

    def told(self) -> list[Crash]:
        """Returns the crashes that peers should hear of."""
        oldest = self._clock.now() - TELL_MS
        recent = [c for c, at_ms in self._seen_ms.items() if at_ms >= oldest]
        return recent[-MAX_TOLD:]

    def _expire(self) -> None:
        oldest = self._clock.now() - MEMORY_MS
        for crash in [c for c, at in self._seen_ms.items() if at < oldest]:
            del self._seen_ms[crash]
