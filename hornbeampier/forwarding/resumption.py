"""Binds streams that callers take up to the software version that began them.

Events of two versions do not fit together, and endpoints do not check this.
"""

from collections.abc import Callable

import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.forwarding import begin_proof
from hornbeampier.forwarding import process_survey
from hornbeampier.routing import domain
from hornbeampier.routing import freshness as freshnesses
from hornbeampier.routing import origin_history
from hornbeampier.routing import requests
from hornbeampier.routing import stream_origins

# Retry-After if other VMs may know more than this one.
RETRY_AFTER_MS = 200.0


class Resumption:
    """Finds where streams began, and records where they begin."""

    def __init__(
        self,
        origins: stream_origins.StreamOrigins,
        history: origin_history.OriginHistory,
        directory: stream_origins.Directory,
        freshness: freshnesses.Freshness,
        proof: begin_proof.BeginProof,
        survey: process_survey.ProcessSurvey,
        is_learning: Callable[[], bool],
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            origins: The streams that are recorded on this VM.
            history: Where streams may have begun.
            directory: The streams that are recorded on other VMs.
            freshness: Confirms that this VM knows all versions and routes that
                any VM knew when a request arrived.
            proof: Proves which process of an endpoint has begun a stream.
            survey: Asks all endpoints of a service for their version.
            is_learning: Whether this VM may soon learn which versions served
                before it started.
            metrics: Counts the streams that are taken up.
            clock: The clock.
        """
        self._origins = origins
        self._history = history
        self._directory = directory
        self._freshness = freshness
        self._proof = proof
        self._survey = survey
        self._is_learning = is_learning
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger(task="resumption")

    def find_origin(
        self, req: requests.Request
    ) -> stream_origins.Origin | None:
        """Returns where the stream began that a request takes up.

        The result is None if the request begins a stream, or if its location
        has no endpoint at all.

        Raises:
            errors.RefusalError: Nobody knows, or the route does not go there
                any more. The request has not been sent anywhere.
        """
        if req.resumed is None or not self._history.possible(req.location):
            return None
        origin, source = self._find(req, req.resumed.request_id)
        self._metrics.record_resumption(source)
        self._log.info(
            "stream_taken_up",
            request_id=req.id,
            resumes=req.resumed.request_id,
            service=origin.service,
            software=origin.version,
            source=source,
        )
        if origin.service not in req.route.services:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.STREAM_ORIGIN_GONE,
                f"the stream began at service {origin.service}, to which the "
                "route does not go any more",
            )
        return origin

    def record_begin(
        self,
        req: requests.Request,
        endpoint: domain.Endpoint,
        process: domain.ProcessId | None,
    ) -> None:
        """Records that a stream begins, or goes on, at an endpoint.

        It is called before the first event is passed on. From then on the
        caller may take the stream up at any VM.

        Args:
            req: The request.
            endpoint: The entry by which the endpoint was chosen.
            process: The process that has begun it; None if it did not tell.
        """
        request_id = req.resumed.request_id if req.resumed else req.id
        if not request_id or not req.route.resumable:
            return
        remaining_ms = req.caller_deadline_ms - self._clock.now()
        self._history.record_stream(remaining_ms)
        if process is None and endpoint.started_ms:
            process = endpoint.process_id
        origin = stream_origins.of_endpoint(endpoint)
        if process is not None and process != endpoint.process_id:
            origin = stream_origins.of_unread_process(endpoint.service, process)
            self._history.record_unread(origin)
        stream = stream_origins.RecordedStream(
            stream_origins.digest_id(request_id),
            origin,
            self._clock.now() + stream_origins.bound_retention(remaining_ms),
            process,
        )
        self._directory.record(stream, not self._is_unambiguous(req))

    def _find(
        self, req: requests.Request, request_id: str
    ) -> tuple[stream_origins.Origin, str]:
        """Returns where a stream began, and how this VM learnt it."""
        key = stream_origins.digest_id(request_id) if request_id else None
        recorded = self._origins.find_stream(key) if key is not None else None
        if recorded is not None:
            origin = self._check_process(req, recorded.process, recorded.origin)
            return origin, "own_record"
        if key is None and not self._has_one_origin(req):
            raise self._unknown("its caller does not name it", None)
        remaining_ms = req.caller_deadline_ms - self._clock.now()
        self._history.record_stream(remaining_ms)
        confirmation = self._request_confirmation(req)
        result = self._directory.lookup(
            key,
            lambda: confirmation.is_confirmed and self._is_unambiguous(req),
        )
        if result.origin is not None:
            origin = self._check_process(req, result.process, result.origin)
            return origin, "peer"
        reason = f"none of {result.replies} VMs that replied knows it"
        if self._has_one_origin(req) and not (
            confirmation.wait() and self._freshness.is_current(req.route)
        ):
            self._log.warning("origin_unconfirmed", request_id=req.id)
            raise self._unknown(reason, RETRY_AFTER_MS, "unconfirmed")
        if self._is_unambiguous(req):
            (origin,) = self._history.possible(req.location)
            if not self._survey.is_only_version(origin, req.deadline_ms):
                raise self._unknown(reason, RETRY_AFTER_MS, "unconfirmed")
            return origin, "one_version"
        if not result.is_complete:
            raise self._unknown(reason, RETRY_AFTER_MS)
        if not self._has_one_origin(req):
            raise self._unknown(reason, None)
        raise self._unproved(req, reason)

    def _check_process(
        self,
        req: requests.Request,
        process: domain.ProcessId | None,
        origin: stream_origins.Origin,
    ) -> stream_origins.Origin:
        """Returns the origin of a record.

        Raises a refusal if another process may have begun the stream, or if the
        entry of its process has not been read. Without a process there is
        nothing to ask.
        """
        unread = origin.unread_process
        if unread is not None:
            read_origin = self._proof.find_origin(unread)
            if read_origin is not None:
                return read_origin
        elif process is None or self._proof.is_record_proved(
            process, origin.version, req.deadline_ms
        ):
            return origin
        raise self._unknown(
            "its endpoint may have started again before",
            RETRY_AFTER_MS,
            "unconfirmed",
        )

    def _request_confirmation(
        self, req: requests.Request
    ) -> freshnesses.Confirmation:
        """Asks the store only where its answer may decide."""
        if self._has_one_origin(req):
            return self._freshness.request()
        return freshnesses.Confirmation(0.0)

    def _has_one_origin(self, req: requests.Request) -> bool:
        """Whether this VM knows only one origin of the request's stream."""
        return len(self._history.possible(req.location)) == 1

    def _is_unambiguous(self, req: requests.Request) -> bool:
        """Whether the request's stream cannot have begun at two origins."""
        return self._has_one_origin(req) and self._history.is_proved()

    def _unproved(
        self, req: requests.Request, reason: str
    ) -> errors.RefusalError:
        """Returns the refusal of a stream that may be of an unknown version.

        It states when to retry, unless a retry cannot help.
        """
        missing_ms = self._history.missing_ms()
        # A VM that was suspended can learn from its peers in a moment.
        is_learning = self._is_learning() or not self._history.is_current()
        self._log.warning(
            "origin_unproved",
            request_id=req.id,
            covered_ms=round(
                stream_origins.bound_retention(self._history.covered_ms())
            ),
            missing_ms=round(stream_origins.bound_retention(missing_ms)),
            learning=is_learning,
        )
        remaining_ms = req.caller_deadline_ms - self._clock.now()
        retry_after_ms = None
        if is_learning:
            retry_after_ms = RETRY_AFTER_MS
        elif missing_ms < remaining_ms:
            retry_after_ms = max(missing_ms, RETRY_AFTER_MS)
        return self._unknown(reason, retry_after_ms, "unproved")

    def _unknown(
        self,
        reason: str,
        retry_after_ms: float | None,
        source: str = "unknown",
    ) -> errors.RefusalError:
        self._metrics.record_resumption(source)
        return errors.RefusalError(
            503,
            errors.RefusalCode.STREAM_ORIGIN_UNKNOWN,
            "several software versions may have served, and it is not known "
            f"which one began the stream: {reason}",
            retry_after_ms=retry_after_ms,
        )
