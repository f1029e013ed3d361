"""What this VM knows of other VMs with which it exchanges counts."""

from collections.abc import Iterable
import dataclasses

from hornbeampier.duties import usage_counts
from hornbeampier.peers import usage_messages

# Datagrams to one VM of which an acknowledgment is still awaited.
MAX_UNACKNOWLEDGED = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _SentDatagram:
    """Counts of which an acknowledgment is awaited.

    Attributes:
        revisions: The revision of each window.
    """

    sent_ms: float
    revisions: dict[int, int]


class Receiver:
    """A VM that gets this VM's counts.

    Attributes:
        known_names: Number of this process's names that the VM knows.
        sent: The revision of each window that was sent last.
        acknowledged: The revision of each window that was acknowledged.
        has_replied: Whether it has ever acknowledged anything.
    """

    def __init__(self):
        self.known_names = 0
        self.sent: dict[int, int] = {}
        self.acknowledged: dict[int, int] = {}
        self.has_replied = False
        self._unacknowledged: dict[int, _SentDatagram] = {}

    def select(
        self, rows: Iterable[usage_counts.WindowCounts]
    ) -> list[usage_counts.WindowCounts]:
        """Returns the windows to send: changed, or final and unacknowledged."""
        return [
            row
            for row in rows
            if row.revision
            > (self.acknowledged if row.is_final else self.sent).get(
                row.window, 0
            )
        ]

    def record_sent(
        self, sequence: int, revisions: dict[int, int], now_ms: float
    ) -> None:
        """Records that some windows were sent."""
        self.sent.update(revisions)
        self._unacknowledged[sequence] = _SentDatagram(now_ms, revisions)
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            del self._unacknowledged[next(iter(self._unacknowledged))]

    def record_ack(self, ack: usage_messages.Ack) -> float | None:
        """Records an acknowledgment; returns when its datagram was sent."""
        if ack.known_names < self.known_names:
            # The VM has restarted and has lost what it had acknowledged.
            self.acknowledged.clear()
            self.sent.clear()
        self.known_names = ack.known_names
        self.has_replied = True
        datagram = self._unacknowledged.pop(ack.sequence, None)
        if datagram is None:
            return None
        if ack.is_complete:
            for window, revision in datagram.revisions.items():
                known = self.acknowledged.get(window, 0)
                self.acknowledged[window] = max(known, revision)
        else:
            self.sent.clear()
        return datagram.sent_ms

    def expire(self, oldest: int) -> None:
        """Drops windows before `oldest`."""
        for revisions in (self.sent, self.acknowledged):
            for window in [w for w in revisions if w < oldest]:
                del revisions[window]


@dataclasses.dataclass(slots=True)
class KnownNames:
    """The names of accounts that a process has sent so far."""

    names: list[str]
    heard_ms: float


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A VM that holds the duty, or did so recently."""

    number: int
    heard_ms: float
