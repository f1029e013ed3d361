"""Asks all endpoints of a service whether they still run the version known.

A stream may have begun at an endpoint that had started again with another
version before its new entry was written. If the VM that began it is gone, only
the endpoint itself shows this.
"""

import gevent
from gevent import event
from gevent import pool
import structlog

from hornbeampier.forwarding import begin_proof
from hornbeampier.routing import catalog as catalogs
from hornbeampier.routing import stream_origins

# Number of endpoints that are asked at the same time.
MAX_PARALLEL = 16


class ProcessSurvey:
    """Makes rounds of questions; all who ask in one round share the next."""

    def __init__(
        self, proof: begin_proof.BeginProof, catalog: catalogs.Catalog
    ):
        """Creates the component.

        Args:
            proof: Asks an endpoint which of its processes runs.
            catalog: The entries that this VM has read.
        """
        self._proof = proof
        self._catalog = catalog
        self._running: dict[stream_origins.Origin, event.AsyncResult] = {}
        self._next: dict[stream_origins.Origin, event.AsyncResult] = {}
        self._log = structlog.get_logger(task="process_survey")

    def is_only_version(
        self, origin: stream_origins.Origin, deadline_ms: float
    ) -> bool:
        """Whether no endpoint of a service runs another version.

        An endpoint that does not reply counts as unchanged, so that one which
        is silent does not end the streams of all others.

        Args:
            origin: The service and the only version that its entries name.
            deadline_ms: When to give up, on the monotonic clock.
        """
        result = self._next.get(origin)
        if result is None:
            result = self._next[origin] = event.AsyncResult()
            gevent.spawn(self._run_round, origin, result, deadline_ms)
        return result.get()

    def _run_round(
        self,
        origin: stream_origins.Origin,
        result: event.AsyncResult,
        deadline_ms: float,
    ) -> None:
        """Sets the result; the round begins once the one before has ended."""
        earlier = self._running.get(origin)
        if earlier is not None:
            earlier.wait()
        self._running[origin] = self._next.pop(origin)
        is_only = False
        try:
            is_only = self._ask_all(origin, deadline_ms)
        finally:
            del self._running[origin]
            result.set(is_only)

    def _ask_all(
        self, origin: stream_origins.Origin, deadline_ms: float
    ) -> bool:
        endpoints = [
            e
            for e in self._catalog.endpoints.values()
            if stream_origins.of_endpoint(e) == origin
        ]
        replies = pool.Pool(MAX_PARALLEL).map(
            lambda e: self._proof.may_run_other_version(e, deadline_ms),
            endpoints,
        )
        others = [
            e.id
            for e, is_other in zip(endpoints, replies, strict=True)
            if is_other
        ]
        if others:
            self._log.warning(
                "process_unread",
                service=origin.service,
                software=origin.version,
                endpoints=others,
            )
        return not others
