"""At most one run per `Idempotency-Key`; repeats get the stored response."""

from collections.abc import Callable
from collections.abc import Iterator
import hashlib
import re

import structlog

from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import permits
from hornbeampier import request_info
from hornbeampier import verdict
from hornbeampier import wsgi
from hornbeampier.coordination import claim_index
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import claims

KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,255}$")
REPLAYED = ("Idempotent-Replayed", "true")
# Larger responses are not stored; repeats of their requests are refused.
MAX_STORED_BYTES = 4_096
UNAVAILABLE_RETRY_MS = 1_000.0
IN_PROGRESS_RETRY_MS = 1_000.0
# A claim older than this without an outcome no longer counts as in progress.
IN_PROGRESS_MS = 300_000.0
DIGEST_BYTES = 16

RunRequest = Callable[[Callable, permits.DispatchPermit], Iterator[bytes]]


class KeyTakenError(Exception):
    """Another request holds the key; this one was not dispatched."""


def read_key(environ) -> str | None:
    """Returns the idempotency key of a request, or None without one.

    Raises:
        errors.RefusalError: The key is malformed.
    """
    key = environ.get(KEY_HEADER)
    if key is None or KEY_PATTERN.match(key):
        return key
    raise errors.RefusalError(
        400,
        errors.RefusalCode.BAD_REQUEST,
        "Idempotency-Key: must be 1 to 255 visible ASCII characters",
    )


class KeyedPermit:
    """Permits the dispatch of a request once it has claimed its key.

    Attributes:
        key: Digest of the client account and its idempotency key.
        fingerprint: Digest of what has to be equal in repeats of the request.
    """

    retry_safe = False

    def __init__(
        self,
        claims: claims.Claims,
        env: environment.Environment,
        info: request_info.RequestInfo,
        key: str,
        fingerprint: str,
    ):
        self._claims = claims
        self._env = env
        self._info = info
        self._watch: permits.DisconnectWatch | None = None
        self._claim_id: str | None = None
        self._dispatched = False
        self.key = key
        self.fingerprint = fingerprint

    def attach_watch(self, watch: permits.DisconnectWatch) -> None:
        """Sets the disconnect watch, which the first dispatch stops."""
        self._watch = watch

    def before_dispatch(self) -> None:
        """Claims the key once and checks the deadline before each dispatch.

        A disconnect no longer aborts the request from here on, because its
        response is stored for repeats.

        Raises:
            KeyTakenError: Another request holds the key.
            errors.RefusalError: The key cannot be claimed, or the deadline has
                passed.
        """
        if self._watch:
            self._watch.stop()
        if self._claim_id is None:
            self._claim_id = self._claim()
        if self._env.clock.now() > self._info.deadline_ms:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.WAIT_TIMEOUT,
                "the deadline passed before the request was dispatched",
                retry_after_ms=UNAVAILABLE_RETRY_MS,
            )
        self._dispatched = True

    def _claim(self) -> str:
        try:
            claim_id = self._claims.claim(self.key, self.fingerprint)
        except claims.ClaimsUnavailableError as exc:
            raise _claims_unavailable_refusal() from exc
        if claim_id is None:
            raise KeyTakenError
        return claim_id

    def finish(
        self,
        run_verdict: verdict.Verdict | None,
        response: claim_records.StoredResponse | None = None,
    ) -> None:
        """Releases the claim or records its outcome.

        Args:
            run_verdict: Whether the request ran; None if unknown, so that a
                dispatched request counts as one that may have run.
            response: The response to store for repeats, if any.
        """
        claim_id, self._claim_id = self._claim_id, None
        if claim_id is None:
            return
        if run_verdict is None:
            run_verdict = verdict.Verdict.NOT_RUN
            if self._dispatched:
                run_verdict = verdict.Verdict.MAY_HAVE_RUN
        if run_verdict is verdict.Verdict.NOT_RUN:
            self._claims.release(self.key, claim_id)
        else:
            self._claims.record_outcome(
                self.key, claim_id, run_verdict, response
            )


class _ResponseRecorder:
    """Records a response, up to `MAX_STORED_BYTES` of its body."""

    def __init__(self, start_response):
        self._start_response = start_response
        self._status = 0
        self._headers: dict[str, str] = {}
        self._blocks: list[bytes] = []
        self._size = 0

    def start(self, status: str, headers, exc_info=None):
        """Records the status and the headers and passes them on."""
        self._status = int(status.split(" ", 1)[0])
        self._headers = {name.lower(): value for name, value in headers}
        return self._start_response(status, headers)

    def add(self, block: bytes) -> None:
        """Records a block of the body."""
        self._size += len(block)
        if self._size <= MAX_STORED_BYTES:
            self._blocks.append(block)

    @property
    def is_complete(self) -> bool:
        """Whether a response of known length has been recorded completely."""
        length = self._headers.get("content-length")
        return length is not None and self._size >= int(length)

    def stored_response(self) -> claim_records.StoredResponse | None:
        """Returns the copy, or None if the response is too large."""
        if self._size > MAX_STORED_BYTES:
            return None
        return claim_records.StoredResponse(
            self._status,
            self._headers.get("content-type", ""),
            b"".join(self._blocks),
        )


