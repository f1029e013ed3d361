"""Claims idempotency keys through the platform's log."""

import gevent
from gevent import event
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.coordination import claim_index
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import claim_writer
from hornbeampier.coordination import platform_log

LONG_POLL_MS = 1_500.0
RETRY_MS = 250.0
# No key can be claimed while the index has this many keys and released claims,
# or while this many entries wait to be appended.
MAX_KEYS = 50_000
MAX_BACKLOG = 5_000


class ClaimsUnavailableError(errors.PlatformError):
    """The key could not be claimed; its request must not be dispatched."""


class Claims(application.TaskComponent):
    """Follows the claims stream and claims keys for this VM.

    Attributes:
        available: Whether keys can be claimed: the stream has been read to its
            end and the last read succeeded.
    """

    def __init__(
        self,
        log: platform_log.Log,
        env: environment.Environment,
        writer: claim_writer.ClaimWriter,
        claim_timeout_ms: float,
    ):
        super().__init__()
        self._platform_log = log
        self._env = env
        self._writer = writer
        self._claim_timeout_ms = claim_timeout_ms
        self._log = structlog.get_logger(task="claims")
        self._next_offset = 0
        self._waiters: dict[str, event.AsyncResult] = {}
        self._index = claim_index.ClaimIndex()
        self.available = False

    @property
    def size(self) -> int:
        """The number of keys and released claims in the index."""
        return self._index.size

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._next_offset

    def find(self, key: str) -> claim_index.KeyHolder | None:
        """Returns the claim that holds a key in the records read so far."""
        return self._index.find(key)

    def claim(self, key: str, fingerprint: str) -> str | None:
        """Claims a key; returns the claim's id, or None if the key is held.

        Raises:
            ClaimsUnavailableError: The key cannot be claimed now. A claim that
                may be in the log is released.
        """
        if not self.available or self._is_full():
            raise ClaimsUnavailableError(
                "the claims stream is not read to its end or its last read"
                " failed, or too many keys are held or entries queued"
            )
        claim = claim_records.Claim(
            key,
            self._env.new_id("claim"),
            fingerprint,
            self._env.clock.unix(),
        )
        waiter = event.AsyncResult()
        self._waiters[claim.claim_id] = waiter
        refused = False

        def on_refused():
            nonlocal refused
            refused = True
            waiter.set(None)

        self._writer.submit_claim(claim, on_refused)
        held = None
        try:
            held = waiter.get(
                timeout=self._claim_timeout_ms / clock.MS_PER_SECOND
            )
        except gevent.Timeout:
            pass
        finally:
            self._waiters.pop(claim.claim_id, None)
            if held is None and not refused:
                self._abandon(claim)
        if held is None:
            raise ClaimsUnavailableError("the log did not confirm the claim")
        return claim.claim_id if held else None

    def release(self, key: str, claim_id: str) -> None:
        """Frees a key whose request was not, and must not be, dispatched."""
        self._writer.submit(claim_records.Release(key, claim_id))

    def record_outcome(
        self,
        key: str,
        claim_id: str,
        verdict: verdict.Verdict,
        response: claim_records.StoredResponse | None = None,
    ) -> None:
        """Records whether the request of a claim ran, and its response."""
        self._writer.submit(
            claim_records.Outcome(key, claim_id, verdict, response)
        )

    def read_stored_response(
        self, holder: claim_index.KeyHolder
    ) -> claim_records.StoredResponse | None:
        """Returns the stored response, or None if it cannot be read."""
        if holder.response_offset is None:
            return None
        try:
            response = self._platform_log.read(
                claim_records.STREAM, holder.response_offset, limit=1
            )
        except errors.PlatformError as exc:
            self._log.warning("answer_unavailable", error=str(exc))
            return None
        for record in response.records[:1]:
            batch = claim_records.decode(record.data)
            for entry in batch.entries if batch else ():
                if _is_response_of(entry, holder):
                    return entry.answer
        return None

    def run(self) -> None:
        """Reads the claims stream until killed."""
        while True:
            # Until the stream is read to its end no key can be claimed, and a
            # long poll of an idle stream would only delay the first claim.
            if not self.read_once(LONG_POLL_MS if self.available else 0):
                self._env.clock.sleep(RETRY_MS)

    def read_once(self, wait_ms: float = 0) -> bool:
        """Reads the log once; returns whether that succeeded."""
        try:
            response = self._platform_log.read(
                claim_records.STREAM, self._next_offset, wait_ms
            )
        except errors.OffsetTrimmedError as exc:
            self._rebuild(exc.first_offset)
            return True
        except errors.PlatformError as exc:
            self.available = False
            self._log.warning("log_unavailable", error=str(exc))
            return False
        for record in response.records:
            for decision in self._index.apply(record):
                waiter = self._waiters.get(decision.claim_id)
                if waiter:
                    waiter.set(decision.held)
        self._next_offset = response.next
        if len(response.records) < platform_log.READ_LIMIT:
            self.available = True
        return True

    def _rebuild(self, first_offset: int) -> None:
        """Rereads all that the log keeps, from `first_offset` on.

        The claims that wait for their record are abandoned.
        """
        self._log.warning("claims_read_again", first=first_offset)
        self._next_offset = first_offset
        self._index = claim_index.ClaimIndex()
        self.available = False
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            waiter.set(None)

    def _abandon(self, claim: claim_records.Claim) -> None:
        if self._writer.withdraw(claim):
            return
        self._log.warning("claim_given_up", claim_id=claim.claim_id)
        self.release(claim.key, claim.claim_id)

    def _is_full(self) -> bool:
        return (
            self._index.size >= MAX_KEYS or self._writer.backlog >= MAX_BACKLOG
        )


def _is_response_of(
    entry: claim_records.Entry, holder: claim_index.KeyHolder
) -> bool:
    return (
        isinstance(entry, claim_records.Outcome)
        and entry.claim_id == holder.claim_id
    )
