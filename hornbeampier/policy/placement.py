"""Plans which engine holds which model, as a function of what is seen."""

from collections.abc import Iterable
import dataclasses
import math

from hornbeampier.endpoints import messages
from hornbeampier.operators import schema

States = dict[str, messages.ModelState]


@dataclasses.dataclass(frozen=True)
class PlannedOrder:
    """A change of one engine's models.

    Attributes:
        loads: How many models the engine has to load.
    """

    endpoint: schema.Endpoint
    models: tuple[messages.HeldModel, ...]
    seen: messages.ModelState
    loads: int


def plan(cfg: schema.Configuration, seen: States) -> list[PlannedOrder]:
    """Returns the orders that may be sent now, most useful first.

    Args:
        cfg: The configuration in force.
        seen: The state of every engine that answered; the others count as
            unavailable and get no order.
    """
    wanted = assign(cfg, seen)
    budget = cfg.rollout.concurrent_loads
    budget -= sum(state.loading for state in seen.values())
    orders = []
    unavailable = {name for name, state in seen.items() if state.loading}
    for endpoint in cfg.endpoints:
        order = _find_order(endpoint, wanted, seen)
        if order is None:
            continue
        if order.loads and budget <= 0:
            continue
        if not _may_interrupt(cfg, order, seen, unavailable):
            continue
        orders.append(order)
        if order.loads:
            budget -= 1
            unavailable.add(endpoint.name)
    return orders


def assign(
    cfg: schema.Configuration, seen: States
) -> dict[str, tuple[messages.HeldModel, ...]]:
    """Returns the models that each engine is to hold in the end.

    Engines that already hold a version keep it; the others follow by name.
    """
    wanted: dict[str, list[messages.HeldModel]] = {
        e.name: [] for e in _engines(cfg)
    }
    for placement in cfg.placements:
        held = messages.HeldModel(
            placement.model, placement.version, placement.adapter
        )
        able = [
            e
            for e in _engines(cfg)
            if e.name in seen
            and placement.model in e.serves
            and e.availability_zone == placement.availability_zone
            and not any(m.model == held.model for m in wanted[e.name])
        ]
        able.sort(key=lambda e: (not _holds(seen[e.name], held), e.name))
        for endpoint in able[: placement.endpoints]:
            wanted[endpoint.name].append(held)
    return {name: tuple(sorted(models)) for name, models in wanted.items()}


def _engines(cfg: schema.Configuration) -> Iterable[schema.Endpoint]:
    """Yields the engines that the placements are about."""
    placed = {p.model for p in cfg.placements}
    for endpoint in cfg.endpoints:
        if endpoint.kind is schema.EndpointKind.ENGINE and placed.intersection(
            endpoint.serves
        ):
            yield endpoint


def _holds(state: messages.ModelState, held: messages.HeldModel) -> bool:
    return held in state.models or held in state.wanted


def _find_order(
    endpoint: schema.Endpoint,
    wanted: dict[str, tuple[messages.HeldModel, ...]],
    seen: States,
) -> PlannedOrder | None:
    state = seen.get(endpoint.name)
    models = wanted.get(endpoint.name)
    if state is None or models is None:
        return None
    if set(state.wanted) == set(models):
        return None
    loads = len(set(models) - set(state.models))
    return PlannedOrder(endpoint, models, state, loads)


def _may_interrupt(
    cfg: schema.Configuration,
    order: PlannedOrder,
    seen: States,
    unavailable: set[str],
) -> bool:
    """Returns whether enough engines of each model that stops remain."""
    after = {m.model for m in order.models} if not order.loads else set()
    stopped = {m.model for m in order.seen.models} - after
    return all(
        _may_stop(cfg, model, order.endpoint.name, seen, unavailable)
        for model in stopped
    )


def _may_stop(
    cfg: schema.Configuration,
    model: str,
    name: str,
    seen: States,
    unavailable: set[str],
) -> bool:
    wanted = sum(p.endpoints for p in cfg.placements if p.model == model)
    serving = {
        endpoint
        for endpoint, state in seen.items()
        if endpoint not in unavailable
        and any(m.model == model for m in state.models)
    }
    left = len(serving - {name})
    if wanted == 0:
        return True
    allowed = math.floor(wanted * cfg.rollout.max_unavailable_share)
    return left >= max(1, wanted - max(1, allowed))
