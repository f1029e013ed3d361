"""Learns how fast the engines of a service are, from their own responses.

The platform states how many requests an engine runs and how large its KV cache
is, but not how fast it prefills or decodes. Waits, pool sizes and load shedding
all derive from this model.
"""

import collections
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.routing import endpoint_choice

# Assumptions until responses have been seen.
PRIOR_FIRST_EVENT_MS = 40.0
PRIOR_TOKENS_PER_MS = 50.0
PRIOR_STEP_MS = 5.2
PRIOR_HOLD_MS = 2_000.0
# Prompt size and weight, in responses, with which the assumptions count.
PRIOR_PROMPT_TOKENS = 10_000.0
PRIOR_WEIGHT = 4.0
# Weight that older first events keep with each new one.
DECAY_PER_RESPONSE = 0.98
# Weight of a first event that came later than expected, where one that came
# earlier weighs 1: prompts of which this VM has not heard yet delay some.
LATE_WEIGHT = 0.4
# A first event counts as at most this many times as late, or as early, as
# expected: an engine that hangs or has just started says little of the others.
MAX_ERROR_FACTOR = 3.0
# Limits of the learned prefill rate.
MIN_TOKENS_PER_MS = 1.0
MAX_TOKENS_PER_MS = 10_000.0
# Variance of prompt sizes, in tokens squared, below which they say nothing
# about the prefill rate.
MIN_VARIANCE = 1_000_000.0
# Weight of the newest wait for a slot in the average.
HOLD_WEIGHT = 0.05
# Weight of the newest wait behind other prompts in the average, and the minimum
# of queued tokens for one.
QUEUE_WEIGHT = 0.05
MIN_QUEUED_TOKENS = 2_000.0
MIN_HOLD_MS = 10.0
# Number of streams from which quantiles are taken, and the minimum for one.
SAMPLE_COUNT = 64
MIN_SAMPLE_COUNT = 12
# A stream shares its engine with prefill if the engine spends at least this
# fraction of its time on it.
SHARED_UTILIZATION = 0.2
# Additional time of a decode step for each running request, as a fraction of
# the step's time. A step generates one token for each running request.
STEP_FRACTION_PER_REQUEST = 1 / 128
PAUSE_QUANTILE = 0.9
STEP_QUANTILE = 0.25
EVENT_QUANTILE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """What one engine's complete stream showed.

    Attributes:
        shortest_delay_ms: The shortest inter-event delay; infinite if there
            was none.
        longest_delay_ms: The longest inter-event delay.
        event_delay_ms: A low quantile of the first inter-event delays, or None
            if there were too few.
        prefill_utilization: Fraction of time that the engine spent on prefill
            when the request was sent.
    """

    shortest_delay_ms: float
    longest_delay_ms: float
    prefill_utilization: float
    event_delay_ms: float | None = None


class EngineModel:
    """The speed of the engines of one service.

    Attributes:
        hold_ms: Time that a request occupies its slot, as it follows from how
            long others wait for one.
        queue_factor: How many times longer prompts wait than the known queue
            takes to prefill. VMs do not know yet what others have just sent,
            and an engine also decodes.
    """

    def __init__(self):
        self._first_events = _LineFit(
            PRIOR_FIRST_EVENT_MS, 1 / PRIOR_TOKENS_PER_MS, PRIOR_PROMPT_TOKENS
        )
        self._pauses = _Quantile(PAUSE_QUANTILE)
        self._steps = _Quantile(STEP_QUANTILE)
        self._event_delays = _Quantile(EVENT_QUANTILE)
        self.hold_ms = PRIOR_HOLD_MS
        self.queue_factor = 1.0

    @property
    def tokens_per_ms(self) -> float:
        """Prefill rate of an engine."""
        ms_per_token = max(self._first_events.slope, 1 / MAX_TOKENS_PER_MS)
        return max(MIN_TOKENS_PER_MS, 1 / ms_per_token)

    @property
    def first_event_ms(self) -> float:
        """Time to the first event of a prompt that needs no prefill."""
        return max(0.0, self._first_events.intercept)

    @property
    def prefill_pause_ms(self) -> float | None:
        """Inter-event delay on an engine that prefills, or None if unknown."""
        return self._pauses.value

    @property
    def event_delay_ms(self) -> float | None:
        """Typical `Stream.event_delay_ms`, or None if unknown."""
        return self._event_delays.value

    def step_ms(self, tokens_per_event: float) -> float:
        """Returns the time of a decode step, of one token for each request."""
        event_ms = self._steps.value
        if event_ms is None:
            return PRIOR_STEP_MS
        return event_ms / max(1.0, tokens_per_event)

    def prefill_ms(self, tokens: float) -> float:
        """Returns the prefill time of a number of prompt tokens."""
        return tokens / self.tokens_per_ms

    def wait_ms(self, tokens: float, queued_tokens: float = 0.0) -> float:
        """Returns the time to the first event.

        Args:
            tokens: Prompt tokens to prefill for the request.
            queued_tokens: Prompt tokens to prefill before.
        """
        return (
            self.first_event_ms
            + self.prefill_ms(tokens)
            + self.queue_factor * self.prefill_ms(queued_tokens)
        )

    def record_first_event(
        self, tokens: float, queued_tokens: float, took_ms: float
    ) -> None:
        """Records the time to a first event.

        Args:
            tokens: Prompt tokens to prefill for the request.
            queued_tokens: Prompt tokens to prefill before.
            took_ms: Time since the request was sent.
        """
        if queued_tokens >= MIN_QUEUED_TOKENS:
            queue_ms = self.prefill_ms(queued_tokens)
            factor = (took_ms - self.wait_ms(tokens)) / queue_ms
            factor = min(max(factor, 0.0), MAX_ERROR_FACTOR)
            self.queue_factor += QUEUE_WEIGHT * (factor - self.queue_factor)
        tokens += queued_tokens
        expected_ms = max(1.0, self.wait_ms(tokens))
        took_ms = min(took_ms, expected_ms * MAX_ERROR_FACTOR)
        took_ms = max(took_ms, expected_ms / MAX_ERROR_FACTOR)
        weight = LATE_WEIGHT if took_ms > expected_ms else 1.0
        self._first_events.add(tokens, took_ms, weight)

    def record_slot_wait(self, expected_ms: float, waited_ms: float) -> None:
        """Records how long a request waited for a slot.

        Args:
            expected_ms: The wait that was expected with the current hold time.
            waited_ms: Time to the first event that prefill does not explain.
        """
        ratio = max(0.0, waited_ms) / max(1.0, expected_ms)
        ratio = min(ratio, MAX_ERROR_FACTOR)
        self.hold_ms *= 1.0 + HOLD_WEIGHT * (ratio - 1.0)
        self.hold_ms = max(MIN_HOLD_MS, self.hold_ms)

    def record_stream(self, stream: Stream) -> None:
        """Records a complete stream."""
        if stream.event_delay_ms is not None:
            self._event_delays.add(stream.event_delay_ms)
        if math.isinf(stream.shortest_delay_ms):
            return
        self._steps.add(stream.shortest_delay_ms)
        if stream.prefill_utilization >= SHARED_UTILIZATION:
            self._pauses.add(stream.longest_delay_ms)


