"""Builds the components with which a VM chooses endpoints."""

from collections.abc import Callable
import dataclasses
import random

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.routing import catalog
from hornbeampier.routing import choosers
from hornbeampier.routing import dispatch
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import load_shedding
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import service_speeds
from hornbeampier.routing import zone_spill


@dataclasses.dataclass(frozen=True, slots=True)
class SharedComponents:
    """The components by whose state endpoints are chosen."""

    catalog: catalog.Catalog
    fleet: fleet.Fleet
    peer_loads: peer_loads.PeerLoads
    pools: pools.EnginePools
    placements: placements.Placements
    classifier: prompt_kinds.PromptClassifier
    prefill_meter: prefill.PrefillMeter
    engine_models: engine_model.EngineModels
    metrics: node_metrics.NodeMetrics


def build_dispatcher(
    shared: SharedComponents,
    zone: str,
    zone_vm_count: Callable[[], int],
    clock: clocks.Clock,
    rng: random.Random,
) -> dispatch.Dispatcher:
    """Returns the dispatcher of this VM.

    Args:
        shared: The components by whose state it chooses.
        zone: This VM's availability zone; empty if unknown.
        zone_vm_count: Returns the number of live VMs in this zone.
        clock: The clock.
        rng: Draws among endpoints.
    """
    load_shedder = load_shedding.LoadShedder(shared.classifier, clock, rng)
    zones = None
    if zone:
        zones = zone_spill.ZoneSpill(
            zone,
            shared.fleet,
            shared.peer_loads,
            zone_vm_count,
            clock,
            rng,
            shared.metrics.record_zone_choice,
        )
    speeds = service_speeds.ServiceSpeeds(
        shared.fleet,
        shared.peer_loads,
        clock,
        shared.metrics.record_speed_factors,
    )
    shared.pools.speed_factors = speeds.long_term_factors
    plain_chooser = choosers.LeastLoadedChooser(
        shared.fleet, shared.peer_loads, rng, zones
    )
    engine_chooser = choosers.EngineChooser(
        shared.fleet,
        shared.peer_loads,
        shared.pools,
        shared.classifier,
        shared.prefill_meter,
        load_shedder,
        shared.engine_models,
        shared.catalog.engine_traits,
        speeds,
        rng,
        zone,
    )
    return dispatch.Dispatcher(
        shared.fleet,
        plain_chooser,
        engine_chooser,
        shared.pools,
        shared.placements,
        shared.prefill_meter,
        load_shedder,
    )
