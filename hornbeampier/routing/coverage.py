"""For how long this VM knows all software versions that have served."""

import math

from hornbeampier import clock as clocks

# A VM that did not check for longer was suspended, and may have missed versions
# that came and went.
MAX_GAP_MS = 2_000.0


class Coverage:
    """The time up to now in which no version can have gone unseen.

    It begins with this VM's own observation. What others have observed up to
    now extends it backwards.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._since_ms: float | None = None
        self._checked_ms = -math.inf

    def observe(self, follows: bool) -> None:
        """Records whether this VM follows the registrations at the moment.

        It has to be called at least every `MAX_GAP_MS`.
        """
        now_ms = self._clock.now()
        if not follows:
            self._since_ms = None
        elif self._since_ms is None or self._is_interrupted():
            self._since_ms = now_ms
        self._checked_ms = now_ms

    def begin(self, covered_ms: float) -> None:
        """Records that this VM has read all registrations of a time up to now.

        It follows the registrations from now on.
        """
        now_ms = self._clock.now()
        own_ms = self.length_ms()
        self._since_ms = now_ms - max(covered_ms, own_ms)
        self._checked_ms = now_ms

    def extend(self, covered_ms: float) -> None:
        """Adds what a peer has observed, if this VM follows from there on."""
        if self._since_ms is not None and not self._is_interrupted():
            since_ms = self._clock.now() - covered_ms
            self._since_ms = min(self._since_ms, since_ms)

    def limit(self, oldest_ms: float) -> None:
        """Records that versions which ended up to a time are forgotten."""
        if self._since_ms is not None:
            self._since_ms = max(self._since_ms, oldest_ms)

    def length_ms(self) -> float:
        """Returns the covered time up to now; infinite if it is all."""
        if self._since_ms is None or self._is_interrupted():
            return 0.0
        return self._clock.now() - self._since_ms

    def _is_interrupted(self) -> bool:
        return self._clock.now() - self._checked_ms > MAX_GAP_MS
