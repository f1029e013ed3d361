"""The combined result of the attempts at one request."""

import dataclasses

from hornbeampier import permits
from hornbeampier.endpoints import registry


@dataclasses.dataclass
class Progress:
    """The text received so far and the state of the attempts.

    Attributes:
        texts: The text of each event that had any.
        software_version: Version of the engine that wrote them, which alone can
            resume them; None as long as there is no text.
        first_token_ms: Monotonic time of the first token, or None.
        attempts: Number of attempts made at endpoints.
        failed_endpoints: Names of the endpoints to avoid while others are open.
        kv_cache_holder: The endpoint that may still have the response's KV
            cache, or None.
        may_have_run: Whether an attempt may have run at an endpoint.
        finished: Whether an event with a finish reason has arrived.
        resumable: Whether another engine can resume the response from its text.
        preempted: Whether the last attempt ended by preemption.
        permit: Allows or denies each dispatch.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    software_version: str | None = None
    first_token_ms: float | None = None
    attempts: int = 0
    failed_endpoints: frozenset[str] = frozenset()
    kv_cache_holder: registry.EndpointState | None = None
    may_have_run: bool = False
    finished: bool = False
    resumable: bool = True
    preempted: bool = False
    permit: permits.DispatchPermit = permits.UNRESTRICTED

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.texts)
