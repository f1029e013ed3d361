"""Load shedding: refuses prompts that would wait too long for others.

The throughput of an overloaded engine does not depend on its queue depth. With
a short queue its responses are on time; with a long queue all are late, and
many streams reach their deadlines before they are complete.

What is ahead of a prompt decides, not what it brings: prompts of all sizes are
refused alike. Otherwise the queue of a lasting overload, which is about as long
as the limit, would leave no room for large prompts at all.
"""

import dataclasses
import math
import random

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests
from hornbeampier.routing import retry_delays

# A prompt is accepted if the expected wait until the engine turns to it is at
# most a fraction of its latency target, or at most a fraction of its remaining
# time. The latter is larger for short and interactive prompts, so that they are
# not refused while batch prompts are accepted.
LATENCY_TARGET_FRACTION = 0.45
BATCH_REMAINING_FRACTION = 0.09
REMAINING_FRACTION = 0.3
# For a stream that its caller takes up: it can go on only at the engines of one
# software version, and part of its work is done.
RESUMED_REMAINING_FRACTION = 0.5
# Prefill that another engine has already done counts as at most this fraction
# of the longest wait, so that idle engines accept any prompt.
MAX_RECOMPUTE_FRACTION = 0.5
# An engine that spends this fraction of its time on prefill, or more, gets no
# more batch prompts.
MAX_BATCH_UTILIZATION = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedPrompt:
    """A prompt that was refused, and what decided it.

    Attributes:
        endpoint_id: The chosen engine.
        kind: The prompt's kind.
        tokens: The prompt's size.
        own_ms: Prefill time that the prompt brings to any engine.
        ahead_ms: Expected wait until the engine turns to it, with the prefill
            that another engine has already done.
        limit_ms: The longest such wait with which it is accepted.
        prefill_utilization: Fraction of time that the engine spends on prefill.
        speed_factor: How many times longer work takes at the engine than at the
            service's typical one.
    """

    endpoint_id: str
    kind: prompt_kinds.PromptKind
    tokens: int
    own_ms: float
    ahead_ms: float
    limit_ms: float
    prefill_utilization: float
    speed_factor: float


class OverloadError(errors.RefusalError):
    """A prompt is refused because the engine chosen for it is overloaded.

    Attributes:
        prompt: The prompt, and what decided it.
    """

    def __init__(self, prompt: RefusedPrompt, retry_after_ms: float):
        super().__init__(
            503,
            errors.RefusalCode.OVERLOADED,
            f"the chosen engine is overloaded: it is expected to turn to the "
            f"prompt in {prompt.ahead_ms:.0f} ms and spends "
            f"{prompt.prefill_utilization:.0%} of its time on prefill",
            retry_after_ms=retry_after_ms,
        )
        self.prompt = prompt


class LoadShedder:
    """Decides whether a prompt may be sent to the engine chosen for it."""

    def __init__(
        self,
        classifier: prompt_kinds.PromptClassifier,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._classifier = classifier
        self._clock = clock
        self._rng = rng

    def accepts(
        self, req: requests.Request, choice: endpoint_choice.EndpointChoice
    ) -> bool:
        """Whether a prompt may be sent to the chosen engine."""
        if self._ahead_ms(req, choice) > self._max_ahead_ms(req):
            return False
        if choice.wait_ms >= self._remaining_ms(req):
            return False
        return (
            req.resumed is not None
            or not self._is_batch(req)
            or choice.prefill_utilization < MAX_BATCH_UTILIZATION
        )

    def check(
        self, req: requests.Request, choice: endpoint_choice.EndpointChoice
    ) -> None:
        """Checks that a prompt may be sent to the chosen engine.

        Raises:
            OverloadError: It may not.
        """
        if self.accepts(req, choice):
            return
        prompt = RefusedPrompt(
            endpoint_id=choice.state.id,
            kind=self._classifier.classify(req),
            tokens=req.prompt.input_tokens,
            own_ms=choice.own_ms,
            ahead_ms=self._ahead_ms(req, choice),
            limit_ms=self._max_ahead_ms(req),
            prefill_utilization=choice.prefill_utilization,
            speed_factor=choice.speed_factor,
        )
        raise OverloadError(prompt, self.retry_after_ms(req, choice))

    def retry_after_ms(
        self, req: requests.Request, choice: endpoint_choice.EndpointChoice
    ) -> float:
        """Returns the delay after which a refused caller should retry.

        By then the engine would accept the prompt if no others arrived.
        """
        delay_ms = self._ahead_ms(req, choice) - self._max_ahead_ms(req)
        if self._is_batch(req) and choice.prefill_utilization > 0.0:
            excess = choice.prefill_utilization / MAX_BATCH_UTILIZATION
            delay_ms = max(delay_ms, prefill.DECAY_TIME_MS * math.log(excess))
        return retry_delays.spread(delay_ms, self._remaining_ms(req), self._rng)

    def _ahead_ms(
        self, req: requests.Request, choice: endpoint_choice.EndpointChoice
    ) -> float:
        """Returns the expected wait until the engine turns to a prompt.

        Prefill that another engine has already done counts as part of it:
        prompts would otherwise leave the engines that cache their shared
        segments as soon as these are busy.
        """
        return choice.ahead_ms + min(
            choice.recompute_ms,
            MAX_RECOMPUTE_FRACTION * self._max_ahead_ms(req),
        )

    def _max_ahead_ms(self, req: requests.Request) -> float:
        return max(
            LATENCY_TARGET_FRACTION * req.route.latency_target_ms,
            self._remaining_fraction(req) * self._remaining_ms(req),
        )

    def _remaining_fraction(self, req: requests.Request) -> float:
        if req.resumed is not None:
            return RESUMED_REMAINING_FRACTION
        if self._is_batch(req):
            return BATCH_REMAINING_FRACTION
        return REMAINING_FRACTION

    def _is_batch(self, req: requests.Request) -> bool:
        return self._classifier.classify(req) is prompt_kinds.PromptKind.BATCH

    def _remaining_ms(self, req: requests.Request) -> float:
        return req.deadline_ms - self._clock.now()
