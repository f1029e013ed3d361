"""The state of a lease that a VM holds, and the next step of a VM."""

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


@dataclasses.dataclass(slots=True)
class Hold:
    """The lease while this VM holds it.

    Attributes:
        token: The fencing token.
        era: Era of the last acknowledged append.
        records: The duty's records as this VM knows them.
        renewed_ms: When the last acknowledged append began.
        acquired_ms: Start of the time in which the term has not lapsed.
        acts_from_ms: When this VM may act for the first time.
        is_suspended: Whether the term has lapsed and this was logged.
    """

    token: int
    era: int
    records: Mapping[str, bytes]
    renewed_ms: float
    acquired_ms: float
    acts_from_ms: float
    is_suspended: bool = False
