"""Wire types of the stream of claims; see docs/design/at-most-once.md."""

import msgspec

from hornbeampier import errors
from hornbeampier import verdict

STREAM = "claims"


class StoredAnswer(msgspec.Struct, frozen=True):
    """An endpoint's answer that a repeat of its request receives."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A VM asks for the right to dispatch the request of a key.

    Attributes:
        key: Digest of client account and `Idempotency-Key`.
        claim_id: Unique over all VMs.
        fingerprint: Digest of the request; equal for repeats.
        unix_ms: The VM's Unix time in ms.
    """

    key: str
    claim_id: str
    fingerprint: str
    unix_ms: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The request of a claim was not dispatched, nor will it be."""

    key: str
    claim_id: str


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """The end of a claim's run; `answer` is kept only if it is small."""

    key: str
    claim_id: str
    verdict: verdict.Verdict
    answer: StoredAnswer | None = None


Entry = Claim | Release | Outcome


class ClaimBatch(msgspec.Struct, frozen=True):
    """One record of the stream: entries of one VM in their order."""

    vm: str
    entries: tuple[Entry, ...]


def decode(data: str) -> ClaimBatch | None:
    """Returns the batch in a record, or None if it is not one."""
    try:
        return msgspec.json.decode(data, type=ClaimBatch)
    except errors.DECODE_ERRORS:
        return None
