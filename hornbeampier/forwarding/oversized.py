"""Records endpoints that send more than a response of theirs may hold."""

import structlog

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.routing import domain
from hornbeampier.routing import fleet


class OversizedResponses:
    """Logs and counts them, and ejects the endpoints that sent them."""

    def __init__(
        self,
        fleet: fleet.Fleet,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        self._fleet = fleet
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger(task="oversized")

    def record(self, endpoint: domain.Endpoint, reason: str) -> None:
        """Records that an endpoint has sent more than `reason` allows."""
        self._metrics.record_oversized(endpoint.id)
        self._log.warning(
            "response_oversized", endpoint=endpoint.id, error=reason
        )
        state = self._fleet.get(endpoint.id)
        now_ms = self._clock.now()
        # What it sends to many requests at once counts as one failure.
        if state is not None and now_ms >= state.ejected_until_ms:
            state.record_failure(now_ms)
