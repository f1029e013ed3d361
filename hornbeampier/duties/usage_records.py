"""Finalized usage reports as records of the duty's partition."""

import msgspec

from hornbeampier import bounds
from hornbeampier import errors

# A key is reused after this number of windows.
SLOT_COUNT = 32
KEY_PREFIX = "usage/"


class UsageReport(msgspec.Struct, frozen=True):
    """The counts of a window, which never change any more.

    Attributes:
        accepted_through: The last window such that neither it nor an earlier
            one is to be sent again.
    """

    window: bounds.Integer
    counts: dict[str, bounds.Count]
    accepted_through: bounds.Integer


_decoder = msgspec.json.Decoder(UsageReport)


def key_of(window: int) -> str:
    """Returns the key of a window's record."""
    return f"{KEY_PREFIX}{window % SLOT_COUNT}"


def encode(report: UsageReport) -> bytes:
    """Returns the value of a report's record."""
    return msgspec.json.encode(report)


def decode_all(records: dict[str, bytes]) -> dict[int, UsageReport]:
    """Returns the reports among some records by window.

    A record that cannot be read is left out.
    """
    reports = {}
    for key, value in records.items():
        if not key.startswith(KEY_PREFIX):
            continue
        try:
            report = _decoder.decode(value)
        except errors.DECODE_ERRORS:
            continue
        reports[report.window] = report
    return reports
