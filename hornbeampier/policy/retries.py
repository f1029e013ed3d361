"""The retry budget, which keeps retries from amplifying an overload."""

BUDGET_RATIO = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts (token bucket)."""

    def __init__(self, ratio: float = BUDGET_RATIO):
        self._ratio = ratio
        self._balance = MAX_BALANCE

    def record_request(self) -> None:
        """Records a first attempt, which adds a fraction of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + self._ratio)

    def take(self) -> bool:
        """Spends one retry; returns False if the budget is too low."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
