"""Translates loads and pool sizes to the types of gossip messages."""

from hornbeampier.peers import messages
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pool_sizes

# A full state leaves out an idle endpoint whose decayed sum of measured latency
# is below this.
MIN_LATENCY_SUM_MS = 1.0


def to_load(state: fleet.EndpointState) -> peer_loads.Load:
    """Returns this VM's load on an endpoint."""
    return peer_loads.Load(
        state.in_flight, state.prefill_tokens, state.latency_sums()
    )


def is_active(load: peer_loads.Load) -> bool:
    """Whether a full state includes the load."""
    return bool(
        load.in_flight or load.latency_sums.measured_ms >= MIN_LATENCY_SUM_MS
    )


def to_load_message(load: peer_loads.Load) -> messages.EndpointLoad:
    """Returns the wire type of a load."""
    return messages.EndpointLoad(
        load.in_flight,
        round(load.prefill_tokens),
        round(load.latency_sums.measured_ms),
        round(load.latency_sums.expected_ms),
    )


def add_loads(
    totals: dict[str, peer_loads.Load], loads: dict[str, peer_loads.Load]
) -> None:
    """Adds loads to the totals by endpoint id."""
    for endpoint_id, load in loads.items():
        totals[endpoint_id] = totals.get(endpoint_id, peer_loads.NO_LOAD) + load


def to_pool_messages(
    sizes_by_service: dict[str, pool_sizes.Sizes],
) -> dict[str, tuple[int, int]]:
    """Returns pool sizes by service as pairs."""
    return {
        service: (sizes.short, sizes.interactive)
        for service, sizes in sizes_by_service.items()
    }


def to_loads(message: messages.StateMessage) -> dict[str, peer_loads.Load]:
    """Returns the loads of a message by endpoint id."""
    return {
        endpoint_id: peer_loads.Load(
            load.in_flight,
            load.prefill_tokens,
            latency.LatencySums(load.measured_ms, load.expected_ms),
        )
        for endpoint_id, load in message.loads.items()
    }
