"""The queue of one target: tiers and guaranteed shares of classes."""

import collections
from collections.abc import Iterator
import dataclasses

from hornbeampier.operators import schema
from hornbeampier.policy import fairness
from hornbeampier.policy import tickets


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A request that may be dispatched next.

    Attributes:
        entitled: Whether the credit of its class's guaranteed share covers
            its cost.
    """

    ticket: tickets.Ticket
    entitled: bool

    @property
    def rank(self) -> tuple[bool, int, bool]:
        """The sort key of the dispatch order, also across targets."""
        info = self.ticket.info
        return not self.entitled, info.request_class.tier, not info.retried


class ClassQueue:
    """The waiting requests of one class.

    Preempted requests go first, since their responses have begun. Requests that
    can still meet the class's latency targets go before those that cannot, so
    that under overload some are served in time rather than none.
    """

    def __init__(self, request_class: schema.RequestClass):
        self.request_class = request_class
        self.credit_ms = 0.0
        self._preempted: list[tickets.Ticket] = []
        self._on_time = fairness.FairQueue()
        self._late = fairness.FairQueue()

    def __len__(self) -> int:
        return len(self._preempted) + len(self._on_time) + len(self._late)

    def push(self, ticket: tickets.Ticket) -> None:
        """Adds a request."""
        if ticket.info.preemptions:
            self._preempted.append(ticket)
            return
        self._on_time.push(ticket)

    def remove(self, ticket: tickets.Ticket) -> bool:
        """Removes a request; returns whether it was waiting."""
        if ticket in self._preempted:
            self._preempted.remove(ticket)
            return True
        return self._on_time.remove(ticket) or self._late.remove(ticket)

    def head(self, now_ms: float) -> tickets.Ticket | None:
        """Returns the next request, or None."""
        if self._preempted:
            return self._preempted[0]
        self._demote(now_ms)
        return self._on_time.head() or self._late.head()

    def not_started(self) -> Iterator[tickets.Ticket]:
        """Yields the requests whose responses have not begun."""
        yield from self._on_time
        yield from self._late

    def charge(self, ticket: tickets.Ticket) -> None:
        """Charges a dispatched request to its account."""
        self._on_time.charge(ticket)
        self._late.charge(ticket)

    def cost_ms(self) -> float:
        """Returns the total cost of the waiting requests."""
        preempted_ms = sum(ticket.cost_ms for ticket in self._preempted)
        return preempted_ms + self._on_time.cost_ms() + self._late.cost_ms()

    def cost_ahead_ms(self, account: schema.ClientAccount) -> float:
        """Returns the cost of the on-time requests that precede a new one."""
        return self._on_time.cost_ahead_ms(account.name, account.weight)

    def _demote(self, now_ms: float) -> None:
        """Moves requests to `_late` that can no longer meet their targets."""
        late = [t for t in self._on_time.heads() if t.latest_start_ms < now_ms]
        while late:
            for ticket in late:
                self._on_time.remove(ticket)
                self._late.push(ticket)
            late = [
                t for t in self._on_time.heads() if t.latest_start_ms < now_ms
            ]


class TargetQueue:
    """The waiting requests for one target, by class.

    Classes are served in order of tier. Each dispatch adds `min_share` of its
    cost to the credit of every other class that has waiting requests; a class
    whose credit covers its next request goes before the others, so that no
    class starves.
    """

    def __init__(self):
        self._classes: dict[str, ClassQueue] = {}
        self._retried: list[tickets.Ticket] = []

    def __len__(self) -> int:
        waiting = sum(len(q) for q in self._classes.values())
        return waiting + len(self._retried)

    def push(self, ticket: tickets.Ticket) -> None:
        """Adds a request to the queue of its class."""
        if ticket.info.retried:
            self._retried.append(ticket)
            return
        request_class = ticket.info.request_class
        queue = self._classes.get(request_class.name)
        if queue is None:
            queue = ClassQueue(request_class)
            self._classes[request_class.name] = queue
        queue.request_class = request_class
        queue.push(ticket)

    def remove(self, ticket: tickets.Ticket) -> bool:
        """Removes a request; returns whether it was waiting."""
        if ticket in self._retried:
            self._retried.remove(ticket)
            return True
        queue = self._classes.get(ticket.info.request_class.name)
        return queue is not None and queue.remove(ticket)

    def candidates(self, now_ms: float) -> list[Candidate]:
        """Returns the next request of each class and all retried requests."""
        candidates = [
            Candidate(ticket, entitled=False) for ticket in self._retried
        ]
        for queue in self._classes.values():
            head = queue.head(now_ms)
            if head is not None:
                entitled = 0 < head.cost_ms <= queue.credit_ms
                candidates.append(Candidate(head, entitled))
        return candidates

    def dispatch(self, ticket: tickets.Ticket) -> None:
        """Removes a request that was granted an endpoint and charges it."""
        self.remove(ticket)
        if ticket.info.retried:
            # Its account was charged for the first attempt.
            return
        served = self._classes[ticket.info.request_class.name]
        served.charge(ticket)
        served.credit_ms = max(0.0, served.credit_ms - ticket.cost_ms)
        self.add_credit(ticket.cost_ms, served)

    def add_credit(
        self, cost_ms: float, served: ClassQueue | None = None
    ) -> None:
        """Adds credit to all classes with waiting requests except `served`."""
        for queue in self._classes.values():
            if len(queue) and queue is not served:
                queue.credit_ms += cost_ms * queue.request_class.min_share

    def cost_ahead_ms(
        self, request_class: schema.RequestClass, account: schema.ClientAccount
    ) -> float:
        """Returns the cost of the waiting requests that precede a new one.

        Retried requests, and preempted ones of the same class, are not counted.
        """
        ahead_ms = 0.0
        for name, queue in self._classes.items():
            if name == request_class.name:
                ahead_ms += queue.cost_ahead_ms(account)
            elif queue.request_class.tier <= request_class.tier:
                ahead_ms += queue.cost_ms()
        return ahead_ms

    def overdue(self, now_ms: float) -> list[tickets.Ticket]:
        """Returns the requests that have waited long enough to preempt."""
        return [
            ticket
            for queue in self._classes.values()
            for ticket in queue.not_started()
            if ticket.preempt_from_ms <= now_ms
        ]

    def tier_counts(self) -> dict[int, int]:
        """Returns the number of waiting requests by tier, without zeros."""
        tiers = [t.info.request_class.tier for t in self._retried]
        for queue in self._classes.values():
            tiers += [queue.request_class.tier] * len(queue)
        return dict(collections.Counter(tiers))

    def waiting_by_class(self) -> dict[str, int]:
        """Returns the number of waiting requests by class."""
        counts = {name: len(q) for name, q in self._classes.items()}
        for ticket in self._retried:
            name = ticket.info.request_class.name
            counts[name] = counts.get(name, 0) + 1
        return counts
