"""Chooses endpoints and notes what the choice brings about."""

from hornbeampier import errors
from hornbeampier.routing import choice
from hornbeampier.routing import choices
from hornbeampier.routing import overload
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import reading
from hornbeampier.routing import requests


class Dispatcher:
    """Chooses for plain requests and for generations."""

    def __init__(
        self,
        plain: choice.Chooser,
        engines: choice.Chooser,
        pools: pools.Pools,
        placements: placements.Placements,
        reading: reading.ReadingMeter,
        wait_limit: overload.WaitLimit,
    ):
        self._plain = plain
        self._engines = engines
        self._pools = pools
        self._placements = placements
        self._reading = reading
        self._wait_limit = wait_limit

    def choose(
        self, req: requests.Request, tried: set[str]
    ) -> choices.Choice | None:
        """Returns the endpoint of the next attempt, or None.

        Raises:
            errors.RefusalError: The first attempt would have to wait too long.
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
        self._reading.record(chosen.state.id, chosen.prefill_tokens)
        return chosen

    def _check_wait(
        self, req: requests.Request, chosen: choices.Choice
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
