"""Wire types of the platform's log service and VM list."""

import enum

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; `at_ms` is the log's Unix time in ms."""

    offset: int
    at_ms: float
    data: str


class ReadResponse(msgspec.Struct, frozen=True):
    """Response to a read.

    Attributes:
        first: Offset of the oldest record that the log keeps.
        next: Offset to read from next.
        records: The records from the requested offset on.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


class AppendResponse(msgspec.Struct, frozen=True):
    """Response to an append: the offset of the new record."""

    offset: int


class VmState(enum.StrEnum):
    """The state of a VM on the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """A VM on the list: one that runs the router or one with an endpoint.

    The ports are 0 for a VM that does not run the router.
    """

    name: str
    availability_zone: str
    host: str
    state: VmState = VmState.LIVE
    hint_port: int = 0
    catch_up_port: int = 0
    admin_port: int = 0

    @property
    def runs_router(self) -> bool:
        """Whether the VM runs this router."""
        return self.hint_port > 0


class VmListResponse(msgspec.Struct, frozen=True):
    """Response with the platform's list of VMs."""

    vms: tuple[ListedVm, ...]
