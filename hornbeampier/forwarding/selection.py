"""Selects the endpoint for each attempt at a request, or says why none."""

import random

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.routing import dispatch
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import requests
from hornbeampier.routing import retry_delays

# Retry-After of a refused request that has not run on any endpoint.
RETRY_AFTER_MS = 200.0
# How long a request may wait for endpoints that want fewer requests, as a
# fraction of its latency target, and the shortest interval of the checks.
PERMISSION_WAIT_FRACTION = 0.2
MIN_PERMISSION_WAIT_MS = 5.0


class NoEndpointError(Exception):
    """No endpoint is left for an attempt.

    Attributes:
        code: The cause, as reported to the caller.
        retry_after_ms: When a retry makes sense.
    """

    def __init__(
        self,
        code: errors.RefusalCode,
        message: str,
        retry_after_ms: float = RETRY_AFTER_MS,
    ):
        super().__init__(message)
        self.code = code
        self.retry_after_ms = retry_after_ms


class EndpointSelector:
    """Selects the endpoints of one request."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        req: requests.Request,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._dispatcher = dispatcher
        self._req = req
        self._clock = clock
        self._rng = rng

    def select(
        self, tried: set[str], version: str | None = None
    ) -> endpoint_choice.EndpointChoice:
        """Returns an endpoint; waits shortly if all want fewer requests.

        Args:
            tried: Ids of endpoints to leave out.
            version: Software version that the endpoint must run; None for any.

        Raises:
            NoEndpointError: None is left, or none may get a request in time.
            errors.RefusalError: The chosen engine is overloaded.
        """
        target_ms = self._req.route.latency_target_ms
        end_ms = self._req.arrived_ms + PERMISSION_WAIT_FRACTION * target_ms
        while True:
            choice = self._dispatcher.choose(self._req, tried, version)
            if choice is not None:
                return choice
            opens_in_ms = self._dispatcher.opens_in_ms(
                self._req, tried, version
            )
            if opens_in_ms is None:
                raise _no_endpoint_left(tried, version)
            if self._clock.now() + opens_in_ms >= end_ms:
                raise self._throttled(opens_in_ms)
            self._clock.sleep(max(MIN_PERMISSION_WAIT_MS, opens_in_ms))

    def has_candidates(
        self, tried: set[str], version: str | None = None
    ) -> bool:
        """Whether an endpoint outside `tried` may get the request now."""
        return self._dispatcher.has_candidates(self._req, tried, version)

    def withheld(self) -> dict[str, str]:
        """Returns why endpoints want fewer requests, by endpoint id."""
        return self._dispatcher.withheld(self._req)

    def _throttled(self, opens_in_ms: float) -> NoEndpointError:
        remaining_ms = self._req.deadline_ms - self._clock.now()
        return NoEndpointError(
            errors.RefusalCode.THROTTLED,
            "all endpoints of the service want fewer requests: "
            f"{self.withheld()}",
            retry_delays.spread(opens_in_ms, remaining_ms, self._rng),
        )


def _no_endpoint_left(tried: set[str], version: str | None) -> NoEndpointError:
    if version is not None:
        return NoEndpointError(
            errors.RefusalCode.STREAM_ORIGIN_GONE,
            f"no other endpoint of software version {version}, which began the "
            "stream, is available",
        )
    if tried:
        return NoEndpointError(
            errors.RefusalCode.ENDPOINT_FAILED,
            "no other endpoint is left for a retry",
        )
    return NoEndpointError(
        errors.RefusalCode.NO_ENDPOINT,
        "no endpoint of the service is available",
    )
