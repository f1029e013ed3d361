"""Chooses endpoints and notes what the choice brings about."""

from hornbeampier.routing import choice
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import requests


class Dispatcher:
    """Chooses for plain requests and for generations."""

    def __init__(
        self,
        plain: choice.Chooser,
        engines: choice.Chooser,
        pools: pools.Pools,
        placements: placements.Placements,
    ):
        self._plain = plain
        self._engines = engines
        self._pools = pools
        self._placements = placements

    def choose(
        self, req: requests.Request, tried: set[str]
    ) -> choice.Choice | None:
        """Returns the endpoint of the next attempt, or None."""
        if req.prompt is None:
            return self._plain.choose(req, tried)
        chosen = self._engines.choose(req, tried)
        if chosen is not None:
            self._pools.record(req, chosen.prefill_tokens)
            self._placements.record(chosen.state, req.prompt)
        return chosen
