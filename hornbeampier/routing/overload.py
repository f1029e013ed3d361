"""Refuses prompts that would wait too long for an engine.

An overloaded engine reads the same number of prompts however long its queue is.
With a short queue they are answered in time; with a long one all of them are
late, and many reach their deadlines in the middle of their streams.
"""

from hornbeampier import clock as clocks
from hornbeampier.routing import choices
from hornbeampier.routing import kinds
from hornbeampier.routing import requests

# Parts of its target and of its time for which a prompt may wait for its first
# event. Urgent kinds may wait longer, so that they are not refused while others
# are taken.
TARGET_SHARE = 0.6
WAIT_SHARE = 0.12
URGENT_WAIT_SHARE = 0.3
# Part of its time that an engine may read prompts to be given another long one.
MAX_READING_SHARE = 0.85
# Part of its time after which a refused caller is to come back. Callers honour
# up to a third, and an overload rarely ends sooner.
RETRY_SHARE = 0.3


class WaitLimit:
    """Bounds the expected wait of prompts."""

    def __init__(self, found_kinds: kinds.Kinds, clock: clocks.Clock):
        self._kinds = found_kinds
        self._clock = clock

    def accepts(self, req: requests.Request, chosen: choices.Choice) -> bool:
        """Whether a prompt may be sent where it was chosen to go."""
        is_batch = self._kinds.kind_of(req) is kinds.Kind.BATCH
        share = WAIT_SHARE if is_batch else URGENT_WAIT_SHARE
        limit_ms = max(
            TARGET_SHARE * req.route.target_ms,
            share * self._remaining_ms(req),
        )
        if chosen.wait_ms > limit_ms:
            return False
        return not is_batch or chosen.reading_share <= MAX_READING_SHARE

    def retry_after_ms(self, req: requests.Request) -> float:
        """Returns when the caller of a refused prompt is to come back."""
        return RETRY_SHARE * self._remaining_ms(req)

    def _remaining_ms(self, req: requests.Request) -> float:
        return req.deadline_ms - self._clock.now()
