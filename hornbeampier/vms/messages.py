"""Wire types between the entry VMs."""

from typing import Annotated

import msgspec

MAX_SUSPICIONS = 16
MAX_CRASHES_TOLD = 8
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
AgeMs = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Digest = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
CrashId = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request under which endpoints crashed.

    Attributes:
        fingerprint: Digest of the account and the body.
        crashes: Identifies each crash, so that none is counted twice.
        endpoint: Where the last of them happened.
        blocked: Whether the request is refused from now on.
    """

    fingerprint: Digest
    crashes: Annotated[
        tuple[CrashId, ...], msgspec.Meta(max_length=MAX_CRASHES_TOLD)
    ]
    endpoint: str
    blocked: bool


class Hint(msgspec.Struct, frozen=True, array_like=True):
    """What a VM tells its peers in a datagram.

    Attributes:
        vm: The sender's name.
        boot: Identifies the sender's process, so that a restart is seen.
        sequence: Grows with each hint of a process.
        version: The accepted configuration version.
        in_flight: The sender's requests at each endpoint.
        waiting: The sender's waiting requests of each target and tier.
        leaving: Endpoints that the sender itself saw leaving, with the age
            of that evidence in ms.
        suspicions: Recent crashes under the sender's requests.
        suspects_at: Endpoints where the sender runs suspected requests.
        reserved: Endpoints that the sender keeps for one suspect alone.
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
    """Asks a peer for its accepted configuration."""

    vm: str
