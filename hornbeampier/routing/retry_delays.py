"""When refused callers are told to come back."""

import random

MIN_DELAY_MS = 100.0
# Callers that are refused together are spread over up to this multiple of the
# time until they would be accepted.
SPREAD = 2.0
# Maximum delay, as a fraction of the request's remaining time. Callers honor it
# up to a third of that time.
MAX_FRACTION = 0.3


def spread(
    accepted_in_ms: float, remaining_ms: float, rng: random.Random
) -> float:
    """Returns the delay after which a refused caller should retry, in ms.

    Args:
        accepted_in_ms: Time until its request would be accepted.
        remaining_ms: Time until its deadline.
        rng: Source of the spread.
    """
    delay_ms = max(MIN_DELAY_MS, accepted_in_ms) * rng.uniform(1.0, SPREAD)
    return max(0.0, min(delay_ms, MAX_FRACTION * remaining_ms))
