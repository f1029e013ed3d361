"""The next step of a VM that takes part in a lease."""

from collections.abc import Mapping
import dataclasses

from hornbeampier.duties import lease_records


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """The next step is to read the partition."""


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """The next step is to append records.

    Attributes:
        at: The contents on whose end the append is conditional.
        holder: The new holder record, or None to leave it as it is.
        records: The new values of other keys.
        began_ms: When the step began, on the monotonic clock.
    """

    at: lease_records.Contents
    holder: lease_records.HolderRecord | None
    records: Mapping[str, bytes]
    began_ms: float


Step = Read | Append
