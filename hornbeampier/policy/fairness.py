"""Weighted fair queueing between client accounts."""

import collections
from collections.abc import Iterator

from hornbeampier.policy import tickets


class FairQueue:
    """Waiting requests in the order of start-time fair queueing.

    An account's virtual time advances by the cost of its dispatched requests
    divided by its weight; the account with the lowest virtual time goes
    first. An account that was idle starts at the queue's virtual time, so
    that it gains nothing from having been idle.
    """

    def __init__(self):
        self._waiting: dict[str, collections.deque[tickets.Ticket]] = {}
        self._virtual_ms: dict[str, float] = {}
        self._virtual_now_ms = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[tickets.Ticket]:
        for waiting in self._waiting.values():
            yield from waiting

    def push(self, ticket: tickets.Ticket) -> None:
        """Adds a request at the end of its account's queue."""
        name = ticket.info.account.name
        if name not in self._waiting:
            self._waiting[name] = collections.deque()
            previous_ms = self._virtual_ms.get(name, 0.0)
            self._virtual_ms[name] = max(previous_ms, self._virtual_now_ms)
        self._waiting[name].append(ticket)
        self._count += 1

    def remove(self, ticket: tickets.Ticket) -> bool:
        """Removes a request; returns whether it was waiting."""
        name = ticket.info.account.name
        waiting = self._waiting.get(name)
        if waiting is None or ticket not in waiting:
            return False
        waiting.remove(ticket)
        if not waiting:
            del self._waiting[name]
        self._count -= 1
        return True

    def head(self) -> tickets.Ticket | None:
        """Returns the next request in fair order, or None."""
        if not self._waiting:
            return None
        name = min(self._waiting, key=lambda n: (self._virtual_ms[n], n))
        return self._waiting[name][0]

    def heads(self) -> list[tickets.Ticket]:
        """Returns the oldest request of each account."""
        return [waiting[0] for waiting in self._waiting.values()]

    def charge(self, ticket: tickets.Ticket) -> None:
        """Advances the account's virtual time by a dispatched request."""
        account = ticket.info.account
        start_ms = max(
            self._virtual_ms.get(account.name, 0.0), self._virtual_now_ms
        )
        self._virtual_now_ms = start_ms
        self._virtual_ms[account.name] = (
            start_ms + ticket.cost_ms / account.weight
        )

    def cost_ms(self) -> float:
        """Returns the total cost of the waiting requests."""
        return sum(ticket.cost_ms for ticket in self)

    def cost_ahead_ms(self, account: str, weight: float) -> float:
        """Returns the cost of the waiting requests that precede a new one.

        All requests of the same account precede it. Those of another account
        precede it until both accounts have the same cost per weight.
        """
        costs: dict[str, float] = {}
        weights: dict[str, float] = {}
        for name, waiting in self._waiting.items():
            costs[name] = sum(t.cost_ms for t in waiting)
            weights[name] = waiting[0].info.account.weight
        own_ms = costs.pop(account, 0.0)
        cost_per_weight_ms = own_ms / weight
        others_ms = sum(
            min(cost, cost_per_weight_ms * weights[name])
            for name, cost in costs.items()
        )
        return own_ms + others_ms
