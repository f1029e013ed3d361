"""Health checks of endpoints."""

from hornbeampier.http1 import messages
from hornbeampier.platform import announcements
from hornbeampier.platform import names
from hornbeampier.routing import domain

HEALTHY_STATUS = 200


def encode_request(
    endpoint: domain.Endpoint, health_path: str
) -> messages.RequestHead:
    """Returns the head of a health check of `endpoint`."""
    host = f"{endpoint.host}:{endpoint.port}".encode()
    return messages.RequestHead(
        b"GET",
        health_path.encode(),
        ((b"Host", host), (names.EXPECT_INSTANCE, endpoint.id.encode())),
    )


def is_serving(head: messages.ResponseHead, endpoint: domain.Endpoint) -> bool:
    """Whether a response shows that `endpoint` is healthy and does not leave.

    An endpoint that leaves announces this in all its responses.
    """
    announcement = announcements.decode(head)
    return (
        head.status == HEALTHY_STATUS
        and head.get(names.INSTANCE) == endpoint.id.encode()
        and announcement is not None
        and not announcement.leaving
    )
