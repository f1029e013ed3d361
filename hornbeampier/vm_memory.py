"""What a process may hold for clients on its VM."""

import dataclasses
import math

from hornbeampier import memory_budget

# The rest is for copies that are made of bodies, and for what the allocator
# cannot use.
BUDGET_FRACTION = 0.5
# Requests that the smallest budget has room for, beside the largest body.
MIN_REQUESTS = 32


class TooSmallError(ValueError):
    """The memory of the VM does not suffice for the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramMemory:
    """What a program needs without clients, in bytes.

    Attributes:
        idle_bytes: After its start.
        largest_bytes: At its largest deployment.
    """

    idle_bytes: int
    largest_bytes: int


def for_vm(
    memory_bytes: int, program: ProgramMemory, max_body_bytes: int
) -> int:
    """Returns what a process may hold for clients, in bytes.

    Args:
        memory_bytes: What the process may use on its VM.
        program: What the program needs itself.
        max_body_bytes: Size of the largest body of a request.

    Raises:
        TooSmallError: One request would not fit.
    """
    least_bytes = _least_bytes(max_body_bytes)
    needed_bytes = program.idle_bytes + least_bytes / BUDGET_FRACTION
    if memory_bytes < needed_bytes:
        raise TooSmallError(
            f"{memory_bytes // memory_budget.MIB} MB of memory do not suffice; "
            f"at least {math.ceil(needed_bytes / memory_budget.MIB)} MB are "
            "needed"
        )
    spare_bytes = memory_bytes - program.largest_bytes
    return max(least_bytes, int(spare_bytes * BUDGET_FRACTION))


def _least_bytes(max_body_bytes: int) -> int:
    """Returns the smallest budget that has room for each single request."""
    request_bytes = memory_budget.CONNECTION_BYTES + memory_budget.REQUEST_BYTES
    held_bytes = max_body_bytes + MIN_REQUESTS * request_bytes
    return math.ceil(held_bytes / (1.0 - memory_budget.SMALL_FRACTION))
