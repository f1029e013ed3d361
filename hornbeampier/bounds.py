"""Bounds of values that other processes send or write, for decoders.

A value within them can be used, summed over all VMs and sent on anywhere.
"""

import socket
from typing import Annotated

import msgspec

# Sums over a thousand VMs fit 64 bits, and all values fit a float exactly.
MAX_INTEGER = 2**53
MAX_ID = 2**63 - 1
MAX_MS = 1e12
MAX_DIGEST_BYTES = 64

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# A number that is only compared, such as the start of a process.
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_ID)]
# A time that may lie in the past.
Ms = Annotated[float, msgspec.Meta(ge=-MAX_MS, le=MAX_MS)]
WholeMs = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_MS))]
Digest = Annotated[bytes, msgspec.Meta(max_length=MAX_DIGEST_BYTES)]


def is_ip_address(host: str) -> bool:
    """Whether a host is an IP literal, which needs no name to be looked up."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True
