"""Wire types of the platform's log service and VM list."""

import enum

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; `at_ms` is the service's Unix time in ms."""

    offset: int
    at_ms: float
    data: str


class ReadAnswer(msgspec.Struct, frozen=True):
    """Records from an offset on; `first` is the oldest that is kept."""

    first: int
    next: int
    records: tuple[LogRecord, ...]


class AppendAnswer(msgspec.Struct, frozen=True):
    """The offset that a record was given."""

    offset: int


class VmState(enum.StrEnum):
    """The state of a VM on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """A VM on the list: an entry VM or one that holds an endpoint."""

    name: str
    availability_zone: str
    host: str
    state: VmState = VmState.LIVE
    hint_port: int = 0
    catch_up_port: int = 0
    admin_port: int = 0

    @property
    def is_entry(self) -> bool:
        """Whether the VM runs this router."""
        return self.hint_port > 0


class VmListAnswer(msgspec.Struct, frozen=True):
    """The platform's list of VMs."""

    vms: tuple[ListedVm, ...]
