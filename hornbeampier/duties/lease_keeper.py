"""Keeps the lease of one duty in the platform's store."""

from hornbeampier import application
from hornbeampier.duties import terms


class LeaseKeeper(application.TaskComponent):
    """The component that acquires, renews and releases one lease."""

    def run(self) -> None:
        """Keeps the lease until killed."""

    def term(self) -> terms.Term | None:
        """Returns the permission to act, or None if this VM has none now."""
        return None

    def held_ms(self) -> float | None:
        """Returns for how long this VM has held the lease, or None."""
        return None

    def records(self) -> dict[str, bytes]:
        """Returns the newest record of each key, as last read or appended."""
        return {}

    def append(self, key: str, value: bytes) -> bool:
        """Writes a record; returns whether it lasts and the lease still holds.

        If not, the record may have been written all the same.
        """
        return False

    def record_refused(self, token: int) -> None:
        """Records that the API has seen a higher token."""
