"""Ends requests before they are forwarded to their end.

Callers are told what is known of their request. A response that is complete
stands, and one that has begun is cut off.
"""

import structlog

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import response_checks
from hornbeampier.forwarding import selection
from hornbeampier.forwarding import streams
from hornbeampier.http1 import server

UNEXPECTED = "an unexpected error ended the request"
SHUTDOWN = "this VM is shutting down"


def end(
    exc: Exception | errors.ShutdownError,
    caller: server.ServerConnection,
    known_verdict: verdict.Verdict,
    events: int,
    log: structlog.typing.FilteringBoundLogger,
) -> None:
    """Ends a request after an unexpected error, or as its VM stops.

    Args:
        exc: The error.
        caller: The connection to the caller.
        known_verdict: What is known of the attempts at the request.
        events: Number of events passed on.
        log: The logger of the request.

    Raises:
        streams.InterruptedStreamError: The caller has part of a response.
        errors.RefusalError: The caller has nothing of a response.
    """
    if isinstance(exc, errors.ShutdownError):
        refusal = response_checks.make_refusal(
            errors.RefusalCode.DRAINING, SHUTDOWN, known_verdict, 0.0
        )
    else:
        refusal = response_checks.make_refusal(
            errors.RefusalCode.INTERNAL,
            UNEXPECTED,
            known_verdict,
            selection.RETRY_AFTER_MS,
        )
        log.error(
            "internal_error",
            verdict=known_verdict.value,
            events=events,
            complete=caller.response_complete,
            exc_info=exc,
        )
    if caller.response_complete:
        return
    if caller.response_begun:
        raise streams.InterruptedStreamError(refusal.message) from exc
    raise refusal from exc
