"""The places for connections of one listener."""

from hornbeampier import memory_budget

# Connections that may be open beside those that have a place: one that has lost
# its place takes a moment to end.
ENDING_CONNECTIONS = 32


class Places:
    """The connections of one listener.

    Once all places are taken, a new connection gets that of the one which has
    been without a complete request for longest.
    """

    def __init__(
        self, budget: memory_budget.MemoryBudget, max_connections: int
    ):
        self._budget = budget
        self._max_connections = max_connections
        self._holders: set[memory_budget.Holder] = set()

    def take(self) -> memory_budget.Holder:
        """Returns the holder of a new connection.

        Raises:
            memory_budget.ReclaimedError: There is no memory for it.
        """
        if len(self._holders) >= self._max_connections:
            self._budget.reclaim_place(self._holders)
        holder = self._budget.open()
        self._holders.add(holder)
        return holder

    def leave(self, holder: memory_budget.Holder) -> None:
        """Frees the place and the memory of a connection that has ended."""
        self._holders.discard(holder)
        holder.close()
