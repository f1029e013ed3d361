"""The log line and the metrics of a request that was served."""

import structlog

from hornbeampier.forwarding import context as contexts
from hornbeampier.forwarding import streams
from hornbeampier.routing import requests


def record_served(
    log: structlog.typing.FilteringBoundLogger,
    context: contexts.Context,
    req: requests.Request,
    status: int,
    attempts: int,
    relay: streams.StreamRelay,
) -> None:
    """Logs and counts a request whose response has been passed on.

    Args:
        log: The logger of the request.
        context: The components that all requests share.
        req: The request.
        status: Status of the response.
        attempts: Number of attempts at endpoints.
        relay: What the caller got of a stream.
    """
    _count(context, req, status, relay.first_event_ms)
    log.info(
        "served",
        status=status,
        attempts=attempts,
        events=relay.events,
        pause_ms=round(relay.longest_delay_ms),
        first_ms=_since_arrival_ms(req, relay.first_event_ms),
        took_ms=_since_arrival_ms(req, context.clock.now()),
    )


def _count(
    context: contexts.Context,
    req: requests.Request,
    status: int,
    first_event_ms: float | None,
) -> None:
    route = req.route.name
    context.metrics.record_response(route, status)
    context.metrics.record_attempt(req.service, "answered")
    if first_event_ms is not None:
        context.metrics.record_first_event(
            route, first_event_ms - req.arrived_ms
        )


def _since_arrival_ms(req: requests.Request, at_ms: float | None) -> int | None:
    return None if at_ms is None else round(at_ms - req.arrived_ms)
