"""Outlier ejection: endpoints that fail or are far slower than the others."""

from collections.abc import Iterable
from collections.abc import Sequence
import statistics

from hornbeampier.endpoints import registry

BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
# Ejection of the last open endpoint of a target. It is short, since no other
# endpoint can take the requests meanwhile.
LAST_EJECTION_MS = 200.0
INTER_TOKEN_EWMA_WEIGHT = 0.2
# An endpoint is a straggler if its time between tokens is more than this
# multiple of the other endpoints' median.
STRAGGLER_FACTOR = 4.0
STRAGGLER_EJECTION_MS = 10_000.0
MAX_CLOSED_FRACTION = 1 / 3
MIN_INTER_TOKEN_SAMPLES = 20
STRAGGLER_CHECK_TOKENS = 32


def is_leaving(state: registry.EndpointState) -> bool:
    """Returns whether an endpoint is marked as leaving or reports it."""
    return state.leaving or bool(state.report and state.report.leaving)


def is_open(state: registry.EndpointState, now_ms: float) -> bool:
    """Returns whether an endpoint is neither leaving nor ejected."""
    return not is_leaving(state) and now_ms >= state.ejected_until_ms


def has_other_open(
    state: registry.EndpointState,
    states: Iterable[registry.EndpointState],
    now_ms: float,
) -> bool:
    """Returns whether any of `states` but `state` is open."""
    return any(is_open(s, now_ms) for s in states if s is not state)


def record_failure(
    state: registry.EndpointState,
    now_ms: float,
    states: Sequence[registry.EndpointState] = (),
) -> bool:
    """Ejects an endpoint, with exponential backoff over consecutive failures.

    Args:
        state: The endpoint that failed.
        now_ms: Monotonic time.
        states: All endpoints of the same target.

    Returns:
        Whether this failure ejected it; False if it was ejected already.
    """
    if now_ms < state.ejected_until_ms:
        # Requests that were lost together count as one failure.
        return False
    state.failures += 1
    if states and not has_other_open(state, states, now_ms):
        state.ejected_until_ms = now_ms + LAST_EJECTION_MS
        return True
    duration_ms = min(
        BASE_EJECTION_MS * 2.0 ** min(state.failures - 1, 10), MAX_EJECTION_MS
    )
    state.ejected_until_ms = now_ms + duration_ms
    return True


def record_decline(
    state: registry.EndpointState,
    now_ms: float,
    states: Sequence[registry.EndpointState],
) -> None:
    """Ejects an endpoint briefly, since it declines all new requests."""
    has_other = has_other_open(state, states, now_ms)
    duration_ms = BASE_EJECTION_MS if has_other else LAST_EJECTION_MS
    state.ejected_until_ms = max(state.ejected_until_ms, now_ms + duration_ms)


def undo_failure(state: registry.EndpointState) -> None:
    """Undoes a failure and its ejection: only the connection failed."""
    state.failures = max(0, state.failures - 1)
    state.ejected_until_ms = 0.0


def record_success(state: registry.EndpointState) -> None:
    """Resets the count of consecutive failures."""
    state.failures = 0


def record_inter_token(
    state: registry.EndpointState, inter_token_ms: float
) -> None:
    """Records a measured time between two tokens."""
    state.inter_token_samples += 1
    if state.inter_token_ms == 0:
        state.inter_token_ms = inter_token_ms
        return
    state.inter_token_ms += INTER_TOKEN_EWMA_WEIGHT * (
        inter_token_ms - state.inter_token_ms
    )


def eject_straggler(
    state: registry.EndpointState,
    now_ms: float,
    states: Sequence[registry.EndpointState],
) -> bool:
    """Ejects an endpoint whose tokens are far slower than those of the others.

    Once the ejection ends, the endpoint is on trial: it gets one request at a
    time until a check with at least `MIN_INTER_TOKEN_SAMPLES` new samples no
    longer finds it too slow. No endpoint is ejected if more than
    `MAX_CLOSED_FRACTION` of the target's endpoints would then be closed, that
    is ejected or leaving.

    Returns:
        Whether the endpoint was ejected.
    """
    inter_token_times_ms = [
        s.inter_token_ms
        for s in states
        if s is not state and s.inter_token_samples >= MIN_INTER_TOKEN_SAMPLES
    ]
    if state.inter_token_samples < MIN_INTER_TOKEN_SAMPLES:
        return False
    if (
        not inter_token_times_ms
        or state.inter_token_ms
        <= STRAGGLER_FACTOR * statistics.median(inter_token_times_ms)
    ):
        state.on_trial = False
        return False
    closed = sum(not is_open(s, now_ms) for s in states)
    if not is_open(state, now_ms) or closed + 1 > len(states) * (
        MAX_CLOSED_FRACTION
    ):
        return False
    state.ejected_until_ms = now_ms + STRAGGLER_EJECTION_MS
    state.on_trial = True
    state.inter_token_samples = 0
    state.inter_token_ms = 0.0
    return True


def is_straggler_check_due(state: registry.EndpointState) -> bool:
    """Returns whether to call `eject_straggler` after the latest sample.

    It is called once every `STRAGGLER_CHECK_TOKENS` samples.
    """
    return state.inter_token_samples % STRAGGLER_CHECK_TOKENS == 0


def allows_trial_request(
    state: registry.EndpointState, is_top_tier: bool, now_ms: float
) -> bool:
    """Returns whether an endpoint on trial may get a request.

    It gets one request of this VM at a time. For `STRAGGLER_EJECTION_MS` after
    the end of the ejection, it gets none of the highest tier, so that lower
    tiers test it.
    """
    if state.in_flight:
        return False
    return (
        not is_top_tier
        or now_ms >= state.ejected_until_ms + STRAGGLER_EJECTION_MS
    )


def median_inter_token_ms(states: Sequence[registry.EndpointState]) -> float:
    """Returns the median time between tokens, or 0 if none is known."""
    inter_token_times_ms = [
        s.inter_token_ms for s in states if s.inter_token_ms > 0
    ]
    return (
        statistics.median(inter_token_times_ms) if inter_token_times_ms else 0.0
    )
