"""Typed errors shared by the packages."""

import enum

import msgspec

from hornbeampier import verdict

# What decoding bytes of another process may raise.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class RefusalCode(enum.StrEnum):
    """The cause of a refusal, as callers and logs see it."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    OVERLOADED = "overloaded"
    WAIT_TIMEOUT = "wait_timeout"
    NO_ENDPOINT = "no_endpoint"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    INCOMPLETE_ANSWER = "incomplete_answer"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    IN_PROGRESS = "in_progress"
    ALREADY_RAN = "already_ran"
    MAY_HAVE_RUN = "may_have_run"
    KEY_REUSED = "key_reused"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class RefusalError(Exception):
    """A final answer other than the one the caller asked for.

    Attributes:
        status: The HTTP status code.
        code: The cause.
        verdict: Whether the request may have run.
        retry_after_ms: When the caller may try again, or None.
    """

    def __init__(
        self,
        status: int,
        code: RefusalCode,
        message: str,
        verdict: verdict.Verdict = verdict.Verdict.NOT_RUN,
        retry_after_ms: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms


class ShutdownError(BaseException):
    """The VM shuts down and ends a request that is still open.

    Not an `Exception`, so that no handler of ordinary errors swallows it.

    Attributes:
        verdict: Whether the request may have run.
    """

    def __init__(self):
        super().__init__("this VM is shutting down")
        self.verdict = verdict.Verdict.MAY_HAVE_RUN


class AttemptError(Exception):
    """One attempt at an endpoint failed.

    Attributes:
        verdict: Whether the request may have run there.
        crashed: Whether the endpoint dropped the connection while it ran.
        declined: Whether the endpoint refused because it is leaving or full.
        refuses_all: Whether it refuses all new work for now.
        timed_out: Whether the endpoint was silent for too long.
        unsent: Whether no byte of the request reached the endpoint.
    """

    def __init__(
        self,
        message: str,
        verdict: verdict.Verdict,
        crashed: bool = False,
        declined: bool = False,
        refuses_all: bool = False,
        timed_out: bool = False,
        unsent: bool = False,
    ):
        super().__init__(message)
        self.verdict = verdict
        self.unsent = unsent
        self.crashed = crashed
        self.declined = declined
        self.refuses_all = refuses_all
        self.timed_out = timed_out


class PreemptedError(Exception):
    """A request gave its slot to a higher tier and is to be resumed."""


class PlatformError(Exception):
    """The platform could not be reached or refused the call."""


class PeerError(Exception):
    """A message of another VM cannot be used."""


class AppendUnknownError(PlatformError):
    """An append may have taken effect although its answer was lost."""


class OffsetForgottenError(PlatformError):
    """The log no longer keeps the requested offset.

    Attributes:
        first: The oldest offset that the log still keeps.
    """

    def __init__(self, first: int):
        super().__init__(f"the log's oldest record is at offset {first}")
        self.first = first


class InvalidFileError(Exception):
    """A declarative file failed its check.

    Attributes:
        problems: One `key.path: what is wrong` line for each problem.
    """

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("; ".join(problems))
        self.problems = problems