class IdempotencyGuard:
    """Runs the request of each key at most once and responds to repeats."""

    def __init__(self, claims: claims.Claims, env: environment.Environment):
        self._claims = claims
        self._env = env
        self._log = structlog.get_logger(task="idempotency")

    def serve(
        self,
        info: request_info.RequestInfo,
        key: str,
        fingerprint_parts: tuple[bytes, ...],
        start_response,
        run_request: RunRequest,
    ) -> Iterator[bytes]:
        """Yields the response of `run_request`, or the stored one of its key.

        Args:
            info: What the scheduler knows about the request.
            key: The idempotency key that the caller sent.
            fingerprint_parts: Values that are equal in all repeats of a
                request.
            start_response: The WSGI callable.
            run_request: Runs the request; dispatches it only as the permit
                allows.

        Raises:
            errors.RefusalError: The request was not run, or it may have run
                but no response of the run can be given.
        """
        permit = KeyedPermit(
            self._claims,
            self._env,
            info,
            _digest(info.account.name.encode(), key.encode()),
            _digest(*fingerprint_parts),
        )
        if self._claims.find(permit.key) is None:
            if not self._claims.available:
                raise _claims_unavailable_refusal()
            try:
                yield from _run_with_claim(permit, start_response, run_request)
                return
            except KeyTakenError:
                self._log.info("key_taken", request_id=info.request_id)
        yield from self._respond_to_repeat(permit, info, start_response)

    def _respond_to_repeat(
        self,
        permit: KeyedPermit,
        info: request_info.RequestInfo,
        start_response,
    ) -> Iterator[bytes]:
        entry = self._claims.find(permit.key)
        if entry is None:
            raise _in_progress_refusal()
        if entry.fingerprint != permit.fingerprint:
            raise errors.RefusalError(
                422,
                errors.RefusalCode.KEY_REUSED,
                "the Idempotency-Key was used for a different request",
            )
        if entry.run_verdict is not verdict.Verdict.RAN:
            raise self._unfinished_refusal(entry)
        response = self._claims.read_stored_response(entry)
        if response is None:
            raise errors.RefusalError(
                409,
                errors.RefusalCode.ALREADY_RAN,
                "the request ran, but its response was not stored or cannot be"
                " read",
                verdict.Verdict.RAN,
            )
        self._log.info("replayed", request_id=info.request_id)
        start_response(
            wsgi.status_line(response.status),
            [
                ("Content-Type", response.content_type),
                ("Content-Length", str(len(response.body))),
                ("X-Request-Id", info.request_id),
                REPLAYED,
            ],
        )
        yield response.body

    def _unfinished_refusal(
        self, entry: claim_index.KeyHolder
    ) -> errors.RefusalError:
        age_ms = self._env.clock.unix() - entry.claimed_at_ms
        if entry.run_verdict is None and age_ms < IN_PROGRESS_MS:
            return _in_progress_refusal()
        return errors.RefusalError(
            409,
            errors.RefusalCode.MAY_HAVE_RUN,
            "the request may have run; its outcome is unknown",
            verdict.Verdict.MAY_HAVE_RUN,
        )


def _run_with_claim(
    permit: KeyedPermit, start_response, run_request: RunRequest
) -> Iterator[bytes]:
    """Yields the response of a keyed request and settles its claim.

    After a disconnect the rest of the response is recorded for repeats.
    """
    recorder = _ResponseRecorder(start_response)
    blocks = run_request(recorder.start, permit)
    try:
        for block in blocks:
            recorder.add(block)
            if recorder.is_complete:
                permit.finish(verdict.Verdict.RAN, recorder.stored_response())
            try:
                yield block
            except GeneratorExit:
                _record_rest(blocks, recorder, permit)
                raise
        permit.finish(verdict.Verdict.RAN, recorder.stored_response())
    except errors.RefusalError as exc:
        permit.finish(exc.verdict)
        raise
    finally:
        permit.finish(None)


def _record_rest(
    blocks: Iterator[bytes], recorder: _ResponseRecorder, permit: KeyedPermit
) -> None:
    """Records the rest of a response after a disconnect, for repeats."""
    try:
        for block in blocks:
            recorder.add(block)
    except errors.RefusalError as exc:
        permit.finish(exc.verdict)
        return
    permit.finish(verdict.Verdict.RAN, recorder.stored_response())


def _digest(*values: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for value in values:
        digest.update(len(value).to_bytes(8, "big") + value)
    return digest.hexdigest()


def _in_progress_refusal() -> errors.RefusalError:
    return errors.RefusalError(
        409,
        errors.RefusalCode.IN_PROGRESS,
        "a request with this Idempotency-Key may still be running",
        verdict.Verdict.MAY_HAVE_RUN,
        IN_PROGRESS_RETRY_MS,
    )


def _claims_unavailable_refusal() -> errors.RefusalError:
    return errors.RefusalError(
        503,
        errors.RefusalCode.CLAIMS_UNAVAILABLE,
        "keys cannot be claimed while the platform's log is unavailable",
        retry_after_ms=UNAVAILABLE_RETRY_MS,
    )
