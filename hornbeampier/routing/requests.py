"""An accepted request."""

import dataclasses

from hornbeampier.http1 import messages
from hornbeampier.routing import domain
from hornbeampier.routing import route_table


@dataclasses.dataclass(frozen=True, slots=True)
class ResumedStream:
    """A stream that was interrupted and that its caller takes up again.

    Attributes:
        request_id: Id of the request that brought the stream's first event;
            empty if the caller did not name it.
        last_event_id: Id of the last event that the caller has; empty if it
            did not name it.
    """

    request_id: str
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that was accepted and has been read completely.

    Attributes:
        id: Id that the caller sent with the request; empty if it sent none.
        target: The HTTP request target, as received.
        headers: Headers that are forwarded as the caller sent them.
        service: Name of the service that was picked from the route's split.
        account: The client account, or None for an anonymous request.
        arrived_ms: When its head was read, on the monotonic clock.
        deadline_ms: When its response must be complete, on the monotonic clock.
        caller_deadline_ms: When its caller gives up, over all its retries.
        fingerprint: Digest of the request, equal for the caller's retries.
        prompt: The prompt of a generation request, otherwise None.
        urgency: Rank among all requests; 0 is the most urgent.
        resumed: The stream that the request takes up again, or None.
    """

    id: str
    method: bytes
    target: bytes
    host: bytes
    headers: messages.Headers
    body: bytes
    route: domain.Route
    service: str
    account: domain.ClientAccount | None
    arrived_ms: float
    deadline_ms: float
    caller_deadline_ms: float
    fingerprint: str
    prompt: domain.Prompt | None
    urgency: int
    resumed: ResumedStream | None = None

    @property
    def last_event_before(self) -> str:
        """Id of the last event that the caller has; empty for a new stream."""
        if self.resumed is None or not self.route.resumable:
            return ""
        return self.resumed.last_event_id

    @property
    def location(self) -> route_table.Location:
        """What routes are matched with."""
        return route_table.Location(
            messages.host_name(self.host), messages.target_path(self.target)
        )
