"""Decodes the load that an endpoint reports in each response."""

from hornbeampier.routing import endpoint_speed

# Running, waiting and slots; a fourth figure is optional.
COUNT_FIELDS = 3
MAX_COUNT = 1_000_000
MAX_COUNT_DIGITS = len(str(MAX_COUNT))
# The fourth figure of an endpoint that works at its normal speed.
NORMAL_SLOWDOWN = 100.0
# Bounds of the fourth figure as a factor; other values are malformed.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0


def decode(value: bytes | None) -> endpoint_speed.LoadReport | None:
    """Returns the report in a header; None if it is absent or malformed.

    A malformed fourth figure counts as absent.
    """
    if not value:
        return None
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) not in (COUNT_FIELDS, COUNT_FIELDS + 1):
        return None
    counts = fields[:COUNT_FIELDS]
    if not all(n.isdigit() and len(n) <= MAX_COUNT_DIGITS for n in counts):
        return None
    running, waiting, slots = (int(n) for n in counts)
    return endpoint_speed.LoadReport(
        running, waiting, slots, _decode_slowdown(fields[COUNT_FIELDS:])
    )


def _decode_slowdown(fields: list[bytes]) -> float | None:
    if not fields:
        return None
    try:
        slowdown = float(fields[0]) / NORMAL_SLOWDOWN
    except ValueError:
        return None
    if not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
        return None
    return slowdown
