"""Index of the claims stream: which claim holds each idempotency key.

Every VM applies the same records in the same order, so all indexes are equal.
"""

import collections
import dataclasses

from hornbeampier import verdict
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import records

# Retention of a key after its last record. The log has to retain records for at
# least twice as long.
KEY_RETENTION_MS = 24 * 3_600_000.0


@dataclasses.dataclass(slots=True)
class KeyHolder:
    """The claim that holds a key.

    Attributes:
        claimed_at_ms: The log's timestamp of the claim.
        last_record_at_ms: The log's timestamp of the key's last record.
        run_verdict: Whether the request ran; None until the log has the
            outcome.
        response_offset: Offset of the record with the stored response, if any.
    """

    claim_id: str
    fingerprint: str
    claimed_at_ms: float
    last_record_at_ms: float
    run_verdict: verdict.Verdict | None = None
    response_offset: int | None = None


@dataclasses.dataclass(frozen=True)
class ClaimDecision:
    """Whether a claim holds its key."""

    claim_id: str
    held: bool


class ClaimIndex:
    """Tracks which claim holds each key.

    The first claim of a free key holds it until it is released. A claim of a
    held key never holds it, nor does one whose release precedes it in the log.
    Keys expire by the log's timestamps, so that all VMs agree.
    """

    def __init__(self, retention_ms: float = KEY_RETENTION_MS):
        self._retention_ms = retention_ms
        self._keys: collections.OrderedDict[str, KeyHolder] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._log_time_ms = 0.0

    @property
    def size(self) -> int:
        """The number of keys and released claims in the index."""
        return len(self._keys) + len(self._released)

    def find(self, key: str) -> KeyHolder | None:
        """Returns the claim that holds a key."""
        return self._keys.get(key)

    def apply(self, record: records.LogRecord) -> list[ClaimDecision]:
        """Applies a record; returns whether each claim in it holds its key."""
        self._log_time_ms = max(self._log_time_ms, record.at_ms)
        self._expire()
        batch = claim_records.decode(record.data)
        decisions = []
        for entry in batch.entries if batch else ():
            if isinstance(entry, claim_records.Claim):
                decisions.append(self._apply_claim(entry))
            elif isinstance(entry, claim_records.Release):
                self._apply_release(entry)
            else:
                self._apply_outcome(entry, record.offset)
        return decisions

    def _apply_claim(self, claim: claim_records.Claim) -> ClaimDecision:
        if claim.claim_id in self._released:
            return ClaimDecision(claim.claim_id, False)
        holder = self._keys.get(claim.key)
        if holder is None:
            now_ms = self._log_time_ms
            holder = KeyHolder(
                claim.claim_id, claim.fingerprint, now_ms, now_ms
            )
            self._keys[claim.key] = holder
        self._touch(claim.key, holder)
        return ClaimDecision(claim.claim_id, holder.claim_id == claim.claim_id)

    def _apply_release(self, release: claim_records.Release) -> None:
        self._released[release.claim_id] = self._log_time_ms
        self._released.move_to_end(release.claim_id)
        holder = self._keys.get(release.key)
        if holder and holder.claim_id == release.claim_id:
            del self._keys[release.key]

    def _apply_outcome(
        self, outcome: claim_records.Outcome, offset: int
    ) -> None:
        holder = self._keys.get(outcome.key)
        if holder is None or holder.claim_id != outcome.claim_id:
            return
        self._touch(outcome.key, holder)
        if holder.run_verdict is not None:
            return
        holder.run_verdict = outcome.verdict
        if outcome.answer is not None:
            holder.response_offset = offset

    def _touch(self, key: str, holder: KeyHolder) -> None:
        holder.last_record_at_ms = self._log_time_ms
        self._keys.move_to_end(key)

    def _expire(self) -> None:
        oldest_ms = self._log_time_ms - self._retention_ms
        while self._keys:
            key, holder = next(iter(self._keys.items()))
            if holder.last_record_at_ms >= oldest_ms:
                break
            del self._keys[key]
        while self._released:
            claim_id, at_ms = next(iter(self._released.items()))
            if at_ms >= oldest_ms:
                break
            del self._released[claim_id]
