"""Grants endpoints to waiting requests."""

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import models
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import durations
from hornbeampier.policy import queues

MIN_RETRY_AFTER_MS = 1_000.0
# Weight of the newest dispatch in the estimated drain rate.
RATE_GAIN = 0.1


class DrainRate:
    """Endpoint time granted in each ms, as an exponential mean."""

    def __init__(self):
        self._rate = 0.0
        self._last_ms: float | None = None

    def record(self, cost_ms: float, now_ms: float) -> None:
        """Adds a dispatched request."""
        if self._last_ms is not None:
            gap_ms = max(1.0, now_ms - self._last_ms)
            self._rate += RATE_GAIN * (cost_ms / gap_ms - self._rate)
        self._last_ms = now_ms

    def wait_ms(self, cost_ms: float) -> float:
        """Returns how long `cost_ms` of waiting work takes to drain."""
        if self._rate <= 0:
            return 0.0
        return cost_ms / self._rate


class Scheduler:
    """Queues requests by target and grants them endpoints."""

    def __init__(
        self,
        endpoints: registry.Registry,
        chooser: choice.EndpointChooser,
        clock: clock.Clock,
    ):
        self._endpoints = endpoints
        self._chooser = chooser
        self._clock = clock
        self._queues: dict[str, queues.TargetQueue] = {}
        self._rates: dict[str, DrainRate] = {}
        self._ranks: dict[str, int] = {}
        self.durations = durations.Durations()

    def apply(self, cfg: schema.Configuration) -> None:
        """Takes the tiers of a new configuration into use."""
        tiers = sorted({c.tier for c in cfg.classes})
        self._ranks = {c.name: tiers.index(c.tier) for c in cfg.classes}
        self.pump()

    def acquire(
        self, demand: models.Demand, excluded: frozenset[str] = frozenset()
    ) -> queues.Grant:
        """Waits until the request may be sent to an endpoint.

        Raises:
            errors.RefusalError: The request is given up; it was not sent.
        """
        ticket = self._enqueue(demand, excluded)
        self._pump_target(demand.target)
        try:
            remaining_ms = demand.deadline_ms - self._clock.now()
            ticket.result.wait(max(0.0, remaining_ms) / clock.MS_PER_SECOND)
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

    def release(self, grant: queues.Grant) -> None:
        """Ends a grant and lets the next request in."""
        grant.endpoint.in_flight -= 1
        self.pump()

    def pump(self) -> None:
        """Grants endpoints to as many waiting requests as fit."""
        for target in list(self._queues):
            self._pump_target(target)

    def counts(self) -> dict[str, int]:
        """Returns the number of waiting requests of each class."""
        totals: dict[str, int] = {}
        for queue in self._queues.values():
            for name, count in queue.counts().items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def _enqueue(
        self, demand: models.Demand, excluded: frozenset[str]
    ) -> queues.Ticket:
        if not self._endpoints.serving(demand.target):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.NO_ENDPOINT,
                "no endpoint serves this",
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        self._admit(demand)
        ticket = queues.Ticket(
            demand,
            self._clock.now(),
            self.durations.expect_ms(
                demand.request_class.name, demand.account.name
            ),
            excluded,
        )
        queue = self._queues.setdefault(demand.target, queues.TargetQueue())
        queue.push(ticket)
        return ticket

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
        rate = self._rates.get(demand.target)
        if queue is None or rate is None:
            return 0.0
        return rate.wait_ms(queue.cost_ahead_ms(demand.request_class.tier))

    def _retry_after_ms(self, demand: models.Demand) -> float:
        return max(MIN_RETRY_AFTER_MS, self._predict_wait_ms(demand))

    def _pump_target(self, target: str) -> None:
        queue = self._queues.get(target)
        if queue is None:
            return
        states = self._endpoints.serving(target)
        while self._grant_one(target, queue, states):
            pass

    def _grant_one(
        self,
        target: str,
        queue: queues.TargetQueue,
        states: list[registry.EndpointState],
    ) -> bool:
        now_ms = self._clock.now()
        for ticket in queue.candidates():
            chosen = self._chooser.choose(
                states, self._rank(queue, ticket), ticket.excluded, now_ms
            )
            if chosen.endpoint is None:
                continue
            queue.dispatch(ticket)
            chosen.endpoint.in_flight += 1
            rate = self._rates.setdefault(target, DrainRate())
            rate.record(ticket.cost_ms, now_ms)
            ticket.result.set(
                queues.Grant(
                    chosen.endpoint,
                    chosen.passed_over,
                    now_ms - ticket.enqueued_ms,
                )
            )
            return True
        return False

    def _rank(self, queue: queues.TargetQueue, ticket: queues.Ticket) -> int:
        rank = self._ranks.get(ticket.demand.request_class.name, 0)
        if rank > 1 and queue.is_entitled(ticket):
            return 1
        return rank

    def _abandon(self, ticket: queues.Ticket) -> None:
        """Takes back a ticket whose caller no longer waits for it."""
        queue = self._queues[ticket.demand.target]
        if not queue.remove(ticket) and ticket.result.ready():
            self.release(ticket.result.get())
