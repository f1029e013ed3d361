"""Permission to dispatch a request to an endpoint."""

from typing import Protocol


class DisconnectWatch(Protocol):
    """Aborts a request if its caller disconnects."""

    def stop(self) -> None:
        """Ends the watch; the request is no longer aborted."""
        ...


class DispatchPermit(Protocol):
    """Decides whether a request may be dispatched, and how often.

    Attributes:
        retry_safe: Whether the request may be sent again even if it may have
            run.
    """

    retry_safe: bool

    def attach_watch(self, watch: DisconnectWatch) -> None:
        """Hands over the watch on the caller's connection."""
        ...

    def before_dispatch(self) -> None:
        """Called before each dispatch; returns if it may happen.

        Raises:
            errors.RefusalError: The request must not be dispatched.
        """
        ...


class UnrestrictedPermit:
    """Allows every dispatch."""

    def __init__(self, retry_safe: bool = True):
        self.retry_safe = retry_safe

    def attach_watch(self, watch: DisconnectWatch) -> None:
        """Does nothing, so that the watch stays active during the run."""

    def before_dispatch(self) -> None:
        """Does nothing."""


UNRESTRICTED = UnrestrictedPermit()
