"""Baseline schedulers: FIFO queues on each VM and no priorities."""

import collections
from typing import Protocol

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import durations
from hornbeampier.policy import tickets

RETRY_AFTER_MS = 1_000.0


class Chooser(Protocol):
    """Chooses among endpoints on which this VM has a free slot."""

    def choose(
        self, states: list[registry.EndpointState]
    ) -> registry.EndpointState:
        """Returns one of `states`, which is not empty."""
        ...


class RoundRobinChooser:
    """Chooses endpoints round-robin."""

    def __init__(self):
        self._last_used: dict[str, int] = {}
        self._use_count = 0

    def choose(
        self, states: list[registry.EndpointState]
    ) -> registry.EndpointState:
        """Returns the least recently used endpoint."""
        least_recent = min(states, key=lambda s: self._last_used.get(s.name, 0))
        self._use_count += 1
        self._last_used[least_recent.name] = self._use_count
        return least_recent


class LeastLoadChooser:
    """Chooses the endpoint whose last report has the fewest requests."""

    def __init__(self):
        self._round_robin = RoundRobinChooser()

    def choose(
        self, states: list[registry.EndpointState]
    ) -> registry.EndpointState:
        """Returns that endpoint; ties are broken round-robin."""
        loads = {s.name: _reported_load(s) for s in states}
        least_load = min(loads.values())
        return self._round_robin.choose(
            [s for s in states if loads[s.name] == least_load]
        )


class FifoScheduler(application.BaseComponent):
    """A scheduler with one FIFO queue for each target (model or service)."""

    def __init__(
        self,
        endpoints: registry.Registry,
        chooser: Chooser,
        clk: clocks.Clock,
    ):
        self._endpoints = endpoints
        self._chooser = chooser
        self._clock = clk
        self._queues: dict[str, collections.deque[tickets.Ticket]] = {}
        self.durations = durations.Durations()

    def apply(self, cfg: schema.Configuration) -> None:
        """Dispatches queued requests after a change of the endpoints."""
        del cfg
        self.dispatch_waiting()

    def acquire(
        self,
        info: request_info.RequestInfo,
        excluded: frozenset[str] = frozenset(),
    ) -> tickets.Grant:
        """Waits until an endpoint has a free slot for the request.

        Raises:
            errors.RefusalError: No endpoint became free in time.
        """
        now_ms = self._clock.now()
        ticket = tickets.Ticket(info, now_ms, 0.0, excluded=excluded)
        queue = self._queues.setdefault(info.target, collections.deque())
        queue.append(ticket)
        self.dispatch_waiting()
        try:
            remaining_ms = max(0.0, info.deadline_ms - now_ms)
            ticket.result.wait(remaining_ms / clocks.MS_PER_SECOND)
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
            retry_after_ms=RETRY_AFTER_MS,
        )

    def release(self, grant: tickets.Grant) -> None:
        """Frees the slot of a grant and schedules the next request."""
        grant.endpoint.in_flight -= 1
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Grants free slots to the requests at the head of each queue."""
        for target, queue in self._queues.items():
            while queue and self._grant(target, queue[0]):
                queue.popleft()

    def waiting_by_class(self) -> dict[str, int]:
        """Returns the number of queued requests of each class."""
        return collections.Counter(
            ticket.info.request_class.name
            for queue in self._queues.values()
            for ticket in queue
        )

    def waiting_by_target(self) -> dict[str, dict[int, int]]:
        """Returns an empty dict: baselines report no queues to their peers."""
        return {}

    def _grant(self, target: str, ticket: tickets.Ticket) -> bool:
        now_ms = self._clock.now()
        free = [
            state
            for state in self._endpoints.serving(target)
            if _is_free(state, ticket, now_ms)
        ]
        if not free:
            return False
        endpoint = self._chooser.choose(free)
        endpoint.in_flight += 1
        wait_ms = now_ms - ticket.enqueued_ms
        ticket.result.set(tickets.Grant(ticket.info, endpoint, (), wait_ms))
        return True

    def _abandon(self, ticket: tickets.Ticket) -> None:
        queue = self._queues[ticket.info.target]
        if ticket in queue:
            queue.remove(ticket)
        elif ticket.result.ready():
            self.release(ticket.result.get())


def _is_free(
    state: registry.EndpointState, ticket: tickets.Ticket, now_ms: float
) -> bool:
    return (
        not state.leaving
        and now_ms >= state.ejected_until_ms
        and state.name not in ticket.excluded
        and state.in_flight < state.cfg.slots
    )


def _reported_load(state: registry.EndpointState) -> int:
    if state.report is None:
        return 0
    return state.report.running + state.report.waiting


CHOOSERS = {"round-robin": RoundRobinChooser, "least-load": LeastLoadChooser}
