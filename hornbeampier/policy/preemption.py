"""Running requests of lower tiers that make room for waiting higher ones.

A preempted request gives its slot back after its next event and is resumed
later: the part of the answer that has arrived is kept. Only answers that can
be resumed, of classes without a target between tokens, are preempted, and
each at most `MAX_PREEMPTIONS` times, so that no request is put off for ever.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from hornbeampier import models
from hornbeampier.policy import tickets

MAX_PREEMPTIONS = 1


def is_preemptible(demand: models.Demand) -> bool:
    """Returns whether a request may be preempted once it has begun."""
    return (
        demand.preemptions < MAX_PREEMPTIONS
        and demand.request_class.between_tokens_ms is None
    )


class RunningRequests:
    """This VM's requests at endpoints."""

    def __init__(self):
        self._grants: dict[str, set[tickets.Grant]] = {}

    def add(self, grant: tickets.Grant) -> None:
        """Adds a request that was granted an endpoint."""
        self._grants.setdefault(grant.endpoint.name, set()).add(grant)

    def discard(self, grant: tickets.Grant) -> None:
        """Takes out a request whose grant ended."""
        self._grants.get(grant.endpoint.name, set()).discard(grant)

    def pending(self, endpoints: Iterable[str]) -> int:
        """Returns how many preempted requests still hold their slots."""
        return sum(grant.preempted for grant in self._at(endpoints))

    def preempt(self, endpoints: Iterable[str], tier: int) -> bool:
        """Preempts the request that has most time left.

        Args:
            endpoints: Where room is needed, at any of them.
            tier: That of the waiting request; only lower ones make room.
        """
        found = [
            grant
            for grant in self._at(endpoints)
            if grant.resumable
            and not grant.preempted
            and grant.demand.request_class.tier > tier
        ]
        if not found:
            return False
        victim = max(found, key=_order)
        victim.preempted = True
        return True

    def _at(self, endpoints: Iterable[str]) -> Iterator[tickets.Grant]:
        for name in endpoints:
            yield from self._grants.get(name, ())


def _order(grant: tickets.Grant) -> tuple[int, float]:
    demand = grant.demand
    return demand.request_class.tier, demand.arrival_ms
