"""The budget that keeps retries from adding to an overload."""

BUDGET_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Allows retries up to a share of the first attempts."""

    def __init__(self, ratio: float = BUDGET_RATIO):
        self._ratio = ratio
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Earns a part of a retry for each first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def take(self) -> bool:
        """Returns whether a retry may be made, and spends it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
