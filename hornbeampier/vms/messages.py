"""Wire types between the entry VMs."""

import msgspec


class Hint(msgspec.Struct, frozen=True, array_like=True):
    """What a VM tells its peers in a datagram.

    Attributes:
        vm: The sender's name.
        boot: Identifies the sender's process, so that a restart is seen.
        sequence: Grows with each hint of a process.
        version: The accepted configuration version.
        in_flight: The sender's requests at each endpoint.
        waiting: The sender's waiting requests of each tier.
        leaving: Endpoints that the sender itself saw leaving, with the age
            of that evidence in ms.
    """

    vm: str
    boot: int
    sequence: int
    version: int
    in_flight: dict[str, int]
    waiting: dict[int, int]
    leaving: dict[str, float]


class CatchUpRequest(msgspec.Struct, frozen=True):
    """Asks a peer for its accepted configuration."""

    vm: str
