"""What a duty needs: permission to act, durable records and the API's calls."""

import dataclasses
import enum
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """Permission of one VM to act on a duty.

    Attributes:
        holder: The name of the VM.
        token: Fencing token, which rises with every change of the holder.
        expires_ms: Until when a call may last, on the monotonic clock.
    """

    holder: str
    token: int
    expires_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEra:
    """The era of the store, which rises when it returns from an older copy.

    Attributes:
        number: The era.
        seen_ms: When this process first saw it, on the monotonic clock.
    """

    number: int
    seen_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointOrder:
    """The number of endpoints that a service is to have in a zone.

    Attributes:
        desired: The number that is to be present, of this kind only.
        spot: Whether spot endpoints are ordered.
    """

    service: str
    availability_zone: str
    desired: int
    spot: bool


class Outcome(enum.Enum):
    """The outcome of a call to the platform's API.

    REFUSED means that a higher token was seen or, for an order, that no
    endpoint is available. UNKNOWN means that the call may yet be executed.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class DutyLease(Protocol):
    """The lease of one duty."""

    def term(self) -> Term | None:
        """Returns the permission to act, or None if this VM has none now."""
        ...

    def era(self) -> StoreEra | None:
        """Returns the era that the records are of; None without the lease."""
        ...

    def records(self) -> dict[str, bytes]:
        """Returns the newest record of each key, as last read or appended."""
        ...

    def append(self, key: str, value: bytes) -> bool:
        """Writes a record; returns whether it lasts and the lease still holds.

        If not, the record may have been written all the same.
        """
        ...

    def record_refused(self, token: int) -> None:
        """Records that the API refused `token`, having seen a higher one."""
        ...


class DutyApi(Protocol):
    """The platform's calls for duties."""

    def report_usage(
        self, term: Term, window: int, counts: dict[str, int]
    ) -> Outcome:
        """Reports the requests of each client account in a window."""
        ...

    def order_endpoints(self, term: Term, order: EndpointOrder) -> Outcome:
        """Orders a number of endpoints."""
        ...
