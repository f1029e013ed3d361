"""Grants endpoints to waiting requests."""

from collections.abc import Container

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import request_info
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
# Fraction of a class's first-token target after which a waiting request may
# preempt lower tiers.
PREEMPT_FRACTION = 0.25
PREEMPT_INTERVAL_MS = 50.0


class Scheduler(application.TaskComponent):
    """Queues requests by target and grants them endpoints."""

    def __init__(
        self,
        endpoints: registry.Registry,
        chooser: choice.EndpointChooser,
        peers: choice.PeerHints,
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
        """Applies the tiers of a new configuration."""
        self._top_tier = min(c.tier for c in cfg.classes)
        self.dispatch_waiting()

    def acquire(
        self,
        info: request_info.RequestInfo,
        excluded: Container[str] = frozenset(),
    ) -> tickets.Grant:
        """Waits until the request may be sent to an endpoint.

        Raises:
            errors.RefusalError: No endpoint was granted; nothing was sent.
            errors.ShutdownError: The VM shuts down; nothing was sent.
        """
        ticket = self._enqueue(info, excluded)
        self.dispatch_waiting()
        try:
            remaining_ms = info.deadline_ms - self._clock.now()
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
            "no endpoint became free before the request's deadline",
            retry_after_ms=self._retry_after_ms(info),
        )

    def release(self, grant: tickets.Grant) -> None:
        """Releases a grant's slot and dispatches waiting requests."""
        self._running.discard(grant)
        grant.endpoint.in_flight -= 1
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Grants endpoints to as many waiting requests as fit."""
        while self._grant_next():
            pass

    def run(self) -> None:
        """Preempts for overdue requests at intervals, until killed."""
        while True:
            self._clock.sleep(PREEMPT_INTERVAL_MS)
            self.preempt()

    def preempt(self) -> None:
        """Preempts one lower-tier request for each overdue request."""
        now_ms = self._clock.now()
        for target, queue in self._queues.items():
            names = [s.name for s in self._endpoints.serving(target)]
            overdue = queue.overdue(now_ms)
            for ticket in overdue[self._running.preempted_count(names) :]:
                tier = ticket.info.request_class.tier
                if not self._running.preempt(names, tier):
                    break

    def waiting_by_class(self) -> dict[str, int]:
        """Returns the number of waiting requests by class."""
        totals: dict[str, int] = {}
        for queue in self._queues.values():
            for name, count in queue.waiting_by_class().items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def waiting_by_target(self) -> dict[str, dict[int, int]]:
        """Returns the number of waiting requests by target and tier."""
        tiers_by_target = {
            name: q.tier_counts() for name, q in self._queues.items()
        }
        return {name: tiers for name, tiers in tiers_by_target.items() if tiers}

    def _enqueue(
        self, info: request_info.RequestInfo, excluded: Container[str]
    ) -> tickets.Ticket:
        if not self._endpoints.serving(info.target):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.NO_ENDPOINT,
                "no endpoint serves the requested model or service",
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        now_ms = self._clock.now()
        cost_ms = self.durations.expected_duration_ms(
            info.request_class.name, info.account.name
        )
        if _is_first_attempt(info):
            self._admit(info)
        ticket = tickets.Ticket(
            info,
            now_ms,
            cost_ms,
            self._latest_start_ms(info, cost_ms),
            _preempt_from_ms(info),
            excluded,
        )
        queue = self._queues.setdefault(info.target, queues.TargetQueue())
        queue.push(ticket)
        return ticket

    def _latest_start_ms(
        self, info: request_info.RequestInfo, cost_ms: float
    ) -> float:
        """Returns the latest start that meets the class's latency targets."""
        request_class = info.request_class
        latest_ms = float("inf")
        if request_class.first_token_ms is not None:
            expected_ms = self.durations.expected_first_token_ms(
                request_class.name
            )
            latest_ms = (
                info.arrival_ms + request_class.first_token_ms - expected_ms
            )
        if request_class.complete_ms is not None:
            end_ms = info.arrival_ms + request_class.complete_ms
            latest_ms = min(latest_ms, end_ms - cost_ms)
        return latest_ms

    def _admit(self, info: request_info.RequestInfo) -> None:
        """Refuses a request that is expected to wait past its deadline."""
        wait_ms = self._predict_wait_ms(info)
        if self._clock.now() + wait_ms <= info.deadline_ms:
            return
        raise errors.RefusalError(
            429,
            errors.RefusalCode.OVERLOADED,
            "the queue is too long for the request to start by its deadline",
            retry_after_ms=self._retry_after_ms(info),
        )

    def _predict_wait_ms(self, info: request_info.RequestInfo) -> float:
        queue = self._queues.get(info.target)
        if queue is None:
            return 0.0
        return self._capacity.predict_wait_ms(
            self._endpoints.serving(info.target),
            queue.cost_ahead_ms(info.request_class, info.account),
        )

    def _retry_after_ms(self, info: request_info.RequestInfo) -> float:
        return max(MIN_RETRY_AFTER_MS, self._predict_wait_ms(info))

    def _grant_next(self) -> bool:
        """Grants an endpoint to the first candidate that fits, if any."""
        now_ms = self._clock.now()
        full_targets: set[str] = set()
        for candidate in self._candidates(now_ms):
            ticket = candidate.ticket
            target = ticket.info.target
            if target in full_targets:
                continue
            states = self._endpoints.serving(target)
            if not self._may_take_slot(candidate, states):
                continue
            is_top_tier = ticket.info.request_class.tier == self._top_tier
            chosen = self._chooser.choose(
                states, is_top_tier, ticket.excluded, now_ms
            )
            if chosen.endpoint is not None:
                self._queues[target].dispatch(ticket)
                self._credit_other_targets(ticket, chosen.endpoint)
                self._grant(ticket, chosen, now_ms)
                return True
            # Later candidates of the target would find no slot either.
            if not is_top_tier and _is_first_attempt(ticket.info):
                full_targets.add(target)
        return False

    def _credit_other_targets(
        self, ticket: tickets.Ticket, state: registry.EndpointState
    ) -> None:
        """Adds credit in the queues of the endpoint's other targets."""
        if ticket.info.retried:
            return
        for target, queue in self._queues.items():
            if target != ticket.info.target and state.serves(target):
                queue.add_credit(ticket.cost_ms)

    def _candidates(self, now_ms: float) -> list[queues.Candidate]:
        """Returns the candidates of all targets in order of dispatch."""
        candidates = [
            candidate
            for queue in self._queues.values()
            for candidate in queue.candidates(now_ms)
        ]
        return sorted(candidates, key=lambda candidate: candidate.rank)

    def _grant(
        self, ticket: tickets.Ticket, chosen: choice.Choice, now_ms: float
    ) -> None:
        state = chosen.endpoint
        info = ticket.info
        if self._chooser.occupancy(state, now_ms) >= state.cfg.slots:
            tier = info.request_class.tier
            self._running.preempt([state.name], tier)
        state.in_flight += 1
        wait_ms = now_ms - ticket.enqueued_ms
        grant = tickets.Grant(info, state, chosen.passed_over, wait_ms)
        self._running.add(grant)
        ticket.result.set(grant)

    def _may_take_slot(
        self,
        candidate: queues.Candidate,
        states: list[registry.EndpointState],
    ) -> bool:
        info = candidate.ticket.info
        tier = info.request_class.tier
        if tier == self._top_tier or candidate.entitled or info.retried:
            return True
        if self._capacity.yields_to_peer(states, info.target, tier):
            return False
        return self._capacity.has_slot_after_higher_tiers(
            states, info.target, tier
        )

    def _abandon(self, ticket: tickets.Ticket) -> None:
        """Withdraws a ticket, with the grant that it may have received."""
        queue = self._queues[ticket.info.target]
        if not queue.remove(ticket) and ticket.result.ready():
            self.release(ticket.result.get())


def _is_first_attempt(info: request_info.RequestInfo) -> bool:
    return not info.retried and not info.preemptions


def _preempt_from_ms(info: request_info.RequestInfo) -> float:
    """Returns the time from which a request may preempt lower tiers."""
    first_token_target_ms = info.request_class.first_token_ms
    if first_token_target_ms is None:
        return float("inf")
    return info.arrival_ms + first_token_target_ms * PREEMPT_FRACTION
