"""Simulates the continuous batching of a model engine."""

import collections
import dataclasses
import hashlib
import heapq
import itertools

import gevent
from gevent import event
from gevent import queue
import msgspec

from hornbeampier import clock

# Limits of the prefix cache: its number of entries, and the number of a
# prompt's characters that are its prefix.
CACHED_PREFIXES = 64
PREFIX_CHARS = 256


class EngineProfile(msgspec.Struct, frozen=True):
    """The speed and limits of a stand-in engine.

    Attributes:
        slots: Maximum number of requests in the batch.
        max_waiting: Maximum number of requests that wait for the batch.
        step_ms: Time of one decoding step with an empty batch.
        step_per_request_ms: Added to a step for each request in the batch.
        prefill_ms: Prefill time of a prompt whose prefix is not cached.
        slowdown: Factor on all times; above 1 for a straggler.
        report_lag_ms: Age of the load reports.
    """

    slots: int = 8
    max_waiting: int = 64
    step_ms: float = 10.0
    step_per_request_ms: float = 1.0
    prefill_ms: float = 40.0
    slowdown: float = 1.0
    report_lag_ms: float = 0.0


@dataclasses.dataclass(order=True)
class Sequence:
    """One request inside the engine.

    Attributes:
        arrival_order: Orders requests of the same priority by arrival.
        length: Number of tokens of the complete response.
        computed: Number of tokens computed so far, including `resume_tokens`.
        resume_tokens: Number of tokens computed by earlier attempts.
        output: Receives the text of each token, and None at the end.
    """

    priority: int
    arrival_order: int
    request_id: str = dataclasses.field(compare=False)
    prompt: str = dataclasses.field(compare=False)
    length: int = dataclasses.field(compare=False)
    computed: int = dataclasses.field(compare=False, default=0)
    resume_tokens: int = dataclasses.field(compare=False, default=0)
    cancelled: bool = dataclasses.field(compare=False, default=False)
    output: queue.Queue = dataclasses.field(
        compare=False, default_factory=queue.Queue
    )


def token_text(prompt: str, index: int) -> str:
    """Returns the text of a token, which its prompt and index determine."""
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3)
    return digest.hexdigest() + " "


class ContinuousBatch:
    """Decodes sequences step by step and admits them in order of priority."""

    def __init__(self, profile: EngineProfile, clock: clock.Clock):
        self.profile = profile
        self._clock = clock
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._arrival_counter = itertools.count()
        self._has_requests = event.Event()
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.computed_tokens = 0
        self.frozen = False

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests accepted but not yet in the batch."""
        return len(self._waiting)

    def submit(
        self,
        request_id: str,
        prompt: str,
        length: int,
        priority: int,
        resume_tokens: int = 0,
    ) -> Sequence | None:
        """Accepts a request, or returns None when the engine is full."""
        if len(self._waiting) >= self.profile.max_waiting:
            return None
        sequence = Sequence(
            priority,
            next(self._arrival_counter),
            request_id,
            prompt,
            length,
            computed=resume_tokens,
            resume_tokens=resume_tokens,
        )
        heapq.heappush(self._waiting, sequence)
        self._has_requests.set()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Cancels a request; one in the batch leaves it at the next step."""
        if sequence.cancelled:
            return
        sequence.cancelled = True
        if sequence in self._waiting:
            self._waiting.remove(sequence)
            heapq.heapify(self._waiting)
        sequence.output.put(None)

    def run(self) -> None:
        """Executes decoding steps until killed."""
        while True:
            if not self._running and not self._waiting:
                self._has_requests.clear()
                self._has_requests.wait()
            self._step()

    def _step(self) -> None:
        delay_ms = self._admit()
        batch_size = len(self._running)
        delay_ms += (
            self.profile.step_ms + batch_size * self.profile.step_per_request_ms
        )
        self._clock.sleep(delay_ms * self.profile.slowdown)
        while self.frozen:
            gevent.sleep(0.05)
        for sequence in self._running:
            self._advance(sequence)
        self._running = [
            s
            for s in self._running
            if s.computed < s.length and not s.cancelled
        ]

    def _advance(self, sequence: Sequence) -> None:
        if sequence.cancelled:
            return
        text = token_text(sequence.prompt, sequence.computed)
        sequence.computed += 1
        self.computed_tokens += 1
        sequence.output.put(text)
        if sequence.computed >= sequence.length:
            sequence.output.put(None)

    def _admit(self) -> float:
        """Fills the batch and returns the time of the prefills in ms."""
        delay_ms = 0.0
        while self._waiting and len(self._running) < self.profile.slots:
            sequence = heapq.heappop(self._waiting)
            if sequence.cancelled:
                continue
            self._running.append(sequence)
            delay_ms += self._prefill(sequence)
        return delay_ms

    def _prefill(self, sequence: Sequence) -> float:
        prefix = sequence.prompt[:PREFIX_CHARS]
        cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return 0.0 if cached else self.profile.prefill_ms
