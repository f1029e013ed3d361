"""Which answers of endpoints may be passed on."""

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.platform import headers

# These statuses promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500


def check(answer: headers.ResponseFields) -> None:
    """Raises errors.AttemptError for an answer that is not passed on."""
    if answer.not_executed:
        raise errors.AttemptError(
            f"rejected with {answer.status}",
            verdict.Verdict.NOT_RUN,
            refuses_all=True,
        )
    if answer.has_content_coding or not answer.is_signed:
        raise errors.AttemptError(
            f"response {answer.status} is not the endpoint's own",
            verdict.Verdict.MAY_HAVE_RUN,
        )
    if answer.status in PROMISES:
        raise errors.AttemptError(
            f"status {answer.status} without a promise",
            verdict.Verdict.MAY_HAVE_RUN,
        )


def is_success(answer: headers.ResponseFields) -> bool:
    """Whether the endpoint served the request."""
    return answer.status < FIRST_REDIRECT


def is_server_error(answer: headers.ResponseFields) -> bool:
    """Whether the endpoint ran the request and failed."""
    return answer.status >= FIRST_SERVER_ERROR


def make_final(
    code: errors.RefusalCode,
    message: str,
    known: verdict.Verdict,
    retry_after_ms: float,
) -> errors.RefusalError:
    """Returns the refusal of a request whose attempts have this verdict."""
    if not known.may_have_run:
        return errors.RefusalError(
            503, code, message, retry_after_ms=retry_after_ms
        )
    timed_out = code is errors.RefusalCode.ENDPOINT_TIMEOUT
    return errors.RefusalError(504 if timed_out else 502, code, message, known)
