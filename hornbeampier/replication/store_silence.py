"""Notices that no entry has come from the store for unusually long.

A call that waits at a store that is away may look like one that waits for the
next record. Endpoints write their entries all the time, so their silence shows
it sooner, also on VMs that do not read the store themselves.
"""

from hornbeampier import clock as clocks
from hornbeampier.replication import positions
from hornbeampier.replication import replica

# Heartbeat intervals without an entry after which the store counts as silent.
SILENT_HEARTBEATS = 1.5


class StoreSilence:
    """Watches how this VM's replica of the endpoints advances."""

    def __init__(
        self,
        endpoint_replica: replica.TopicReplica,
        heartbeat_ms: float,
        clock: clocks.Clock,
    ):
        self._replica = endpoint_replica
        self._max_gap_ms = SILENT_HEARTBEATS * heartbeat_ms
        self._clock = clock
        self._position: positions.Position | None = None
        self._advanced_ms = clock.now()

    def is_silent(self) -> bool:
        """Whether nothing has come for long; to be asked periodically."""
        now_ms = self._clock.now()
        if self._replica.position != self._position:
            self._position = self._replica.position
            self._advanced_ms = now_ms
        return now_ms - self._advanced_ms > self._max_gap_ms
