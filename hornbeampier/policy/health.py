"""Outlier ejection: endpoints that fail or are far slower than the others."""

from collections.abc import Sequence
import statistics

from hornbeampier.endpoints import registry

BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
# Ejection of the last open endpoint of a target, which nothing can replace.
LAST_EJECTION_MS = 200.0
GAP_GAIN = 0.2
# An endpoint is a straggler if its token gap exceeds the median of the other
# endpoints by this factor.
STRAGGLER_FACTOR = 4.0
STRAGGLER_EJECTION_MS = 10_000.0
MAX_STRAGGLER_SHARE = 1 / 3
MIN_GAP_SAMPLES = 20
STRAGGLER_CHECK_TOKENS = 32


def is_leaving(state: registry.EndpointState) -> bool:
    """Returns whether an endpoint is marked as leaving or reports it."""
    return state.leaving or bool(state.report and state.report.leaving)


def is_open(state: registry.EndpointState, now_ms: float) -> bool:
    """Returns whether an endpoint is neither leaving nor ejected."""
    return not is_leaving(state) and now_ms >= state.ejected_until_ms


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
    others = [s for s in states if s is not state and is_open(s, now_ms)]
    if states and not others:
        state.ejected_until_ms = now_ms + LAST_EJECTION_MS
        return True
    duration_ms = min(
        BASE_EJECTION_MS * 2.0 ** min(state.failures - 1, 10), MAX_EJECTION_MS
    )
    state.ejected_until_ms = now_ms + duration_ms
    return True


def record_refusal(
    state: registry.EndpointState,
    now_ms: float,
    states: Sequence[registry.EndpointState],
) -> None:
    """Ejects an endpoint briefly, since it refuses all new work."""
    others = [s for s in states if s is not state and is_open(s, now_ms)]
    duration_ms = BASE_EJECTION_MS if others else LAST_EJECTION_MS
    state.ejected_until_ms = max(state.ejected_until_ms, now_ms + duration_ms)


def withdraw_failure(state: registry.EndpointState) -> None:
    """Undoes a failure and its ejection: only the connection was lost."""
    state.failures = max(0, state.failures - 1)
    state.ejected_until_ms = 0.0


def record_success(state: registry.EndpointState) -> None:
    """Resets the count of consecutive failures."""
    state.failures = 0


def record_gap(state: registry.EndpointState, gap_ms: float) -> None:
    """Records a measured time between two tokens."""
    state.gap_samples += 1
    if state.token_gap_ms == 0:
        state.token_gap_ms = gap_ms
        return
    state.token_gap_ms += GAP_GAIN * (gap_ms - state.token_gap_ms)


def eject_straggler(
    state: registry.EndpointState,
    now_ms: float,
    states: Sequence[registry.EndpointState],
) -> bool:
    """Ejects an endpoint whose token gap is far above that of the others.

    Once the ejection ends, the endpoint is on trial: it gets one request at a
    time until `MIN_GAP_SAMPLES` new gaps are measured. No endpoint is ejected
    if more than `MAX_STRAGGLER_SHARE` of the target's would be closed then.

    Returns:
        Whether the endpoint was ejected.
    """
    gaps = [
        s.token_gap_ms
        for s in states
        if s is not state and s.gap_samples >= MIN_GAP_SAMPLES
    ]
    if state.gap_samples < MIN_GAP_SAMPLES:
        return False
    if not gaps or state.token_gap_ms <= STRAGGLER_FACTOR * statistics.median(
        gaps
    ):
        state.on_trial = False
        return False
    out = sum(not is_open(s, now_ms) for s in states)
    if not is_open(state, now_ms) or out + 1 > len(states) * (
        MAX_STRAGGLER_SHARE
    ):
        return False
    state.ejected_until_ms = now_ms + STRAGGLER_EJECTION_MS
    state.on_trial = True
    state.gap_samples = 0
    state.token_gap_ms = 0.0
    return True


def is_check_due(state: registry.EndpointState) -> bool:
    """Returns whether enough gaps were added to call `eject_straggler`."""
    return state.gap_samples % STRAGGLER_CHECK_TOKENS == 0


def may_try(state: registry.EndpointState, top: bool, now_ms: float) -> bool:
    """Returns whether an endpoint on trial may get a request.

    Lower tiers have `STRAGGLER_EJECTION_MS` to test it before the highest
    tier may be sent there.
    """
    if state.in_flight:
        return False
    return not top or now_ms >= state.ejected_until_ms + STRAGGLER_EJECTION_MS


def median_gap_ms(states: Sequence[registry.EndpointState]) -> float:
    """Returns the median token gap of the endpoints, or 0 if none is known."""
    gaps = [s.token_gap_ms for s in states if s.token_gap_ms > 0]
    return statistics.median(gaps) if gaps else 0.0
