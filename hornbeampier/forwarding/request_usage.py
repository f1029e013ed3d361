"""Counts a request for its client account, at most once."""

from typing import Protocol

from hornbeampier import clock as clocks
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.routing import domain
from hornbeampier.routing import requests


class UsageRecorder(Protocol):
    """Counts requests that endpoints began to run."""

    def record(self, account: str, at_ms: float) -> None:
        """Counts a request of an account at a time on the monotonic clock."""
        ...

    def add_undecided(self, req: "RequestUsage") -> None:
        """Adds a request of which it is not known yet whether it was run."""
        ...

    def remove_undecided(self, req: "RequestUsage") -> None:
        """Removes a request of which it is known whether it was run."""
        ...


class NoUsage:
    """Counts nothing, for deployments that do not report usage."""

    def record(self, account: str, at_ms: float) -> None:
        """Does nothing."""

    def add_undecided(self, req: "RequestUsage") -> None:
        """Does nothing."""

    def remove_undecided(self, req: "RequestUsage") -> None:
        """Does nothing."""


class RequestUsage:
    """Counts one request at most once over all its attempts.

    A stream counts at its first event. A plain request counts at the time it
    was sent to the first endpoint that ran it, or may have run it.
    """

    def __init__(
        self,
        recorder: UsageRecorder,
        req: requests.Request,
        clock: clocks.Clock,
    ):
        self._recorder = recorder
        self._clock = clock
        self._is_stream = req.route.semantics is domain.RequestSemantics.STREAM
        # None once the request is counted, or if it does not count.
        self._account = req.account.name if req.account else None
        self._attempt: endpoint_attempt.EndpointAttempt | None = None

    @property
    def sent_ms(self) -> float | None:
        """When the request was sent, on the monotonic clock; None before."""
        return self._attempt.sent_ms if self._attempt else None

    def begin(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        """Records that an attempt is about to be made."""
        self._attempt = attempt
        if self._account is not None and not self._is_stream:
            self._recorder.add_undecided(self)

    def on_block(self) -> None:
        """Records a block of a stream that was not resumed."""
        self._count_at(self._clock.now())

    def record_run(self) -> None:
        """Records that the endpoint has, or may have, run the request."""
        if not self._is_stream:
            self.count()

    def end(self) -> None:
        """Records the end of the attempt."""
        self._recorder.remove_undecided(self)
        self._attempt = None

    def count(self) -> None:
        """Counts a plain request at the time it was sent."""
        if self.sent_ms is not None:
            self._count_at(self.sent_ms)

    def _count_at(self, at_ms: float) -> None:
        if self._account is not None:
            self._recorder.record(self._account, at_ms)
            self._account = None
