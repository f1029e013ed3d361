"""Load shedding: refuses prompts whose expected wait is too long.

The throughput of an overloaded engine does not depend on its queue depth. With
a short queue its responses are on time; with a long queue all are late, and
many streams reach their deadlines before they are complete.
"""

from hornbeampier import clock as clocks
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests

# Limits of a prompt's expected wait for its first event: a fraction of its
# latency target, or a fraction of its remaining time if that is longer. Short
# and interactive prompts may wait longer than batch prompts, so that they are
# not refused while batch prompts are accepted.
TARGET_SHARE = 0.6
WAIT_SHARE = 0.12
URGENT_WAIT_SHARE = 0.3
# An engine that spends a larger fraction of its time on prefill gets no more
# batch prompts.
MAX_READING_SHARE = 0.85
# Retry-After as a fraction of the request's remaining time. Callers honor it up
# to a third, and an overload rarely ends sooner.
RETRY_SHARE = 0.3


class LoadShedder:
    """Decides whether a prompt is accepted, given its expected wait."""

    def __init__(
        self, found_kinds: prompt_kinds.PromptClassifier, clock: clocks.Clock
    ):
        self._classifier = found_kinds
        self._clock = clock

    def accepts(
        self, req: requests.Request, chosen: endpoint_choice.EndpointChoice
    ) -> bool:
        """Whether a prompt may be sent to the chosen engine."""
        is_batch = (
            self._classifier.kind_of(req) is prompt_kinds.PromptKind.BATCH
        )
        share = WAIT_SHARE if is_batch else URGENT_WAIT_SHARE
        limit_ms = max(
            TARGET_SHARE * req.route.latency_target_ms,
            share * self._remaining_ms(req),
        )
        if chosen.wait_ms > limit_ms:
            return False
        return not is_batch or chosen.reading_share <= MAX_READING_SHARE

    def retry_after_ms(self, req: requests.Request) -> float:
        """Returns the delay after which a refused caller should retry."""
        return RETRY_SHARE * self._remaining_ms(req)

    def _remaining_ms(self, req: requests.Request) -> float:
        return req.deadline_ms - self._clock.now()
