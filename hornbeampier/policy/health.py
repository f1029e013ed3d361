"""Ejection of endpoints that fail."""

from hornbeampier.endpoints import registry

BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
GAP_GAIN = 0.2


def record_failure(state: registry.EndpointState, now_ms: float) -> None:
    """Ejects an endpoint, longer after each failure in a row."""
    state.failures += 1
    duration_ms = BASE_EJECTION_MS * 2 ** (state.failures - 1)
    state.ejected_until_ms = now_ms + min(duration_ms, MAX_EJECTION_MS)


def record_success(state: registry.EndpointState) -> None:
    """Forgets earlier failures."""
    state.failures = 0


def record_gap(state: registry.EndpointState, gap_ms: float) -> None:
    """Adds a measured time between two tokens."""
    if state.token_gap_ms == 0:
        state.token_gap_ms = gap_ms
        return
    state.token_gap_ms += GAP_GAIN * (gap_ms - state.token_gap_ms)
