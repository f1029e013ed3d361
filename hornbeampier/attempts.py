"""What the attempts at one request have brought so far."""

import dataclasses

from hornbeampier import permits
from hornbeampier.endpoints import registry


@dataclasses.dataclass
class Progress:
    """The part of an answer that has arrived so far.

    Attributes:
        attempts: Attempts made at endpoints.
        failed: Endpoints that are passed over while others are open.
        preferred: The endpoint that still holds the answer's KV cache.
        may_have_run: Whether an attempt may have run at an endpoint.
        finished: Whether the last event with text has arrived.
        resumable: Whether the text alone lets another engine go on.
        preempted: Whether the last attempt ended by preemption.
        permit: Decides on each dispatch.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    first_token_ms: float | None = None
    attempts: int = 0
    failed: frozenset[str] = frozenset()
    preferred: registry.EndpointState | None = None
    may_have_run: bool = False
    finished: bool = False
    resumable: bool = True
    preempted: bool = False
    permit: permits.Permit = permits.OPEN

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.texts)
