"""Chooses an endpoint for each attempt and records the load it causes."""

from hornbeampier import errors
from hornbeampier.routing import choosers
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import load_shedding
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import requests


class Dispatcher:
    """Dispatches plain requests and prompts to their choosers."""

    def __init__(
        self,
        plain: choosers.Chooser,
        engines: choosers.Chooser,
        pools: pools.EnginePools,
        placements: placements.Placements,
        prefill_meter: prefill.PrefillMeter,
        wait_limit: load_shedding.LoadShedder,
    ):
        self._plain = plain
        self._engines = engines
        self._pools = pools
        self._placements = placements
        self._prefill_meter = prefill_meter
        self._wait_limit = wait_limit

    def choose(
        self, req: requests.Request, tried: set[str]
    ) -> endpoint_choice.EndpointChoice | None:
        """Returns the endpoint for the next attempt, or None if none is left.

        Raises:
            errors.RefusalError: The request has not been sent anywhere yet, and
                the expected wait is too long.
        """
        if req.prompt is None:
            return self._plain.choose(req, tried)
        chosen = self._engines.choose(req, tried)
        if chosen is None:
            return None
        slots = chosen.state.endpoint.slots
        self._pools.record(req, chosen.prefill_tokens, slots)
        if not tried:
            self._check_wait(req, chosen)
        self._placements.record(chosen.state, req.prompt)
        self._prefill_meter.record(chosen.state.id, chosen.prefill_tokens)
        return chosen

    def _check_wait(
        self, req: requests.Request, chosen: endpoint_choice.EndpointChoice
    ) -> None:
        if self._wait_limit.accepts(req, chosen):
            return
        raise errors.RefusalError(
            503,
            errors.RefusalCode.OVERLOADED,
            f"the engine has {chosen.wait_ms:.0f} ms of work waiting and reads "
            f"{chosen.reading_share:.0%} of its time",
            retry_after_ms=self._wait_limit.retry_after_ms(req),
        )
