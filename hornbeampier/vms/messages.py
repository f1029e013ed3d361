"""Wire types of hints and of configuration catch-up."""

from typing import Annotated

import msgspec

MAX_SUSPICIONS = 16
MAX_CRASHES_PER_SUSPICION = 8
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
AgeMs = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Digest = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
CrashId = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when endpoints crashed.

    Attributes:
        fingerprint: Digest of the client account and the request body.
        crashes: Ids of the crashes, so that none is counted twice.
        endpoint: Where the last crash happened.
        blocked: Whether the request is refused from now on.
    """

    fingerprint: Digest
    crashes: Annotated[
        tuple[CrashId, ...], msgspec.Meta(max_length=MAX_CRASHES_PER_SUSPICION)
    ]
    endpoint: str
    blocked: bool


class Hint(msgspec.Struct, frozen=True, array_like=True):
    """The state that a VM reports to its peers in a datagram.

    Attributes:
        vm: The sender's name.
        boot: Identifies the sender's process, so that a restart is detected.
        sequence: Grows with each hint of a process.
        version: The accepted configuration version.
        in_flight: The sender's in-flight requests by endpoint.
        waiting: The sender's queued requests by target (model or service) and
            tier.
        leaving: By endpoint that the sender itself saw leaving, the age in ms
            of that observation.
        suspicions: Requests of the sender that were running when endpoints
            crashed recently.
        suspects_at: Endpoints where the sender runs suspects.
        reserved: Endpoints that the sender reserves for an isolated run of one
            suspect.
    """

    vm: str
    boot: int
    sequence: int
    version: int
    in_flight: dict[str, Count]
    waiting: dict[str, dict[int, Count]]
    leaving: dict[str, AgeMs]
    suspicions: Annotated[
        tuple[Suspicion, ...], msgspec.Meta(max_length=MAX_SUSPICIONS)
    ] = ()
    suspects_at: tuple[str, ...] = ()
    reserved: tuple[str, ...] = ()


class CatchUpRequest(msgspec.Struct, frozen=True):
    """Asks a peer for the configuration that it has accepted."""

    vm: str
