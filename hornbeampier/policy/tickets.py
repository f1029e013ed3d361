"""Requests that wait for an endpoint, and the grants they receive."""

from collections.abc import Container
import dataclasses

from gevent import event

from hornbeampier import request_info
from hornbeampier.endpoints import registry


@dataclasses.dataclass(frozen=True)
class PassedOver:
    """An endpoint that was not chosen, and why."""

    endpoint: str
    reason: str


@dataclasses.dataclass(eq=False)
class Grant:
    """A slot at an endpoint, granted to one request.

    Attributes:
        resumable: Whether the response has begun and can be resumed later.
        preempted: Whether the slot has to be released after the next event.
    """

    info: request_info.RequestInfo
    endpoint: registry.EndpointState
    passed_over: tuple[PassedOver, ...]
    wait_ms: float
    resumable: bool = False
    preempted: bool = False


@dataclasses.dataclass(eq=False)
class Ticket:
    """A request that waits for an endpoint.

    Attributes:
        cost_ms: Expected time at an endpoint.
        latest_start_ms: Latest monotonic time to start and still meet the
            class's latency targets.
        preempt_from_ms: Monotonic time from which it may preempt lower tiers.
        excluded: Names of endpoints that it must not use; its content may
            change while the request waits.
        result: Receives the grant.
    """

    info: request_info.RequestInfo
    enqueued_ms: float
    cost_ms: float
    latest_start_ms: float = float("inf")
    preempt_from_ms: float = float("inf")
    excluded: Container[str] = frozenset()
    result: event.AsyncResult = dataclasses.field(
        default_factory=event.AsyncResult
    )
