"""The retry budget, which keeps retries from amplifying an overload."""

BUDGET_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts (token bucket)."""

    def __init__(self, ratio: float = BUDGET_RATIO):
        self._ratio = ratio
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Adds the budget that a first attempt earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spends one retry; returns False if the budget is too low."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
