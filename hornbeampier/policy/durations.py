"""Expected durations of requests by class and client account."""

DEFAULT_MS = 1_000.0
EWMA_WEIGHT = 0.1


class Durations:
    """Exponentially weighted moving averages (EWMA) of request durations.

    A duration is the time at an endpoint, without the wait in the queue.
    """

    def __init__(self):
        self._by_class: dict[str, float] = {}
        self._by_account: dict[tuple[str, str], float] = {}
        self._first_token: dict[str, float] = {}

    def record(self, class_name: str, account: str, duration_ms: float) -> None:
        """Records the duration of a finished request."""
        _update(self._by_class, class_name, duration_ms)
        _update(self._by_account, (class_name, account), duration_ms)

    def record_first_token(self, class_name: str, duration_ms: float) -> None:
        """Records the time from dispatch to the first token."""
        _update(self._first_token, class_name, duration_ms)

    def expected_duration_ms(self, class_name: str, account: str) -> float:
        """Returns the expected duration of a request."""
        expected_ms = self._by_account.get((class_name, account))
        if expected_ms is None:
            expected_ms = self._by_class.get(class_name, DEFAULT_MS)
        return expected_ms

    def expected_first_token_ms(self, class_name: str) -> float:
        """Returns the expected time from dispatch to the first token."""
        return self._first_token.get(class_name, 0.0)


def _update(means: dict, key, value: float) -> None:
    previous = means.get(key)
    means[key] = (
        value
        if previous is None
        else previous + EWMA_WEIGHT * (value - previous)
    )
