"""Ends requests whose forwarding raised an error that nobody expected."""

import structlog

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import response_checks
from hornbeampier.forwarding import selection
from hornbeampier.forwarding import streams
from hornbeampier.http1 import server

MESSAGE = "an unexpected error ended the request"


def end(
    exc: Exception,
    caller: server.ServerConnection,
    known_verdict: verdict.Verdict,
    events: int,
    log: structlog.typing.FilteringBoundLogger,
) -> None:
    """Logs the error, and raises the one that tells the caller what is known.

    A response that is complete stands.

    Args:
        exc: The unexpected error.
        caller: The connection to the caller.
        known_verdict: What is known of the attempts at the request.
        events: Number of events passed on.
        log: The logger of the request.

    Raises:
        streams.InterruptedStreamError: The caller has part of a response.
        errors.RefusalError: The caller has nothing of a response.
    """
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
        raise streams.InterruptedStreamError(MESSAGE) from exc
    raise response_checks.make_refusal(
        errors.RefusalCode.INTERNAL,
        MESSAGE,
        known_verdict,
        selection.RETRY_AFTER_MS,
    ) from exc
