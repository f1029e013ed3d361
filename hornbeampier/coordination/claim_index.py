"""The fold of the stream of claims, equal on every VM."""

import collections
import dataclasses

from hornbeampier import verdict
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import records

# A key is known for this long after its last record. The log has to keep
# records for at least twice as long.
KEY_RETENTION_MS = 24 * 3_600_000.0


@dataclasses.dataclass(slots=True)
class KeyEntry:
    """The claim that holds a key.

    Attributes:
        claimed_at_ms: The log's Unix time of the claim.
        touched_at_ms: The log's Unix time of the key's last record.
        run: How the run ended; None while that is unknown.
        answer_offset: The offset of the record with the stored answer.
    """

    claim_id: str
    fingerprint: str
    claimed_at_ms: float
    touched_at_ms: float
    run: verdict.Verdict | None = None
    answer_offset: int | None = None


@dataclasses.dataclass(frozen=True)
class ClaimJudgement:
    """Whether a claim holds its key."""

    claim_id: str
    held: bool


class ClaimIndex:
    """Knows which claim holds each key.

    The first claim of a free key holds it until it is released. A claim that
    finds the key held is void for ever, and so is one that was released
    before it arrived. Time is the log's own, so that all VMs agree.
    """

    def __init__(self, retention_ms: float = KEY_RETENTION_MS):
        self._retention_ms = retention_ms
        self._keys: collections.OrderedDict[str, KeyEntry] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._log_time_ms = 0.0

    @property
    def size(self) -> int:
        """The number of keys and released claims that are known."""
        return len(self._keys) + len(self._released)

    def find(self, key: str) -> KeyEntry | None:
        """Returns the claim that holds a key."""
        return self._keys.get(key)

    def fold(self, record: records.LogRecord) -> list[ClaimJudgement]:
        """Applies a record and returns the judgement of each claim in it."""
        self._log_time_ms = max(self._log_time_ms, record.at_ms)
        self._expire()
        batch = claim_records.decode(record.data)
        judgements = []
        for entry in batch.entries if batch else ():
            if isinstance(entry, claim_records.Claim):
                judgements.append(self._fold_claim(entry))
            elif isinstance(entry, claim_records.Release):
                self._fold_release(entry)
            else:
                self._fold_outcome(entry, record.offset)
        return judgements

    def _fold_claim(self, claim: claim_records.Claim) -> ClaimJudgement:
        if claim.claim_id in self._released:
            return ClaimJudgement(claim.claim_id, False)
        holder = self._keys.get(claim.key)
        if holder is None:
            now_ms = self._log_time_ms
            holder = KeyEntry(claim.claim_id, claim.fingerprint, now_ms, now_ms)
            self._keys[claim.key] = holder
        self._touch(claim.key, holder)
        return ClaimJudgement(claim.claim_id, holder.claim_id == claim.claim_id)

    def _fold_release(self, release: claim_records.Release) -> None:
        self._released[release.claim_id] = self._log_time_ms
        self._released.move_to_end(release.claim_id)
        holder = self._keys.get(release.key)
        if holder and holder.claim_id == release.claim_id:
            del self._keys[release.key]

    def _fold_outcome(
        self, outcome: claim_records.Outcome, offset: int
    ) -> None:
        holder = self._keys.get(outcome.key)
        if holder is None or holder.claim_id != outcome.claim_id:
            return
        self._touch(outcome.key, holder)
        if holder.run is not None:
            return
        holder.run = outcome.verdict
        if outcome.answer is not None:
            holder.answer_offset = offset

    def _touch(self, key: str, holder: KeyEntry) -> None:
        holder.touched_at_ms = self._log_time_ms
        self._keys.move_to_end(key)

    def _expire(self) -> None:
        oldest_ms = self._log_time_ms - self._retention_ms
        while self._keys:
            key, entry = next(iter(self._keys.items()))
            if entry.touched_at_ms >= oldest_ms:
                break
            del self._keys[key]
        while self._released:
            claim_id, at_ms = next(iter(self._released.items()))
            if at_ms >= oldest_ms:
                break
            del self._released[claim_id]
