"""For how long this VM knows all software versions that have served."""

import math

from hornbeampier import clock as clocks

# A VM that did not follow the registrations for longer, for example while it
# was suspended, may have missed versions that came and went. It has to
# exceed the 1.5 s after which VMs that start among others read the store again.
MAX_GAP_MS = 3_000.0


class Coverage:
    """The time up to now in which no version can have gone unseen.

    It begins with this VM's own observation. What others have observed up to
    now extends it backwards.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._since_ms = math.inf
        self._followed_ms = -math.inf

    def observe(self) -> None:
        """Records that this VM follows the registrations at the moment."""
        now_ms = self._clock.now()
        if self._is_interrupted():
            self._since_ms = now_ms
        self._followed_ms = now_ms

    def begin(self, covered_ms: float) -> None:
        """Records that this VM has read all registrations of a time up to now.

        It follows the registrations from now on. `covered_ms` is infinite if it
        has read all that there ever were.
        """
        self.observe()
        self.extend(covered_ms)

    def extend(self, covered_ms: float) -> None:
        """Adds a time up to now that a peer, or the store's log, covers.

        It counts only if this VM follows the registrations from there on.
        """
        if not self._is_interrupted():
            since_ms = self._clock.now() - covered_ms
            self._since_ms = min(self._since_ms, since_ms)

    def limit(self, oldest_ms: float) -> None:
        """Records that versions that ended by a time are forgotten.

        The time is on the monotonic clock.
        """
        self._since_ms = max(self._since_ms, oldest_ms)

    def length_ms(self) -> float:
        """Returns the covered time up to now; infinite if it covers all."""
        if self._is_interrupted():
            return 0.0
        return self._clock.now() - self._since_ms

    @property
    def is_current(self) -> bool:
        """Whether this VM follows the registrations, so that it can learn."""
        return not self._is_interrupted()

    def _is_interrupted(self) -> bool:
        return self._clock.now() - self._followed_ms > MAX_GAP_MS
