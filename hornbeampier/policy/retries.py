"""The budget that keeps retries from adding to an overload."""

BUDGET_RATIO = 0.1
MIN_TOKENS = 10.0


class RetryBudget:
    """Allows retries up to a share of the first attempts."""

    def __init__(self, ratio: float = BUDGET_RATIO):
        self._ratio = ratio
        self._tokens = MIN_TOKENS
        self._max_tokens = MIN_TOKENS

    def record_request(self) -> None:
        """Earns a part of a retry for each first attempt."""
        limit = max(self._max_tokens, MIN_TOKENS)
        self._tokens = min(limit, self._tokens + self._ratio)

    def take(self) -> bool:
        """Returns whether a retry may be made, and spends it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
