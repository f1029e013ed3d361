"""Permission to dispatch a request to an endpoint."""

from typing import Protocol


class Watch(Protocol):
    """Aborts a request if its caller disconnects."""

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
        """Hands over the watch on the caller's connection."""
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
        """Does nothing: a run is aborted if the caller disconnects."""

    def confirm(self) -> None:
        """Does nothing."""


OPEN = OpenPermit()
