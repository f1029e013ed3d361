"""Timeouts for the events of an engine, derived from the request."""

from hornbeampier import request_info
from hornbeampier.endpoints import engine

MIN_FIRST_TOKEN_MS = 2_000.0
MAX_FIRST_TOKEN_MS = 10_000.0
# Fraction of the time to the deadline; the rest is kept for an attempt at
# another endpoint.
FIRST_TOKEN_FRACTION = 0.5
# Multiple of the class's `between_tokens_ms`; without that target, fraction of
# its `complete_ms`.
BETWEEN_TOKENS_FACTOR = 100.0
COMPLETE_FRACTION = 0.25
MIN_BETWEEN_TOKENS_MS = 2_000.0
MAX_BETWEEN_TOKENS_MS = 30_000.0
# How long an interrupted response may wait for another endpoint.
RESUME_WAIT_MS = 10_000.0


def derive(info: request_info.RequestInfo, now_ms: float) -> engine.Timeouts:
    """Returns the timeouts of an attempt that starts now."""
    remaining_ms = info.deadline_ms - now_ms
    return engine.Timeouts(
        _clamp(
            remaining_ms * FIRST_TOKEN_FRACTION,
            MIN_FIRST_TOKEN_MS,
            MAX_FIRST_TOKEN_MS,
        ),
        _between_tokens_ms(info),
    )


def _between_tokens_ms(info: request_info.RequestInfo) -> float:
    request_class = info.request_class
    limit_ms = MAX_BETWEEN_TOKENS_MS
    if request_class.between_tokens_ms is not None:
        limit_ms = request_class.between_tokens_ms * BETWEEN_TOKENS_FACTOR
    elif request_class.complete_ms is not None:
        limit_ms = request_class.complete_ms * COMPLETE_FRACTION
    return _clamp(limit_ms, MIN_BETWEEN_TOKENS_MS, MAX_BETWEEN_TOKENS_MS)


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(value, high))
