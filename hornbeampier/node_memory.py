"""The memory of a node."""

from hornbeampier import memory_budget
from hornbeampier import vm_memory
from hornbeampier.ingress import caller_handler
from hornbeampier.platform import settings

PROGRAM = vm_memory.ProgramMemory(
    idle_bytes=48 * memory_budget.MIB, largest_bytes=64 * memory_budget.MIB
)


def client_memory_bytes(cfg: settings.NodeSettings) -> int:
    """Returns the memory that the process may hold for clients.

    Raises:
        vm_memory.TooSmallError: The VM has too little of it.
    """
    return vm_memory.for_vm(
        cfg.memory_bytes,
        PROGRAM,
        caller_handler.INITIAL_LIMITS.body_bytes,
    )
