"""What may have crashed an endpoint: a request, or a segment of its prompt.

A suspect is the digest of either, in hexadecimal. Digests of requests and of
segments differ in length.
"""

import collections
from collections.abc import Iterable
import functools
import hashlib

from hornbeampier.routing import requests

SEGMENT_DIGEST_BYTES = 8
_SEGMENT_DIGITS = 2 * SEGMENT_DIGEST_BYTES
# Segments of a prompt beyond this number are not suspected.
MAX_SEGMENTS = 32
# How many segments and whole requests are remembered as served. Few requests
# come again.
MAX_SERVED = 1_024
MAX_SERVED_REQUESTS = 256


@functools.lru_cache(maxsize=MAX_SERVED)
def digest_segment(segment_id: str) -> str:
    """Returns the suspect for a prompt segment."""
    digest = hashlib.blake2b(
        segment_id.encode(), digest_size=SEGMENT_DIGEST_BYTES
    )
    return digest.hexdigest()


def is_segment(suspect: str) -> bool:
    """Whether a suspect is a segment, not a whole request."""
    return len(suspect) == _SEGMENT_DIGITS


def of_request(req: requests.Request) -> frozenset[str]:
    """Returns the request's digest and those of its shared segments.

    The last segment is the request's own, so the request's digest covers it.
    """
    if req.prompt is None:
        return frozenset((req.fingerprint,))
    segments = req.prompt.shared_segments[:MAX_SEGMENTS]
    return frozenset(
        (req.fingerprint, *(digest_segment(s.id) for s in segments))
    )


class ServedSuspects:
    """The segments and requests that were served last."""

    def __init__(self):
        self._segments: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._requests: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def add(self, suspects: Iterable[str]) -> None:
        """Records that a request with these suspects was served."""
        for suspect in suspects:
            if is_segment(suspect):
                _remember(self._segments, suspect, MAX_SERVED)
            else:
                _remember(self._requests, suspect, MAX_SERVED_REQUESTS)

    def __contains__(self, suspect: str) -> bool:
        return suspect in self._segments or suspect in self._requests


def _remember(
    served: collections.OrderedDict[str, None], suspect: str, size: int
) -> None:
    served[suspect] = None
    served.move_to_end(suspect)
    if len(served) > size:
        served.popitem(last=False)
