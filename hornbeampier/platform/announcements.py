"""Decodes what an endpoint announces about itself in a response."""

import math

from hornbeampier import clock as clocks
from hornbeampier.http1 import messages
from hornbeampier.platform import names
from hornbeampier.routing import announcements

# Statuses with which an endpoint turns a request away; only there `Retry-After`
# is addressed to this VM.
TURNED_AWAY_STATUSES = frozenset({429, 503})
MISDIRECTED_STATUS = 421
# Larger values are bounded.
MAX_LIMIT_PER_S = 1_000_000.0
MAX_WAIT_MS = 3_600_000.0
# How much of an invalid value is logged.
LOGGED_BYTES = 40


def decode(head: messages.ResponseHead) -> announcements.Announcement | None:
    """Decodes the announcements in the head of a response.

    Invalid values count as absent and are listed. The result is None if another
    endpoint responded at the address.
    """
    if head.status == MISDIRECTED_STATUS:
        return None
    invalid: list[str] = []
    limit_per_s = _decode_number(head, names.LIMIT, invalid)
    wait_s = None
    if head.status in TURNED_AWAY_STATUSES:
        wait_s = _decode_number(head, names.RETRY_AFTER, invalid)
    return announcements.Announcement(
        limit_per_s=_at_most(limit_per_s, MAX_LIMIT_PER_S),
        leaving=(head.get(names.LEAVING) or b"").strip() == b"1",
        wait_ms=_at_most(
            None if wait_s is None else wait_s * clocks.MS_PER_SECOND,
            MAX_WAIT_MS,
        ),
        invalid=tuple(invalid),
    )


def _decode_number(
    head: messages.ResponseHead, name: bytes, invalid: list[str]
) -> float | None:
    """Returns a header's number; reports one that is not a number >= 0."""
    value = head.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if number >= 0.0:
        return number
    shown = value[:LOGGED_BYTES].decode("latin-1")
    invalid.append(f"{name.decode()}: {shown!r} is not a number >= 0")
    return None


def _at_most(value: float | None, maximum: float) -> float | None:
    return None if value is None else min(value, maximum)
