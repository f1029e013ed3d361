"""Counts what becomes of prompts, by their size."""

from collections.abc import Iterator
import contextlib
import enum

from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.http1 import caller_watch
from hornbeampier.routing import prompt_sizes
from hornbeampier.routing import requests


class Outcome(enum.StrEnum):
    """How an attempt of a caller at a prompt ended.

    SERVED: The endpoint's whole response was passed on.
    REFUSED: No endpoint ran it.
    LEFT: The caller went away first.
    CUT: An endpoint may have begun on it, and no whole response came of it.
    """

    SERVED = "served"
    REFUSED = "refused"
    LEFT = "left"
    CUT = "cut"


class PromptOutcomes:
    """Counts the outcomes of prompts by route and size band."""

    def __init__(self, metrics: node_metrics.NodeMetrics):
        self._sizes = prompt_sizes.PromptSizes()
        self._metrics = metrics

    @contextlib.contextmanager
    def count(self, req: requests.Request) -> Iterator[None]:
        """Counts the outcome of what runs in this context, if it is a prompt.

        A context that raises nothing has served the request.
        """
        if req.prompt is None:
            yield
            return
        band = self._sizes.rank(req)
        outcome = Outcome.CUT
        try:
            yield
            outcome = Outcome.SERVED
        except errors.RefusalError as exc:
            if not exc.verdict.may_have_run:
                outcome = Outcome.REFUSED
            raise
        except caller_watch.CallerGoneError:
            outcome = Outcome.LEFT
            raise
        finally:
            self._metrics.record_prompt(req.route.name, band, outcome)
