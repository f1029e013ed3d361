"""Exceptions and refusal codes shared by all packages."""

import enum

import msgspec

from hornbeampier import verdict

# Exceptions that decoding malformed bytes from another process may raise.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class RefusalCode(enum.StrEnum):
    """The cause of a refusal, as reported to callers and in logs."""

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
    THROTTLED = "throttled"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    INCOMPLETE_ANSWER = "incomplete_answer"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_ORIGIN_GONE = "stream_origin_gone"
    IN_PROGRESS = "in_progress"
    ALREADY_RAN = "already_ran"
    MAY_HAVE_RUN = "may_have_run"
    KEY_REUSED = "key_reused"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class RefusalError(Exception):
    """The router's own error response to a caller.

    Attributes:
        status: The HTTP status code.
        code: The cause.
        verdict: Whether the request may have run.
        retry_after_ms: Delay after which the caller may retry, or None if no
            Retry-After header is sent.
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
    """Ends a request that is still open when the VM shuts down.

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
        verdict: Whether the request may have run on the endpoint.
        connection_lost: Whether the connection was lost after it was made, or
            this VM was paused; false if the endpoint exceeded a timeout.
        declined: Whether the endpoint declined the request unrun because it is
            leaving or full.
        declines_all: Whether the endpoint declines every request for now.
        timed_out: Whether the endpoint exceeded a timeout.
        silent: Whether the connection was lost because the endpoint's host no
            longer answered, and not because it closed the connection.
        unsent: Whether no byte of the request was sent to the endpoint.
        withheld: Whether it was not sent, though the endpoint could be reached:
            it has left or wants fewer requests, or the deadline has passed.
        unproved: Whether it was not sent, though the endpoint could be reached:
            nothing proves that its process is the expected one.
    """

    def __init__(
        self,
        message: str,
        verdict: verdict.Verdict,
        connection_lost: bool = False,
        declined: bool = False,
        declines_all: bool = False,
        timed_out: bool = False,
        silent: bool = False,
        unsent: bool = False,
        withheld: bool = False,
        unproved: bool = False,
    ):
        super().__init__(message)
        self.verdict = verdict
        self.unsent = unsent
        self.withheld = withheld
        self.unproved = unproved
        self.connection_lost = connection_lost
        self.declined = declined
        self.declines_all = declines_all
        self.timed_out = timed_out
        self.silent = silent

    @property
    def was_sent(self) -> bool:
        """Whether the request, or a part of it, was sent."""
        return not (self.unsent or self.withheld)


class PreemptedError(Exception):
    """A request lost its slot to a higher tier and has to be resumed."""


class PlatformError(Exception):
    """A platform service was unreachable, refused a call or sent bad data."""


class PeerError(Exception):
    """A datagram from a peer cannot be decoded."""


class AppendOutcomeUnknownError(PlatformError):
    """An append may have taken effect although the log did not confirm it.

    Its response was lost, unreadable or of an unexpected status.
    """


class OffsetTrimmedError(PlatformError):
    """The records at the requested offset have been trimmed from the log.

    Attributes:
        first_offset: The offset of the oldest record that the log retains.
    """

    def __init__(self, first_offset: int):
        super().__init__(
            f"offset trimmed; the log starts at offset {first_offset}"
        )
        self.first_offset = first_offset


class InvalidFileError(Exception):
    """A file, or an address on the command line, is unreadable or invalid.

    Attributes:
        problems: One `key.path: problem` line for each problem.
    """

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("; ".join(problems))
        self.problems = problems
