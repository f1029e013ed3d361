"""Tells a refusal by an endpoint from an earlier one that is sent again."""

import collections

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.routing import domain

# Number of refusals that are remembered, over all endpoints.
MAX_REFUSALS = 4_096


class RefusalLog:
    """The recent refusals by endpoints, by address and request id.

    An endpoint's response names its request by the request's id. If a process
    gets the same id twice, its first refusal cannot be told from its second
    one. A process is known by its address, as two ids may share one.
    """

    def __init__(self):
        # Hashes, as the length of ids is up to the callers.
        self._refused: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def check(self, endpoint: domain.Endpoint, request_id: str) -> None:
        """Records a refusal that bears the id of a request.

        Raises:
            errors.AttemptError: The refusal may be that of an earlier request
                with this id, or the request has none.
        """
        key = hash((endpoint.host, endpoint.port, request_id))
        if not request_id or key in self._refused:
            raise errors.AttemptError(
                "the endpoint's refusal may be that of an earlier request",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        self._refused[key] = None
        if len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)