class EngineModels:
    """The models of all services with engines."""

    def __init__(self):
        self._models: dict[str, EngineModel] = {}

    def of(self, service: str) -> EngineModel:
        """Returns the model of a service's engines."""
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = EngineModel()
        return model


class AttemptObserver:
    """Observes one prompt that is sent to an engine, to learn from it."""

    def __init__(
        self,
        model: EngineModel,
        choice: endpoint_choice.EndpointChoice,
        clock: clocks.Clock,
    ):
        self._model = model
        self._choice = choice
        self._clock = clock
        self._sent_ms = clock.now()
        self._first_event_ms: float | None = None

    @property
    def estimate_ratio(self) -> float | None:
        """Seen time to the first event, divided by the expected one.

        None before the first event.
        """
        if self._first_event_ms is None:
            return None
        took_ms = self._first_event_ms - self._sent_ms
        return took_ms / max(1.0, self._choice.wait_ms)

    def on_block(self) -> None:
        """Records the first block of the stream; others have no effect."""
        if self._first_event_ms is not None:
            return
        self._first_event_ms = self._clock.now()
        if self._choice.fetch_from is not None:
            # A KV transfer takes time that has nothing to do with prefill.
            return
        tokens = self._choice.prefill_tokens
        queued_tokens = self._choice.queued_tokens
        took_ms = self._first_event_ms - self._sent_ms
        factor = self._choice.speed_factor
        if self._choice.slot_wait_ms > 0.0:
            self._model.record_slot_wait(
                self._choice.slot_wait_ms,
                took_ms - factor * self._model.wait_ms(tokens, queued_tokens),
            )
        else:
            # The model describes the typical engine.
            self._model.record_first_event(
                tokens, queued_tokens, took_ms / factor
            )

    def on_end(
        self,
        shortest_delay_ms: float,
        longest_delay_ms: float,
        event_delay_ms: float | None = None,
    ) -> None:
        """Records that the whole stream came from this engine."""
        if self._first_event_ms is None:
            return
        self._record_speed(event_delay_ms)
        self._model.record_stream(
            Stream(
                shortest_delay_ms=shortest_delay_ms,
                longest_delay_ms=longest_delay_ms,
                prefill_utilization=self._choice.prefill_utilization,
                event_delay_ms=event_delay_ms,
            )
        )

    def _record_speed(self, event_delay_ms: float | None) -> None:
        expected_ms = self._model.event_delay_ms
        if event_delay_ms is None or expected_ms is None:
            return
        batch = 1.0 + self._choice.in_flight * STEP_FRACTION_PER_REQUEST
        self._choice.state.speed.record_stream(
            event_delay_ms / (expected_ms * batch)
        )


class _LineFit:
    """Least-squares fit of a line, in which older points fade."""

    def __init__(self, intercept: float, slope: float, x: float):
        """Starts with two points of the assumed line, at 0 and at `x`."""
        self.intercept = intercept
        self.slope = slope
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self.add(0.0, intercept, PRIOR_WEIGHT)
        self.add(x, intercept + slope * x, PRIOR_WEIGHT)

    def add(self, x: float, y: float, weight: float = 1.0) -> None:
        """Adds a point."""
        decay = DECAY_PER_RESPONSE
        self._weight = self._weight * decay + weight
        self._x = self._x * decay + weight * x
        self._y = self._y * decay + weight * y
        self._xx = self._xx * decay + weight * x * x
        self._xy = self._xy * decay + weight * x * y
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance = self._xx / self._weight - mean_x**2
        if variance >= MIN_VARIANCE:
            covariance = self._xy / self._weight - mean_x * mean_y
            self.slope = max(0.0, covariance / variance)
        self.intercept = mean_y - self.slope * mean_x


class _Quantile:
    """A quantile of the newest samples; None while there are too few."""

    def __init__(self, quantile: float):
        self._quantile = quantile
        self._samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLE_COUNT
        )
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self._samples.append(sample)
        if len(self._samples) >= MIN_SAMPLE_COUNT:
            ordered = sorted(self._samples)
            self.value = ordered[int(self._quantile * len(ordered))]
