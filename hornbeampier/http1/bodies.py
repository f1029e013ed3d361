"""Collects the bodies of requests within the memory of the process."""

from collections.abc import Iterator

from hornbeampier import memory_budget

# Small pieces are joined up to this size, so that a piece costs no more memory
# than its bytes.
BLOCK_BYTES = 65_536


class TooLargeError(Exception):
    """The body exceeds its limit."""


def collect(
    pieces: Iterator[bytes], max_bytes: int, holder: memory_budget.Holder
) -> bytes:
    """Returns a whole body, which its holder then keeps until it is served.

    Args:
        pieces: Yields the parts of the body as they arrive.
        max_bytes: Size of the largest body allowed.
        holder: Counts the body, and frees it if its memory is reclaimed.

    Raises:
        TooLargeError: The body exceeds `max_bytes`.
        memory_budget.ReclaimedError: The process cannot hold the body.
    """
    blocks: list[bytearray] = []
    holder.hold_body(blocks.clear)
    try:
        _receive(pieces, max_bytes, holder, blocks)
        holder.begin_serving()
    except BaseException:
        holder.drop_body()
        raise
    return b"".join(blocks)


def _receive(
    pieces: Iterator[bytes],
    max_bytes: int,
    holder: memory_budget.Holder,
    blocks: list[bytearray],
) -> None:
    size = 0
    for piece in pieces:
        size += len(piece)
        if size > max_bytes:
            raise TooLargeError
        holder.grow(len(piece))
        if blocks and len(blocks[-1]) + len(piece) <= BLOCK_BYTES:
            blocks[-1] += piece
        else:
            blocks.append(bytearray(piece))
        # Nothing but the blocks is kept while the next piece is awaited.
        del piece
