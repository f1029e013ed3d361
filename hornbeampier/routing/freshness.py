"""Whether this VM knows what any VM knew when a request arrived.

A stream that a caller takes up began at an endpoint whose entry its VM had
read. Only a read of the store that begins after the request has arrived is sure
to have that entry: this VM, and each peer that replies, may be some seconds
behind without knowing it.
"""

from typing import Protocol

from gevent import event

from hornbeampier import clock as clocks
from hornbeampier.routing import domain


class Confirmation:
    """The outcome of reads that begin after this object was requested.

    Attributes:
        is_confirmed: Whether the reads have ended, and this VM knows all that
            the store had as they began.
    """

    def __init__(self, timeout_ms: float):
        self._timeout_ms = timeout_ms
        self._done = event.Event()
        self.is_confirmed = False

    def finish(self, is_confirmed: bool) -> None:
        """Records the outcome."""
        self.is_confirmed = is_confirmed
        self._done.set()

    def wait(self) -> bool:
        """Waits for the outcome; returns False if it takes too long."""
        self._done.wait(self._timeout_ms / clocks.MS_PER_SECOND)
        return self.is_confirmed


class Freshness(Protocol):
    """Confirms that this VM knows what the store has."""

    def is_current(self, route: domain.Route) -> bool:
        """Whether the present configuration has a route as it is."""
        ...

    def request(self) -> Confirmation:
        """Returns the outcome of reads that have not begun yet."""
        ...


class SingleVm:
    """Confirms at once: no other VM can have begun a stream."""

    def is_current(self, route: domain.Route) -> bool:
        """Returns true, as this VM is the only one that follows routes."""
        del route
        return True

    def request(self) -> Confirmation:
        """Returns a confirmation."""
        confirmation = Confirmation(0.0)
        confirmation.finish(True)
        return confirmation
