"""The endpoint chosen for a request, with the estimates for it."""

import dataclasses

from hornbeampier.routing import domain
from hornbeampier.routing import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChoice:
    """An endpoint and the estimates for sending a request to it.

    Attributes:
        wait_ms: Expected time to the first event.
        expected_ms: Expected response time, with which the measured one is
            compared; None if the latency is not measured.
        prefill_tokens: Prompt tokens that the endpoint itself must prefill.
        reading_share: Fraction of its time that the endpoint spends on prefill.
        missing_ms: Prefill time of all tokens that are not in its own cache.
        fetch_from: Engine from which it can fetch cached segments, or None.
    """

    state: fleet.EndpointState
    wait_ms: float = 0.0
    expected_ms: float | None = None
    prefill_tokens: float = 0.0
    uncached_prefill_ms: float = 0.0
    prefill_utilization: float = 0.0
    fetch_from: domain.Endpoint | None = None
