"""Decides which responses of endpoints may be passed on to the caller."""

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.platform import headers

# To callers, these statuses guarantee that the request has not run and never
# will. An endpoint's response with one of them is never passed on.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500


def check(response: headers.ResponseFields) -> None:
    """Raises errors.AttemptError for a response that is not passed on."""
    if response.not_executed:
        raise errors.AttemptError(
            f"the endpoint declined the request with status {response.status}",
            verdict.Verdict.NOT_RUN,
            declines_all=True,
        )
    if response.has_content_coding or not response.is_signed:
        raise errors.AttemptError(
            f"the response with status {response.status} is unsigned or "
            "content-encoded, so it is not the endpoint's own",
            verdict.Verdict.MAY_HAVE_RUN,
        )
    if response.status in NOT_EXECUTED_STATUSES:
        raise errors.AttemptError(
            f"the endpoint responded with status {response.status} but did not "
            "declare that the request has not run",
            verdict.Verdict.MAY_HAVE_RUN,
        )


def is_success(response: headers.ResponseFields) -> bool:
    """Whether the endpoint served the request."""
    return response.status < FIRST_REDIRECT


def is_server_error(response: headers.ResponseFields) -> bool:
    """Whether the endpoint ran the request and reported an error."""
    return response.status >= FIRST_SERVER_ERROR


def make_refusal(
    code: errors.RefusalCode,
    message: str,
    combined_verdict: verdict.Verdict,
    retry_after_ms: float,
) -> errors.RefusalError:
    """Returns the refusal of a request, given its attempts' combined verdict.

    Only a request that has certainly not run gets status 503.
    """
    if not combined_verdict.may_have_run:
        return errors.RefusalError(
            503, code, message, retry_after_ms=retry_after_ms
        )
    timed_out = code is errors.RefusalCode.ENDPOINT_TIMEOUT
    return errors.RefusalError(
        504 if timed_out else 502, code, message, combined_verdict
    )
