"""One accepted request on its way to an endpoint."""

import dataclasses

from hornbeampier.http1 import messages
from hornbeampier.routing import model


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that was read whole and is allowed.

    Attributes:
        id: The caller's id of this attempt; empty if it sent none.
        headers: What is passed on to the endpoint as the caller sent it.
        arrived_ms: When its head was read, on the monotonic clock.
        deadline_ms: When its final answer is due, on the monotonic clock.
        fingerprint: Digest that is equal for repeats of the request.
        prompt: Set for generations.
        urgency: Rank among all requests; 0 is the most urgent.
    """

    id: str
    method: bytes
    target: bytes
    host: bytes
    headers: messages.Headers
    body: bytes
    route: model.Route
    service: str
    account: model.ClientAccount | None
    arrived_ms: float
    deadline_ms: float
    fingerprint: str
    prompt: model.Prompt | None
    urgency: int
