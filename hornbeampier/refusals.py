"""Refusals whose verdict covers all attempts at a request."""

from hornbeampier import attempts
from hornbeampier import errors
from hornbeampier import verdict

RETRY_AFTER_MS = 1_000.0


def with_overall_verdict(
    exc: errors.RefusalError, progress: attempts.Progress
) -> errors.RefusalError:
    """Returns the refusal with a verdict that covers earlier attempts.

    Once a part of the response was received, the refusal says that the response
    is incomplete.
    """
    if progress.texts:
        return _incomplete_response()
    if progress.may_have_run and exc.verdict is verdict.Verdict.NOT_RUN:
        return errors.RefusalError(
            exc.status,
            exc.code,
            exc.message,
            verdict.Verdict.MAY_HAVE_RUN,
            exc.retry_after_ms,
        )
    return exc


def final_refusal(
    exc: errors.AttemptError, progress: attempts.Progress
) -> errors.RefusalError:
    """Returns the refusal of a request whose last attempt failed."""
    if progress.texts:
        return _incomplete_response()
    overall_verdict = verdict.Verdict.NOT_RUN
    if progress.may_have_run:
        overall_verdict = verdict.Verdict.MAY_HAVE_RUN
    return errors.RefusalError(
        504 if exc.timed_out else 503,
        errors.RefusalCode.ENDPOINT_TIMEOUT
        if exc.timed_out
        else errors.RefusalCode.ENDPOINT_FAILED,
        str(exc),
        overall_verdict,
        RETRY_AFTER_MS,
    )


def _incomplete_response() -> errors.RefusalError:
    return errors.RefusalError(
        502,
        errors.RefusalCode.INCOMPLETE_ANSWER,
        "the response was interrupted and could not be resumed",
        verdict.Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )
