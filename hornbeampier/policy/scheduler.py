"""Grants endpoints to waiting requests."""

from collections.abc import Container

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import models
from hornbeampier import verdict
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import capacity
from hornbeampier.policy import choice
from hornbeampier.policy import durations
from hornbeampier.policy import preemption
from hornbeampier.policy import queues
from hornbeampier.policy import tickets

MIN_RETRY_AFTER_MS = 1_000.0
# Part of a class's time to the first token after which it may preempt.
PREEMPT_SHARE = 0.25
PREEMPT_INTERVAL_MS = 50.0


class Scheduler(application.TaskComponent):
    """Queues requests by target and grants them endpoints."""

    def __init__(
        self,
        endpoints: registry.Registry,
        chooser: choice.EndpointChooser,
        peers: choice.PeerLoads,
        clock: clocks.Clock,
    ):
        super().__init__()
        self._endpoints = endpoints
        self._chooser = chooser
        self._clock = clock
        self._queues: dict[str, queues.TargetQueue] = {}
        self._top_tier = 1
        self._running = preemption.RunningRequests()
        self.durations = durations.Durations()
        self._capacity = capacity.Capacity(chooser, peers, clock)

    def apply(self, cfg: schema.Configuration) -> None:
        """Takes the tiers of a new configuration into use."""
        self._top_tier = min(c.tier for c in cfg.classes)
        self.pump()

    def acquire(
        self, demand: models.Demand, excluded: Container[str] = frozenset()
    ) -> tickets.Grant:
        """Waits until the request may be sent to an endpoint.

        Raises:
            errors.RefusalError: The request is given up; it was not sent.
            errors.ShutdownError: The VM stops; this wait sent nothing.
        """
        ticket = self._enqueue(demand, excluded)
        self.pump()
        try:
            remaining_ms = demand.deadline_ms - self._clock.now()
            ticket.result.wait(max(0.0, remaining_ms) / clocks.MS_PER_SECOND)
        except errors.ShutdownError as exc:
            self._abandon(ticket)
            exc.verdict = verdict.Verdict.NOT_RUN
            raise
        except BaseException:
            self._abandon(ticket)
            raise
        if ticket.result.ready():
            return ticket.result.get()
        self._abandon(ticket)
        raise errors.RefusalError(
            503,
            errors.RefusalCode.WAIT_TIMEOUT,
            "no endpoint became free in time",
            retry_after_ms=self._retry_after_ms(demand),
        )

    def release(self, grant: tickets.Grant) -> None:
        """Ends a grant and lets the next request in."""
        self._running.discard(grant)
        grant.endpoint.in_flight -= 1
        self.pump()

    def pump(self) -> None:
        """Grants endpoints to as many waiting requests as fit.

        Targets may share endpoints, so ranks go in order over all of them.
        """
        now_ms = self._clock.now()
        ranks = {r for q in self._queues.values() for r in q.ranks(now_ms)}
        for rank in sorted(ranks):
            for target in list(self._queues):
                self._pump_target(target, rank)

    def run(self) -> None:
        """Makes room for requests that have waited long, until killed."""
        while True:
            self._clock.sleep(PREEMPT_INTERVAL_MS)
            self.preempt()

    def preempt(self) -> None:
        """Preempts a lower-tier request for each one that waited long."""
        now_ms = self._clock.now()
        for target, queue in self._queues.items():
            overdue = queue.overdue(now_ms)
            for ticket in overdue[self._running.pending(target) :]:
                tier = ticket.demand.request_class.tier
                if not self._running.preempt(target, tier):
                    break

    def counts(self) -> dict[str, int]:
        """Returns the number of waiting requests of each class."""
        totals: dict[str, int] = {}
        for queue in self._queues.values():
            for name, count in queue.counts().items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def _enqueue(
        self, demand: models.Demand, excluded: Container[str]
    ) -> tickets.Ticket:
        if not self._endpoints.serving(demand.target):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.NO_ENDPOINT,
                "no endpoint serves this",
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        now_ms = self._clock.now()
        cost_ms = self.durations.expect_ms(
            demand.request_class.name, demand.account.name
        )
        if not demand.retried and not demand.preemptions:
            self._admit(demand)
        ticket = tickets.Ticket(
            demand,
            now_ms,
            cost_ms,
            self._latest_start_ms(demand, cost_ms),
            _preempt_ms(demand),
            excluded,
        )
        queue = self._queues.setdefault(demand.target, queues.TargetQueue())
        queue.push(ticket)
        return ticket

    def _latest_start_ms(self, demand: models.Demand, cost_ms: float) -> float:
        """Returns when the request must start to meet its class's target."""
        wanted = demand.request_class
        latest_ms = float("inf")
        if wanted.first_token_ms is not None:
            ahead_ms = self.durations.expect_first_token_ms(wanted.name)
            latest_ms = demand.arrival_ms + wanted.first_token_ms - ahead_ms
        if wanted.complete_ms is not None:
            end_ms = demand.arrival_ms + wanted.complete_ms
            latest_ms = min(latest_ms, end_ms - cost_ms)
        return latest_ms

    def _admit(self, demand: models.Demand) -> None:
        """Refuses a request that would wait past its deadline."""
        wait_ms = self._predict_wait_ms(demand)
        if self._clock.now() + wait_ms <= demand.deadline_ms:
            return
        raise errors.RefusalError(
            429,
            errors.RefusalCode.OVERLOADED,
            "the queue of this class is too long",
            retry_after_ms=self._retry_after_ms(demand),
        )

    def _predict_wait_ms(self, demand: models.Demand) -> float:
        queue = self._queues.get(demand.target)
        if queue is None:
            return 0.0
        return self._capacity.predict_wait_ms(
            self._endpoints.serving(demand.target),
            queue.cost_ahead_ms(demand.request_class, demand.account),
        )

    def _retry_after_ms(self, demand: models.Demand) -> float:
        return max(MIN_RETRY_AFTER_MS, self._predict_wait_ms(demand))

    def _pump_target(self, target: str, rank: int) -> None:
        queue = self._queues.get(target)
        if queue is None or not len(queue):
            return
        states = self._endpoints.serving(target)
        while self._grant_one(queue, states, rank):
            pass

    def _grant_one(
        self,
        queue: queues.TargetQueue,
        states: list[registry.EndpointState],
        rank: int,
    ) -> bool:
        """Grants an endpoint to the first request up to `rank` that fits."""
        now_ms = self._clock.now()
        for ticket in queue.candidates(now_ms):
            if queue.rank(ticket, now_ms) > rank:
                continue
            if not self._may_take_slot(queue, ticket, states, now_ms):
                continue
            top = ticket.demand.request_class.tier == self._top_tier
            chosen = self._chooser.choose(states, top, ticket.excluded, now_ms)
            if chosen.endpoint is None:
                continue
            queue.dispatch(ticket)
            self._share_credit(queue, ticket, chosen.endpoint)
            self._grant(ticket, chosen, now_ms)
            return True
        return False

    def _share_credit(
        self,
        queue: queues.TargetQueue,
        ticket: tickets.Ticket,
        state: registry.EndpointState,
    ) -> None:
        """Adds credit for the other targets that the endpoint serves."""
        if ticket.demand.retried:
            return
        for target, other in self._queues.items():
            if other is not queue and state.serves(target):
                other.earn(ticket.cost_ms)

    def _grant(
        self, ticket: tickets.Ticket, chosen: choice.Choice, now_ms: float
    ) -> None:
        state = chosen.endpoint
        demand = ticket.demand
        if self._chooser.occupancy(state, now_ms) >= state.cfg.slots:
            tier = demand.request_class.tier
            self._running.preempt(demand.target, tier, state.name)
        state.in_flight += 1
        wait_ms = now_ms - ticket.enqueued_ms
        grant = tickets.Grant(demand, state, chosen.passed_over, wait_ms)
        self._running.add(grant)
        ticket.result.set(grant)

    def _may_take_slot(
        self,
        queue: queues.TargetQueue,
        ticket: tickets.Ticket,
        states: list[registry.EndpointState],
        now_ms: float,
    ) -> bool:
        tier = ticket.demand.request_class.tier
        if tier == self._top_tier or queue.is_entitled(ticket, now_ms):
            return True
        return self._capacity.leaves_room(states, tier)

    def _abandon(self, ticket: tickets.Ticket) -> None:
        """Takes back a ticket whose caller no longer waits for it."""
        queue = self._queues[ticket.demand.target]
        if not queue.remove(ticket) and ticket.result.ready():
            self.release(ticket.result.get())


def _preempt_ms(demand: models.Demand) -> float:
    """Returns from when on a waiting request may preempt lower tiers."""
    target_ms = demand.request_class.first_token_ms
    if target_ms is None:
        return float("inf")
    return demand.arrival_ms + target_ms * PREEMPT_SHARE
