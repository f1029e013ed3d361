"""Data shared by the callers' side, the policy and the endpoints' side."""

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
class Demand:
    """What a request asks of the scheduler.

    Attributes:
        request_id: Unique over all VMs.
        target: A model's name, or `service:NAME`.
        arrival_ms: When the request was read, on the monotonic clock.
        deadline_ms: When waiting for an endpoint is given up.
        fingerprint: Digest of account and body; equal for repeats.
        retried: An earlier attempt failed, or endpoints crashed under it; it
            goes before new requests of its tier and holds none of them up.
        preemptions: How often it gave its slot to a higher tier; it goes
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
