"""What the store keeps of a lease, and the calls that read and append it."""

from collections.abc import Mapping
import dataclasses
from typing import Protocol

from hornbeampier import errors

# Bits of the offset in a token; those above hold the era.
ERA_SHIFT = 32
# The store's first era: it has never returned from an older copy.
FIRST_ERA = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRecord:
    """The record with which a VM acquires, renews or releases a lease.

    Attributes:
        vm: The name of the VM.
        process: Random number of the VM's process.
        era: The store's era as its writer knew it. If the record is found in
            another era, the store may have lost later records.
        released: Whether the holder has stopped acting.
    """

    vm: str
    process: int
    era: int
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """The partition of a duty.

    Attributes:
        holder: The newest holder record, or None.
        records: The newest value of each other key.
        end: The offset of the next record.
        era: The store's era, which rises when it returns from an older copy.
    """

    holder: HolderRecord | None
    records: Mapping[str, bytes]
    end: int
    era: int

    def is_free_for(self, process: int) -> bool:
        """Whether a process may acquire the lease without observing it."""
        record = self.holder
        if record is None:
            return self.era <= FIRST_ERA
        if record.era != self.era:
            return False
        return record.released or record.process == process


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """An acknowledged append; `offset` is that of its first record."""

    offset: int
    end: int
    era: int

    @property
    def token(self) -> int:
        """The fencing token; no other append of any era has it."""
        return (self.era << ERA_SHIFT) | (self.offset + 1)


class AppendConflictError(errors.PlatformError):
    """The partition does not end where the append expected it."""


class LeaseStore(Protocol):
    """The store's partition of a duty."""

    def read(self) -> Contents:
        """Returns the partition's contents.

        Raises:
            errors.PlatformError: The store sent no valid response.
        """
        ...

    def append(
        self, at: int, holder: HolderRecord | None, records: Mapping[str, bytes]
    ) -> Appended:
        """Appends records if the partition ends at `at`.

        Raises:
            AppendConflictError: The partition ends elsewhere.
            errors.PlatformError: No valid response came. The store may execute
                the append later if the condition still holds then.
        """
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...
