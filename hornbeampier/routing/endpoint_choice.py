"""The endpoint chosen for a request, with the estimates for it."""

import dataclasses

from hornbeampier.routing import domain
from hornbeampier.routing import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChoice:
    """An endpoint and the estimates for sending a request to it.

    Attributes:
        wait_ms: Expected time to the first event of a generation request.
        ahead_ms: Part of the wait that other requests cause.
        own_ms: Prefill time of the prompt's tokens that no endpoint caches. The
            request brings it to any endpoint.
        recompute_ms: Prefill time of the tokens that another endpoint caches
            and this one lacks, also if they are transferred instead.
        expected_response_ms: Expected response time of a plain request, with
            which the measured time is compared; None if it is not measured.
        prefill_tokens: Prompt tokens that the endpoint itself must prefill.
        queued_tokens: Prompt tokens that the endpoint must prefill before.
        uncached_prefill_ms: Prefill time of all tokens that are not in the
            endpoint's own prefix cache.
        prefill_utilization: Fraction of time that the endpoint spends on
            prefill.
        slot_wait_ms: Part of the wait until one of the endpoint's slots is
            free.
        in_flight: Requests of all VMs in flight there.
        speed_factor: How many times longer work takes there now than at the
            service's typical engine; `wait_ms` includes it.
        fetch_from: Engine from which it can fetch cached segments, or None.
    """

    state: fleet.EndpointState
    wait_ms: float = 0.0
    ahead_ms: float = 0.0
    own_ms: float = 0.0
    recompute_ms: float = 0.0
    expected_response_ms: float | None = None
    prefill_tokens: float = 0.0
    queued_tokens: float = 0.0
    uncached_prefill_ms: float = 0.0
    prefill_utilization: float = 0.0
    slot_wait_ms: float = 0.0
    in_flight: int = 0
    speed_factor: float = 1.0
    fetch_from: domain.Endpoint | None = None

    @property
    def avoidable_ms(self) -> float:
        """Part of the wait that another endpoint might spare the request."""
        return self.wait_ms - self.own_ms
