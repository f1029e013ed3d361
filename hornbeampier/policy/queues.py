"""The queue of one target: tiers, guaranteed shares and fair accounts."""

import collections
from collections.abc import Iterator
import dataclasses

from gevent import event

from hornbeampier import models
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema


@dataclasses.dataclass(frozen=True)
class PassedOver:
    """An endpoint that was not chosen, and why."""

    endpoint: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Grant:
    """Leave to send one request to one endpoint."""

    endpoint: registry.EndpointState
    passed_over: tuple[PassedOver, ...]
    wait_ms: float


@dataclasses.dataclass(eq=False)
class Ticket:
    """A request that waits for an endpoint.

    Attributes:
        cost_ms: Expected time at an endpoint.
        excluded: Names of endpoints that it must not use.
        result: Receives the grant.
    """

    demand: models.Demand
    enqueued_ms: float
    cost_ms: float
    excluded: frozenset[str] = frozenset()
    result: event.AsyncResult = dataclasses.field(
        default_factory=event.AsyncResult
    )


class ClassQueue:
    """The waiting requests of one class, fair between client accounts.

    Start-time fair queueing: an account's virtual time advances by the cost
    of its dispatched requests divided by its weight; the account with the
    lowest virtual time goes first.
    """

    def __init__(self, request_class: schema.RequestClass):
        self.request_class = request_class
        self.credit_ms = 0.0
        self._waiting: dict[str, collections.deque[Ticket]] = {}
        self._virtual_ms: dict[str, float] = {}
        self._floor_ms = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, ticket: Ticket) -> None:
        """Adds a request at the end of its account's queue."""
        name = ticket.demand.account.name
        if name not in self._waiting:
            self._waiting[name] = collections.deque()
            known = self._virtual_ms.get(name, 0.0)
            self._virtual_ms[name] = max(known, self._floor_ms)
        self._waiting[name].append(ticket)
        self._count += 1

    def remove(self, ticket: Ticket) -> bool:
        """Takes a request out; returns whether it was waiting."""
        name = ticket.demand.account.name
        waiting = self._waiting.get(name)
        if waiting is None or ticket not in waiting:
            return False
        waiting.remove(ticket)
        if not waiting:
            del self._waiting[name]
        self._count -= 1
        return True

    def head(self) -> Ticket | None:
        """Returns the request that is next in fair order."""
        if not self._waiting:
            return None
        name = min(self._waiting, key=lambda n: (self._virtual_ms[n], n))
        return self._waiting[name][0]

    def charge(self, ticket: Ticket) -> None:
        """Advances the account's virtual time by a dispatched request."""
        account = ticket.demand.account
        start_ms = max(self._virtual_ms.get(account.name, 0.0), self._floor_ms)
        self._floor_ms = start_ms
        self._virtual_ms[account.name] = (
            start_ms + ticket.cost_ms / account.weight
        )

    def waiting_cost_ms(self) -> float:
        """Returns the expected endpoint time of all waiting requests."""
        return sum(t.cost_ms for q in self._waiting.values() for t in q)


class TargetQueue:
    """The waiting requests for one target, by class.

    Classes go by tier. Each dispatch adds `min_share` of its cost to the
    credit of every waiting class; a class whose credit covers its next
    request goes before the others, so that no class starves.
    """

    def __init__(self):
        self._classes: dict[str, ClassQueue] = {}

    def __len__(self) -> int:
        return sum(len(q) for q in self._classes.values())

    def push(self, ticket: Ticket) -> None:
        """Adds a request to the queue of its class."""
        request_class = ticket.demand.request_class
        queue = self._classes.get(request_class.name)
        if queue is None:
            queue = ClassQueue(request_class)
            self._classes[request_class.name] = queue
        queue.request_class = request_class
        queue.push(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Takes a request out; returns whether it was waiting."""
        queue = self._classes.get(ticket.demand.request_class.name)
        return queue is not None and queue.remove(ticket)

    def candidates(self) -> Iterator[Ticket]:
        """Yields the next request of each class in order of dispatch."""
        waiting = [q for q in self._classes.values() if len(q)]
        waiting.sort(key=lambda q: (not _entitled(q), q.request_class.tier))
        for queue in waiting:
            head = queue.head()
            if head is not None:
                yield head

    def is_entitled(self, ticket: Ticket) -> bool:
        """Returns whether the request's class may use its guaranteed share."""
        queue = self._classes.get(ticket.demand.request_class.name)
        return queue is not None and _entitled(queue)

    def dispatch(self, ticket: Ticket) -> None:
        """Removes a request that was granted an endpoint."""
        self.remove(ticket)
        own = self._classes[ticket.demand.request_class.name]
        own.charge(ticket)
        own.credit_ms = max(0.0, own.credit_ms - ticket.cost_ms)
        for queue in self._classes.values():
            if len(queue) and queue is not own:
                share = queue.request_class.min_share
                queue.credit_ms += ticket.cost_ms * share

    def cost_ahead_ms(self, tier: int) -> float:
        """Returns the waiting cost of all classes that go before `tier`."""
        return sum(
            q.waiting_cost_ms()
            for q in self._classes.values()
            if q.request_class.tier <= tier
        )

    def counts(self) -> dict[str, int]:
        """Returns the number of waiting requests of each class."""
        return {name: len(q) for name, q in self._classes.items()}


def _entitled(queue: ClassQueue) -> bool:
    head = queue.head()
    return head is not None and 0 < head.cost_ms <= queue.credit_ms
