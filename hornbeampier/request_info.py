"""Request data shared by the callers, policy and endpoints packages."""

import dataclasses
import enum
import hashlib

from hornbeampier.operators import schema

SERVICE_PREFIX = "service:"


class Outcome(enum.StrEnum):
    """How an accepted request ended."""

    SERVED = "served"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class RequestInfo:
    """What the scheduler knows about a request.

    Attributes:
        request_id: Unique over all VMs.
        target: A model's name, or `service:NAME`.
        arrival_ms: Monotonic time at which the request was read.
        deadline_ms: Monotonic time until which it may wait for an endpoint.
        fingerprint: Digest of account and body; equal for repeats.
        retried: Whether an earlier attempt failed, or the request is a
            suspect. It precedes new requests of its tier, but they are
            dispatched before it while it has no suitable endpoint.
        preemptions: How often it was preempted. A preempted request goes
            before the other requests of its class.
    """

    request_id: str
    target: str
    request_class: schema.RequestClass
    account: schema.ClientAccount
    arrival_ms: float
    deadline_ms: float
    fingerprint: str
    retried: bool = False
    preemptions: int = 0


def service_target(name: str) -> str:
    """Returns the scheduler's target for a plain service."""
    return SERVICE_PREFIX + name


def fingerprint(account: str, body: bytes) -> str:
    """Returns a digest that is equal for repeats of a request."""
    digest = hashlib.blake2b(body, digest_size=16, key=account.encode()[:64])
    return digest.hexdigest()
