"""Wire types of the claims stream; see docs/design/at-most-once.md."""

import msgspec

from hornbeampier import errors
from hornbeampier import verdict

STREAM = "claims"


class StoredResponse(msgspec.Struct, frozen=True):
    """An endpoint's response, replayed to repeats of its request."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Asks for the sole right to dispatch the request of a key.

    Attributes:
        key: Digest of the client account and the `Idempotency-Key` header.
        claim_id: Unique across all VMs.
        fingerprint: Digest of the request; equal for repeats.
        unix_ms: The claiming VM's Unix time in ms.
    """

    key: str
    claim_id: str
    fingerprint: str
    unix_ms: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Frees a key: the claim's request was not and will not be dispatched."""

    key: str
    claim_id: str


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """Whether a claim's request ran, and its response if that is small."""

    key: str
    claim_id: str
    verdict: verdict.Verdict
    answer: StoredResponse | None = None


Entry = Claim | Release | Outcome


class ClaimBatch(msgspec.Struct, frozen=True):
    """One record of the stream: entries of one VM, in order."""

    vm: str
    entries: tuple[Entry, ...]


def decode(data: str) -> ClaimBatch | None:
    """Returns the batch in a record, or None if the record is malformed."""
    try:
        return msgspec.json.decode(data, type=ClaimBatch)
    except errors.DECODE_ERRORS:
        return None
