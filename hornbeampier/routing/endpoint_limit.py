"""The limit that an endpoint names, and what this VM may send within it."""

from collections.abc import Callable
import dataclasses
import random

from hornbeampier import clock as clocks
from hornbeampier import token_bucket

# An endpoint that accepts less still gets a request from time to time, or
# nobody would learn that its limit has ended.
MIN_LIMIT_PER_S = 0.05
# A VM may save up its share of this time.
BURST_MS = 1_000.0
SHARE_REFRESH_MS = 250.0
# A VM without a share that did not hear of the limit for this time asks the
# endpoint itself. The time is drawn at random, so that the first VM that asks
# can tell the others.
MIN_CONFIRM_MS = 30_000.0
MAX_CONFIRM_MS = 90_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitObservation:
    """Whether an endpoint named a limit at some time.

    Attributes:
        limit_per_s: Requests per second from all VMs together, or None if the
            response named no limit.
        known_ms: When the response that named it arrived. If it named none,
            when the request was sent: responses may overtake each other.
    """

    limit_per_s: float | None
    known_ms: float


class EndpointLimit:
    """The limit of one process of an endpoint.

    Attributes:
        observation: The newest observation.
    """

    def __init__(
        self,
        observation: LimitObservation,
        share_per_s: Callable[[float], float],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._share_per_s = share_per_s
        self._clock = clock
        self._rng = rng
        self.observation = observation
        self._share = 0.0
        self._bucket = token_bucket.TokenBucket(0.0, 1.0, clock)
        self._confirm_ms = 0.0
        self._refresh()
        self._delay_confirmation()

    @property
    def is_named(self) -> bool:
        """Whether the endpoint names a limit."""
        return self.observation.limit_per_s is not None

    def observe(self, observation: LimitObservation) -> bool:
        """Records an observation; returns whether the limit changed by it."""
        if observation.known_ms <= self.observation.known_ms:
            return False
        previous, self.observation = self.observation, observation
        self._delay_confirmation()
        if observation.limit_per_s == previous.limit_per_s:
            return False
        self._refresh()
        return True

    def take(self) -> None:
        """Accounts for a request that is sent; `opens_in_ms` must be 0."""
        self._bucket.try_take()
        self._delay_confirmation()

    def opens_in_ms(self) -> float:
        """Returns the time until this VM may send a request."""
        if not self.is_named:
            return 0.0
        self._refresh_if_due()
        if self._share:
            return self._bucket.ms_until_token()
        return max(0.0, self._confirm_ms - self._clock.now())

    def _refresh_if_due(self) -> None:
        if self._clock.now() - self._refreshed_ms >= SHARE_REFRESH_MS:
            self._refresh()

    def _refresh(self) -> None:
        """Computes the share anew, as members may have come or gone."""
        self._refreshed_ms = self._clock.now()
        if not self.is_named:
            return
        limit_per_s = max(MIN_LIMIT_PER_S, self.observation.limit_per_s)
        self._share = self._share_per_s(limit_per_s)
        burst = self._share * BURST_MS / clocks.MS_PER_SECOND
        self._bucket.resize(self._share, max(1.0, burst))

    def _delay_confirmation(self) -> None:
        self._confirm_ms = self._clock.now() + self._rng.uniform(
            MIN_CONFIRM_MS, MAX_CONFIRM_MS
        )
