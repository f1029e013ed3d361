"""Wire types of the usage exchange; fields are encoded by position."""

import msgspec

from hornbeampier import bounds
from hornbeampier import errors


class WindowEntry(msgspec.Struct, array_like=True, frozen=True):
    """Cumulative counts of one process in a window.

    Attributes:
        pairs: Number of an account and its count, alternating. The number is
            the position of its name among all names the process has sent.
    """

    window: bounds.Integer
    is_final: bool
    pairs: tuple[bounds.Count, ...]


class Counts(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What a process has counted.

    Attributes:
        process: Random number of the process.
        sequence: Repeated in the acknowledgment.
        first_name: Position of the first of `names` among all names.
        names: Names of accounts that the receiver may not know yet.
        windows: The windows that have changed.
        wants_ack: Whether the receiver is to acknowledge them.
    """

    process: int
    sequence: int
    first_name: bounds.Count
    names: tuple[str, ...]
    windows: tuple[WindowEntry, ...]
    wants_ack: bool


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Acknowledges `Counts`.

    Attributes:
        process: The process that sent the counts.
        sequence: That of the counts.
        known_names: Number of names of the process that the sender knows.
        is_complete: Whether the sender knew the names of all counts.
        time_ms: The sender's time, in ms since the Unix epoch.
    """

    process: int
    sequence: int
    known_names: bounds.Count
    is_complete: bool
    time_ms: bounds.Count


class Subscription(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks a VM for its counts, from now on; the duty's holder repeats it.

    Attributes:
        number: Differs each time a VM takes the duty over.
    """

    number: int


class Query(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks a VM what it holds of a window.

    Attributes:
        known: The processes whose final counts the sender has.
    """

    window: bounds.Integer
    known: tuple[int, ...]


class HeldRow(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one process, as another VM holds them."""

    host: str
    process: int
    is_final: bool
    counts: dict[str, bounds.Count]


class QueryReply(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Some of what a VM holds of a window.

    Attributes:
        is_last: Whether no further datagram follows.
    """

    window: bounds.Integer
    is_last: bool
    rows: tuple[HeldRow, ...]


class Finalized(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """A finalized report, for VMs that may take the duty over.

    Attributes:
        accepted_through: See `usage_records.UsageReport`.
    """

    window: bounds.Integer
    counts: dict[str, bounds.Count]
    accepted_through: bounds.Integer


Message = Counts | Ack | Subscription | Query | QueryReply | Finalized
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message in a datagram.

    Raises:
        errors.PeerError: The datagram is not a valid message.
    """
    try:
        message = _decoder.decode(data)
    except errors.DECODE_ERRORS as exc:
        raise errors.PeerError(f"invalid datagram on usage: {exc}") from exc
    if isinstance(message, Counts):
        _check_pairs(message)
    return message


def _check_pairs(message: Counts) -> None:
    for entry in message.windows:
        if len(entry.pairs) % 2:
            raise errors.PeerError(
                "invalid datagram on usage: counts need pairs of numbers"
            )
