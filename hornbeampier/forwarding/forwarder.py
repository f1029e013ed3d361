"""Forwards a request to endpoints until the caller has its response."""

from collections.abc import Callable
import dataclasses

import structlog

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import choice_log
from hornbeampier.forwarding import context as contexts
from hornbeampier.forwarding import crash_guard
from hornbeampier.forwarding import early_ends
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import request_usage
from hornbeampier.forwarding import response_checks
from hornbeampier.forwarding import selection
from hornbeampier.forwarding import served_log
from hornbeampier.forwarding import stalls
from hornbeampier.forwarding import stream_parts
from hornbeampier.forwarding import streams
from hornbeampier.forwarding import version_guard
from hornbeampier.http1 import server
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import requests
from hornbeampier.routing import stream_origins

# Unreachable endpoints do not count as attempts. After this number of them, the
# next endpoint is tried only if a retry is allowed.
MAX_UNREACHABLE = 4
# No retry is made with less remaining time than this.
MIN_ATTEMPT_MS = 10.0


class Forwarder:
    """Forwards requests, with retries where these are safe."""

    def __init__(self, context: contexts.Context):
        self._context = context

    def forward(
        self,
        req: requests.Request,
        caller: server.ServerConnection,
        check_time: Callable[[requests.Request], None],
    ) -> None:
        """Forwards a request and sends the response to the caller.

        Args:
            req: The request.
            caller: The connection to the caller.
            check_time: Raises errors.RefusalError if a request that has not
                been sent may not end before this VM stops.

        Raises:
            errors.RefusalError: No endpoint gave a response to pass on, or
                there was an unexpected error.
            streams.InterruptedStreamError: The response was interrupted after
                the caller had received part of it.
        """
        origin = self._context.resumption.find_origin(req)
        if origin is not None:
            req = dataclasses.replace(req, service=origin.service)
        forwarding = _Forwarding(self._context, req, caller, origin, check_time)
        try:
            forwarding.check_blocked()
            self._context.budget.record_request(req.service)
            forwarding.run()
        except (errors.RefusalError, streams.InterruptedStreamError):
            raise
        except (Exception, errors.ShutdownError) as exc:
            forwarding.end_early(exc)


