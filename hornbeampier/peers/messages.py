"""The datagrams between VMs."""

import msgspec

from hornbeampier import errors


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """A VM's own open requests at an endpoint, and how fast it answered.

    Attributes:
        prefill_tokens: Prompt tokens of the requests without an event yet.
        measured_ms: Time that answers of late took.
        expected_ms: Time that they were expected to take.
    """

    in_flight: int
    prefill_tokens: int
    measured_ms: int
    expected_ms: int


class Placement(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has read a part of a prompt."""

    endpoint: str
    segment: str
    tokens: int


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A request ran at an incarnation of an endpoint when it crashed."""

    fingerprint: str
    incarnation: str


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """What a VM tells its peers.

    Attributes:
        boot: Drawn at the start of the process.
        sequence: Counts the rounds of datagrams of a process.
        is_delta: Whether it holds only what changed since the last round.
        reads_store: Whether the VM reads the store without failure.
        offsets: How far the VM has read each topic.
        loads: Load by endpoint id. A whole state leaves out endpoints without
            any; a partial one leaves out those whose load is the same.
        workload: Work of late by service and kind of prompt, in prompt tokens.
        pools: Engines for short and interactive prompts by service.
        sent_tokens: Prompt tokens sent to each engine since the last round.
        placements: Prompt parts that were sent to endpoints lately.
        crashes: Crashes of endpoints of late.
        members: Hosts that the VM heard lately.
    """

    vm: str
    boot: int
    sequence: int
    is_delta: bool
    reads_store: bool
    offsets: dict[str, int]
    loads: dict[str, EndpointLoad]
    workload: dict[str, tuple[float, ...]] = {}
    pools: dict[str, tuple[int, int]] = {}
    sent_tokens: dict[str, int] = {}
    placements: tuple[Placement, ...] = ()
    crashes: tuple[Crash, ...] = ()
    members: tuple[str, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateMessage)


def encode(state: StateMessage) -> bytes:
    """Returns the datagram of a state."""
    return _encoder.encode(state)


def decode(data: bytes) -> StateMessage:
    """Returns the state in a datagram.

    Raises:
        errors.PeerError: It cannot be read.
    """
    try:
        return _decoder.decode(data)
    except errors.DECODE_ERRORS as exc:
        raise errors.PeerError(f"unreadable datagram: {exc}") from exc
