"""The time for which an endpoint wants no requests from this VM."""

import random

from hornbeampier import clock as clocks

# Each VM adds up to this fraction of the wait, so that they do not all return
# at the same moment.
MAX_SPREAD_FRACTION = 0.2
# After the wait one request is sent. Others follow once it has a response, or
# after this time.
TRIAL_MS = 1_000.0


class EndpointWait:
    """The wait that one process of an endpoint asked for."""

    def __init__(self, clock: clocks.Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._end_ms = clock.now()
        self._trial_end_ms = clock.now()
        self._is_over = True

    def extend(self, wait_ms: float) -> None:
        """Records that it wants no requests for `wait_ms` from now on."""
        wait_ms *= 1.0 + self._rng.uniform(0.0, MAX_SPREAD_FRACTION)
        self._end_ms = max(self._end_ms, self._clock.now() + wait_ms)
        self._trial_end_ms = self._end_ms
        self._is_over = False

    def record_response(self, sent_ms: float) -> None:
        """Records a response that asks for no wait to a request sent then."""
        if sent_ms >= self._end_ms:
            self._is_over = True

    def opens_in_ms(self) -> float:
        """Returns the time until this VM may send a request."""
        if self._is_over:
            return 0.0
        return max(0.0, self._trial_end_ms - self._clock.now())

    def take(self) -> None:
        """Accounts for a request that is sent; `opens_in_ms` must be 0."""
        if not self._is_over:
            self._trial_end_ms = self._clock.now() + TRIAL_MS
