"""Preemption of running requests for waiting requests of higher tiers.

A preempted request releases its slot after its next event and is resumed
later from the text received so far. Only resumable responses of classes
without a `between_tokens_ms` target are preempted, each at most
`MAX_PREEMPTIONS` times, so that no request is postponed forever.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from hornbeampier import request_info
from hornbeampier.policy import tickets

MAX_PREEMPTIONS = 1


def is_preemptible(info: request_info.RequestInfo) -> bool:
    """Returns whether a request may be preempted once its response begins."""
    return (
        info.preemptions < MAX_PREEMPTIONS
        and info.request_class.between_tokens_ms is None
    )


class RunningRequests:
    """The grants of this VM's running requests, by endpoint."""

    def __init__(self):
        self._grants: dict[str, set[tickets.Grant]] = {}

    def add(self, grant: tickets.Grant) -> None:
        """Adds a request that was granted an endpoint."""
        self._grants.setdefault(grant.endpoint.name, set()).add(grant)

    def discard(self, grant: tickets.Grant) -> None:
        """Removes a request whose grant ended."""
        self._grants.get(grant.endpoint.name, set()).discard(grant)

    def preempted_count(self, endpoints: Iterable[str]) -> int:
        """Returns the number of preempted requests that still hold a slot."""
        return sum(grant.preempted for grant in self._at(endpoints))

    def preempt(self, endpoints: Iterable[str], tier: int) -> bool:
        """Preempts the newest resumable request of the lowest tier.

        Args:
            endpoints: Names of the endpoints of which one has to free a slot.
            tier: The waiting request's tier; only lower tiers are preempted.

        Returns:
            Whether a request was preempted.
        """
        candidates = [
            grant
            for grant in self._at(endpoints)
            if grant.resumable
            and not grant.preempted
            and grant.info.request_class.tier > tier
        ]
        if not candidates:
            return False
        victim = max(candidates, key=_preemption_order)
        victim.preempted = True
        return True

    def _at(self, endpoints: Iterable[str]) -> Iterator[tickets.Grant]:
        for name in endpoints:
            yield from self._grants.get(name, ())


def _preemption_order(grant: tickets.Grant) -> tuple[int, float]:
    info = grant.info
    return info.request_class.tier, info.arrival_ms
