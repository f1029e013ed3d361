"""Permission to dispatch a request to an endpoint."""

from typing import Protocol


class Watch(Protocol):
    """The watch for a caller that goes away."""

    def stop(self) -> None:
        """Ends the watch; the request is no longer aborted."""
        ...


class Permit(Protocol):
    """Decides whether a request may be dispatched, and how often.

    Attributes:
        repeatable: Whether the request may be sent again after it may have
            run.
    """

    repeatable: bool

    def attach(self, watch: Watch) -> None:
        """Hands over the watch on the caller."""
        ...

    def confirm(self) -> None:
        """Returns if the request may be dispatched now.

        Raises:
            errors.RefusalError: It must not be dispatched.
        """
        ...


class OpenPermit:
    """Allows every dispatch."""

    def __init__(self, repeatable: bool = True):
        self.repeatable = repeatable

    def attach(self, watch: Watch) -> None:
        """Does nothing; the watch goes on during the run."""

    def confirm(self) -> None:
        """Does nothing."""


OPEN = OpenPermit()