class _Forwarding:
    """The attempts of one request."""

    def __init__(
        self,
        context: contexts.Context,
        req: requests.Request,
        caller: server.ServerConnection,
        origin: stream_origins.Origin | None,
        check_time: Callable[[requests.Request], None],
    ):
        self._context = context
        self._clock = context.clock
        self._req = req
        self._caller = caller
        self._check_time = check_time
        self._selector = selection.EndpointSelector(
            context.dispatcher, req, context.clock, context.rng
        )
        self._version_guard = version_guard.VersionGuard(
            req, origin, context.resumption, context.begin_proof
        )
        self._relay = streams.StreamRelay(
            caller,
            context.clock,
            self._version_guard.record_begin,
            req.last_event_before,
        )
        self._usage = request_usage.RequestUsage(
            context.usage, req, context.clock
        )
        self._tried: set[str] = set()
        self._attempts = 0
        self._unreachable_count = 0
        self._retry_granted = False
        self._verdict = verdict.Verdict.NOT_RUN
        self._crash_guard = crash_guard.CrashGuard(
            context.crashes, req, context.clock
        )
        self._log = structlog.get_logger(task="forwarder", request_id=req.id)

    def run(self) -> None:
        """Makes attempts until one succeeds or no retry is allowed."""
        while True:
            choice = self._choose_endpoint()
            try:
                self._run_attempt(choice)
                return
            except errors.AttemptError as exc:
                self._record_failure(choice, exc)
                self._check_retry(exc)

    def end_early(self, exc: Exception | errors.ShutdownError) -> None:
        """Ends the request after an unexpected error, or as the VM stops."""
        early_ends.end(
            exc, self._caller, self._verdict, self._relay.events, self._log
        )

    def check_blocked(self) -> None:
        """Raises the refusal of a request that crashes endpoints."""
        if self._relay.events:
            # An endpoint has begun on it and did not crash at once.
            return
        block = self._crash_guard.find_block(self._attempts)
        if block is None:
            return
        raise self._refuse(
            errors.RefusalCode.CRASHES_ENDPOINTS,
            self._crash_guard.describe(block),
            self._crash_guard.retry_after_ms(block),
        )

    def _choose_endpoint(self) -> endpoint_choice.EndpointChoice:
        self.check_blocked()
        try:
            version = self._version_guard.prove_version()
            choice = self._selector.select(self._tried, version)
        except selection.NoEndpointError as exc:
            raise self._refuse(exc.code, str(exc), exc.retry_after_ms) from exc
        # The request may have waited for its turn meanwhile.
        self.check_blocked()
        if not self._attempts:
            self._check_time(self._req)
        choice_log.log_choice(
            self._log,
            self._context,
            self._req,
            choice,
            attempt=self._attempts + 1,
            withheld=self._selector.withheld(),
            after_event=self._relay.last_event_id,
        )
        return choice

    def _run_attempt(self, choice: endpoint_choice.EndpointChoice) -> None:
        in_flight_attempt = fleet.InFlightAttempt(
            choice.state, choice.expected_response_ms, choice.prefill_tokens
        )
        attempt = endpoint_attempt.EndpointAttempt(
            self._context.connection_pool,
            choice.state,
            self._context.announcements,
            self._clock,
        )
        observer = engine_model.AttemptObserver(
            self._context.engine_models.of(self._req.service),
            choice,
            self._clock,
        )
        self._crash_guard.begun_ms = None
        self._usage.begin(attempt)
        try:
            attempt.open(
                self._req,
                self._relay.last_event_id,
                choice.fetch_from,
                needs_version=self._version_guard.version is not None,
            )
            self._attempts += 1
            self._check_response(attempt)
            self._usage.record_run()
            self._deliver(attempt, in_flight_attempt, observer, choice)
            in_flight_attempt.record_response()
            choice.state.record_success(self._clock.now())
        except errors.AttemptError as exc:
            if exc.was_sent and attempt.fields is None:
                self._attempts += 1
            if exc.verdict.may_have_run:
                self._usage.record_run()
            in_flight_attempt.record_failure()
            raise
        except (Exception, errors.ShutdownError):
            # Not expected: it is only known whether the request was sent.
            if attempt.sent_ms is not None:
                self._verdict = self._verdict.combine(
                    verdict.Verdict.MAY_HAVE_RUN
                )
                self._usage.record_run()
            in_flight_attempt.record_failure()
            raise
        finally:
            self._usage.end()
            in_flight_attempt.end()
            attempt.close()

    def _check_response(
        self, attempt: endpoint_attempt.EndpointAttempt
    ) -> None:
        """Raises AttemptError for a response that is not passed on."""
        response_checks.check(attempt.fields)
        if response_checks.is_server_error(
            attempt.fields
        ) and self._try_acquire_retry(verdict.Verdict.RAN):
            self._retry_granted = True
            raise errors.AttemptError(
                f"the endpoint failed with status {attempt.fields.status}",
                verdict.Verdict.RAN,
            )

    def _deliver(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        in_flight_attempt: fleet.InFlightAttempt,
        observer: engine_model.AttemptObserver,
        choice: endpoint_choice.EndpointChoice,
    ) -> None:
        if stream_parts.is_relayed(
            self._req, attempt.head, self._relay.started
        ):
            watch = stalls.StallWatch(
                self._req.route,
                choice.state,
                lambda: self._may_resume(choice),
                self._clock,
            )
            self._relay_stream(attempt, in_flight_attempt, observer, watch)
            attempt.finish()
            self._relay.end(attempt)
            self._record_served(attempt)
            return
        response = streams.read_buffered(
            attempt, self._caller, self._req.deadline_ms, self._clock
        )
        attempt.finish()
        self._caller.respond(response.status, response.headers, response.body)
        self._record_served(attempt)

    def _relay_stream(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        in_flight_attempt: fleet.InFlightAttempt,
        observer: engine_model.AttemptObserver,
        watch: stalls.StallWatch,
    ) -> None:
        is_resumed = self._relay.started

        def on_block() -> None:
            self._crash_guard.on_block()
            in_flight_attempt.record_response()
            if not is_resumed:
                self._usage.on_block()
                observer.on_block()

        self._relay.relay(attempt, on_block, watch)
        if observer.estimate_ratio is not None and self._req.prompt:
            service = self._req.service
            model = self._context.engine_models.of(service)
            self._context.metrics.record_estimate(
                service, observer.estimate_ratio, model.tokens_per_ms
            )
        if not is_resumed:
            observer.on_end(
                self._relay.shortest_delay_ms,
                self._relay.longest_delay_ms,
                self._relay.event_delay_ms,
            )

    def _may_resume(self, choice: endpoint_choice.EndpointChoice) -> bool:
        """Whether a stalled stream may go on at another endpoint.

        If so, a retry is taken from the budget.
        """
        tried = self._tried | {choice.state.id}
        guard = self._version_guard
        if not self._selector.has_candidates(tried, guard.version):
            return False
        self._retry_granted = guard.is_proved() and self._try_acquire_retry(
            verdict.Verdict.MAY_HAVE_RUN
        )
        return self._retry_granted

    def _record_served(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        if response_checks.is_success(attempt.fields):
            self._crash_guard.record_served()
        served_log.record_served(
            self._log,
            self._context,
            self._req,
            attempt.fields.status,
            self._attempts,
            self._relay,
        )

    def _record_failure(
        self, choice: endpoint_choice.EndpointChoice, exc: errors.AttemptError
    ) -> None:
        self._context.metrics.record_attempt(
            self._req.service,
            "withheld" if exc.withheld else exc.verdict.value,
        )
        if exc.withheld:
            return
        self._verdict = self._verdict.combine(exc.verdict)
        self._tried.add(choice.state.id)
        if exc.unsent:
            self._unreachable_count += 1
        is_down = (exc.unsent and not exc.unproved) or (
            exc.connection_lost and self._detect_crash(choice, exc.silent)
        )
        if is_down:
            choice.state.record_failure(self._clock.now())
        self._log.warning(
            "attempt_failed",
            endpoint=choice.state.id,
            verdict=exc.verdict.value,
            error=str(exc),
            endpoint_down=is_down,
            events=self._relay.events,
            **(self._crash_guard.describe_suspects() if is_down else {}),
        )

    def _detect_crash(
        self, choice: endpoint_choice.EndpointChoice, is_silent: bool
    ) -> bool:
        """Whether the endpoint has crashed, after its response was interrupted.

        If so, the crash is recorded.
        """
        endpoint = choice.state.endpoint
        lost_ms = self._clock.now()
        if self._context.connection_pool.probe(endpoint):
            return False
        self._crash_guard.record_crash(endpoint, lost_ms, is_silent)
        return True

    def _check_retry(self, exc: errors.AttemptError) -> None:
        """Raises the final refusal unless a retry is allowed."""
        remaining_ms = self._req.deadline_ms - self._clock.now()
        if exc.timed_out or remaining_ms < MIN_ATTEMPT_MS:
            raise self._refuse(
                errors.RefusalCode.ENDPOINT_TIMEOUT,
                "no complete response arrived before the deadline",
            )
        if self._retry_granted:
            self._retry_granted = False
            return
        if exc.withheld or (
            exc.unsent and self._unreachable_count < MAX_UNREACHABLE
        ):
            return
        if not self._try_acquire_retry(self._verdict):
            raise self._refuse(errors.RefusalCode.ENDPOINT_FAILED, str(exc))

    def _try_acquire_retry(self, known_verdict: verdict.Verdict) -> bool:
        """Whether a retry is allowed; if so, takes it from the budget."""
        route = self._req.route
        if known_verdict.may_have_run and not route.idempotent:
            return False
        if self._attempts >= route.max_attempts:
            return False
        return self._context.budget.try_acquire(self._req.service)

    def _refuse(
        self,
        code: errors.RefusalCode,
        message: str,
        retry_after_ms: float = selection.RETRY_AFTER_MS,
    ) -> errors.RefusalError | streams.InterruptedStreamError:
        """Returns the error that ends the request."""
        if self._relay.started:
            return streams.InterruptedStreamError(message)
        return response_checks.make_refusal(
            code, message, self._verdict, retry_after_ms
        )
