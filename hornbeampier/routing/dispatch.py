"""Chooses an endpoint for each attempt and records the load it causes."""

from hornbeampier.routing import choosers
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import fleet
from hornbeampier.routing import load_shedding
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import requests


class Dispatcher:
    """Dispatches plain requests and prompts to their choosers."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        plain_chooser: choosers.Chooser,
        engine_chooser: choosers.Chooser,
        pools: pools.EnginePools,
        placements: placements.Placements,
        prefill_meter: prefill.PrefillMeter,
        load_shedder: load_shedding.LoadShedder,
    ):
        self._fleet = fleet
        self._plain_chooser = plain_chooser
        self._engine_chooser = engine_chooser
        self._pools = pools
        self._placements = placements
        self._prefill_meter = prefill_meter
        self._load_shedder = load_shedder

    def choose(
        self,
        req: requests.Request,
        tried: set[str],
        version: str | None = None,
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the endpoint for the next attempt, or None if none is left.

        Args:
            req: The request.
            tried: Ids of endpoints to leave out.
            version: Software version that the endpoint must run; None for any.

        Raises:
            load_shedding.OverloadError: The request has not been sent anywhere
                yet, and the chosen engine is overloaded.
        """
        if req.prompt is None:
            return self._plain_chooser.choose(req, tried, version)
        choice = self._engine_chooser.choose(req, tried, version)
        if choice is None:
            return None
        slots = choice.state.endpoint.slots
        self._pools.record(req, choice.prefill_tokens, slots)
        if not tried:
            self._load_shedder.check(req, choice)
        self._placements.record(choice.state, req.prompt)
        self._prefill_meter.record(choice.state.id, choice.prefill_tokens)
        return choice

    def has_candidates(
        self,
        req: requests.Request,
        tried: set[str],
        version: str | None = None,
    ) -> bool:
        """Whether an endpoint outside `tried` may get the request now."""
        return bool(self._fleet.candidates(req.service, tried, version))

    def withheld(self, req: requests.Request) -> dict[str, str]:
        """Returns why endpoints of the request's service want fewer requests.

        They are keyed by endpoint id.
        """
        return self._fleet.withheld(req.service)

    def opens_in_ms(
        self,
        req: requests.Request,
        tried: set[str],
        version: str | None = None,
    ) -> float | None:
        """Returns when an endpoint that wants fewer requests may get one.

        None if no endpoint of the request's service is left.
        """
        return self._fleet.opens_in_ms(req.service, tried, version)
