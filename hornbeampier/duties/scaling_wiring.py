"""Builds the components that order endpoints."""

from collections.abc import Callable

from hornbeampier import application
from hornbeampier.duties import components
from hornbeampier.duties import order_sender
from hornbeampier.forwarding import context
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.routing import demand
from hornbeampier.routing import fleet
from hornbeampier.routing import prefill


def build_scaling(
    cfg: settings.NodeSettings,
    shared: context.Context,
    fleet: fleet.Fleet,
    prefill_meter: prefill.PrefillMeter,
    live_peers: Callable[[], list[str]],
    follows_endpoints: Callable[[], bool],
) -> list[application.Component]:
    """Returns the components in the order of their start.

    An application adds them last, so that the lease is released before callers
    are drained. There are none unless the settings name the duty.
    """
    duties = cfg.duties
    if duties is None or names.SCALING_DUTY not in duties.names:
        return []
    duty = components.build_duty(
        names.SCALING_DUTY,
        cfg,
        live_peers,
        shared.metrics,
        shared.clock,
        shared.rng,
    )
    meter = demand.DemandMeter(
        shared.catalog,
        fleet,
        shared.peer_loads,
        prefill_meter,
        shared.engine_models,
    )
    sender = order_sender.OrderSender(
        duty.keeper,
        duty.api,
        meter,
        live_peers,
        follows_endpoints,
        duties.lease_ms,
        duties.calls_per_s / len(duties.names),
        shared.metrics,
        shared.clock,
    )
    return [duty.keeper, sender]
