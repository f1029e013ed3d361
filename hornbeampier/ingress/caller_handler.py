"""Checks and forwards callers' requests, and responds to refused ones."""

import json

import gevent
import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier import node_metrics
from hornbeampier.forwarding import early_ends
from hornbeampier.forwarding import forwarder
from hornbeampier.forwarding import prompt_outcomes
from hornbeampier.forwarding import selection
from hornbeampier.forwarding import streams
from hornbeampier.http1 import caller_watch
from hornbeampier.http1 import messages
from hornbeampier.http1 import server
from hornbeampier.ingress import admission
from hornbeampier.ingress import late_requests
from hornbeampier.platform import headers
from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import load_shedding

# Limits until a configuration is known.
INITIAL_LIMITS = domain.Limits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class CallerHandler:
    """Reads, checks and forwards requests, or refuses them.

    Attributes:
        draining: Whether each response closes its connection.
        late_requests: Which requests are taken while the VM shuts down.
    """

    def __init__(
        self,
        catalog: catalog.Catalog,
        admission: admission.Admission,
        forwarder: forwarder.Forwarder,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        self._catalog = catalog
        self._admission = admission
        self._forwarder = forwarder
        self._metrics = metrics
        self._prompt_outcomes = prompt_outcomes.PromptOutcomes(metrics)
        self._clock = clock
        self._log = structlog.get_logger(task="callers")
        self.draining = False
        self.late_requests = late_requests.LateRequests(clock)
        # The tasks that serve requests.
        self._open: set[gevent.Greenlet] = set()

    @property
    def open_requests(self) -> int:
        """Number of requests that have begun and are not responded to."""
        return len(self._open)

    def begin_drain(self, end_ms: float) -> None:
        """Closes connections after responses, and refuses what ends too late.

        Args:
            end_ms: When open requests are ended, on the monotonic clock.
        """
        self.draining = True
        self.late_requests.begin(end_ms)

    def refuse_late(self, latest_deadline_ms: float) -> None:
        """Refuses all requests with a later deadline."""
        self.late_requests.latest_deadline_ms = latest_deadline_ms

    def abort_requests(self) -> None:
        """Ends the open requests; callers are told what is known of them."""
        for task in list(self._open):
            task.kill(errors.ShutdownError, block=False)

    def limits(self) -> domain.Limits:
        """Returns the limits of the configuration in force."""
        cfg = self._catalog.cfg
        return INITIAL_LIMITS if cfg is None else cfg.limits

    def handle(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> bool:
        """Serves a request; returns whether another may follow on `conn`."""
        arrived_ms = self._clock.now()
        task = gevent.getcurrent()
        self._open.add(task)
        conn.close_after_response = self.draining
        try:
            self._respond(conn, head, arrived_ms)
        except errors.ShutdownError:
            self._end_at_shutdown(conn, head)
            return False
        except streams.InterruptedStreamError as exc:
            self._log.warning(
                "stream_broken", request_id=_request_id(head), error=str(exc)
            )
            conn.abort()
            return False
        except caller_watch.CallerGoneError:
            self._log.info(
                "caller_gone",
                request_id=_request_id(head),
                after_ms=round(self._clock.now() - arrived_ms),
            )
            raise
        except (server.BadRequestError, memory_budget.ReclaimedError):
            raise
        except Exception as exc:
            return self._end_unexpected(conn, head, exc)
        finally:
            self._open.discard(task)
        return not self.draining

    def _respond(
        self,
        conn: server.ServerConnection,
        head: messages.RequestHead,
        arrived_ms: float,
    ) -> None:
        try:
            self._serve(conn, head, arrived_ms)
        except errors.RefusalError as exc:
            self._refuse(conn, head, exc)

    def _end_at_shutdown(
        self, conn: server.ServerConnection, head: messages.RequestHead
    ) -> None:
        """Ends a request that is not being forwarded, so that it has not run.

        It may be a response that its caller is slow to read.
        """
        if conn.response_complete:
            return
        if conn.response_begun:
            conn.abort()
            return
        refusal = late_requests.make_refusal()
        self._log_refusal(head, refusal)
        conn.respond_after_error(*_refusal_response(refusal))

    def _end_unexpected(
        self,
        conn: server.ServerConnection,
        head: messages.RequestHead,
        exc: Exception,
    ) -> bool:
        """Tells the caller what is known of its request.

        The forwarder ends its own unexpected errors, so a request that was not
        refused with another verdict has not been sent.

        Returns:
            Whether another request may follow on `conn`.
        """
        refusal = exc.__context__
        if not isinstance(refusal, errors.RefusalError):
            refusal = errors.RefusalError(
                503,
                errors.RefusalCode.INTERNAL,
                early_ends.UNEXPECTED,
                retry_after_ms=selection.RETRY_AFTER_MS,
            )
        self._log.error(
            "internal_error",
            request_id=_request_id(head),
            status=refusal.status,
            verdict=refusal.verdict.value,
            complete=conn.response_complete,
            exc_info=exc,
        )
        if conn.response_complete:
            return not self.draining
        if conn.response_begun:
            conn.abort()
            return False
        conn.respond_after_error(*_refusal_response(refusal))
        return False

    def _serve(
        self,
        conn: server.ServerConnection,
        head: messages.RequestHead,
        arrived_ms: float,
    ) -> None:
        self._admission.wait_for_start()
        try:
            accepted = self._admission.check(head, arrived_ms)
        except errors.RefusalError:
            # A body left unread would make the connection unusable for the next
            # request.
            limits = self.limits()
            conn.discard_body(
                limits.body_bytes,
                limits.header_timeout_ms,
                INITIAL_LIMITS.idle_timeout_ms,
            )
            raise
        limits = accepted.limits
        body = conn.read_body(
            limits.body_bytes,
            limits.header_timeout_ms,
            accepted.deadline_ms - self._clock.now(),
        )
        req = accepted.with_body(body)
        self.late_requests.check(req)
        with self._prompt_outcomes.count(req), conn.watch_caller():
            self._forwarder.forward(req, conn, self.late_requests.check)
        self.late_requests.durations.record(
            req.route.name, self._clock.now() - arrived_ms
        )

    def _refuse(
        self,
        conn: server.ServerConnection,
        head: messages.RequestHead,
        exc: errors.RefusalError,
    ) -> None:
        self._log_refusal(head, exc)
        conn.respond(*_refusal_response(exc))

    def _log_refusal(
        self, head: messages.RequestHead, exc: errors.RefusalError
    ) -> None:
        route = self._catalog.route_table.match(head.host, head.path)
        self._metrics.record_response(
            route.name if route else "", exc.status, exc.code.value
        )
        self._log.info(
            "refused",
            request_id=_request_id(head),
            status=exc.status,
            code=exc.code.value,
            verdict=exc.verdict.value,
            error=exc.message,
            route=route and route.name,
            host=head.host,
            path=head.path,
            version=self._catalog.version,
            **_describe_prompt(exc),
        )


def _refusal_response(
    exc: errors.RefusalError,
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Returns status, headers and body of the response to a refused request."""
    body = json.dumps({"error": exc.code.value, "message": exc.message})
    response_headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if exc.retry_after_ms is not None:
        seconds = exc.retry_after_ms / clocks.MS_PER_SECOND
        response_headers.append((b"Retry-After", b"%.3f" % seconds))
    return exc.status, response_headers, body.encode()


def _describe_prompt(exc: errors.RefusalError) -> dict[str, object]:
    """Returns the log fields on a prompt that an engine had no room for."""
    if not isinstance(exc, load_shedding.OverloadError):
        return {}
    prompt = exc.prompt
    return {
        "endpoint": prompt.endpoint_id,
        "kind": prompt.kind.name.lower(),
        "prompt_tokens": prompt.tokens,
        "own_ms": round(prompt.own_ms),
        "ahead_ms": round(prompt.ahead_ms),
        "limit_ms": round(prompt.limit_ms),
        "utilization": round(prompt.prefill_utilization, 2),
        "speed_factor": round(prompt.speed_factor, 2),
    }


def _request_id(head: messages.RequestHead) -> str:
    return headers.decode_request(head).request_id
