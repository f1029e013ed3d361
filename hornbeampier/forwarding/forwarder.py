"""Forwards a request until it has its final answer."""

import dataclasses

import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier import verdict
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import response_checks
from hornbeampier.forwarding import streams
from hornbeampier.http1 import server
from hornbeampier.routing import budget
from hornbeampier.routing import crashes
from hornbeampier.routing import dispatch
from hornbeampier.routing import domain
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import fleet
from hornbeampier.routing import requests

# Endpoints that could not be reached do not count as attempts.
MAX_UNREACHABLE = 4
MIN_RETRY_AFTER_MS = 200.0
# An attempt with less time than this is not worth making.
MIN_ATTEMPT_MS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What the forwarding of all requests shares."""

    connection_pool: connection_pool.ConnectionPool
    dispatcher: dispatch.Dispatcher
    crashes: crashes.CrashHistory
    budget: budget.RetryBudget
    metrics: node_metrics.NodeMetrics
    clock: clocks.Clock


class Forwarder:
    """Chooses endpoints, repeats what may be repeated and answers callers."""

    def __init__(self, context: Context):
        self._context = context

    def forward(
        self, req: requests.Request, caller: server.ServerConnection
    ) -> None:
        """Answers a request.

        Raises:
            errors.RefusalError: There is no answer of an endpoint to give.
            streams.BrokenStreamError: An answer that had begun broke off.
        """
        if self._context.crashes.is_barred(req.fingerprint):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.CRASHES_ENDPOINTS,
                "this request crashes the endpoints that run it",
            )
        self._context.budget.record_request(req.service)
        _Forwarding(self._context, req, caller).run()


class _Forwarding:
    """The attempts of one request."""

    def __init__(
        self,
        context: Context,
        req: requests.Request,
        caller: server.ServerConnection,
    ):
        self._context = context
        self._clock = context.clock
        self._req = req
        self._caller = caller
        self._relay = streams.StreamRelay(caller, context.clock)
        self._tried: set[str] = set()
        self._attempts = 0
        self._unreachable = 0
        self._repeat_granted = False
        self._verdict = verdict.Verdict.NOT_RUN
        self._log = structlog.get_logger(task="forwarder", request_id=req.id)

    def run(self) -> None:
        """Makes attempts until one of them gives the final answer."""
        while True:
            chosen = self._next_choice()
            try:
                self._attempt(chosen)
                return
            except errors.AttemptError as exc:
                self._note_failure(chosen, exc)
                self._check_repeat(exc)

    def _next_choice(self) -> endpoint_choice.EndpointChoice:
        chosen = self._context.dispatcher.choose(self._req, self._tried)
        if chosen is None and not self._tried:
            raise self._refuse(errors.RefusalCode.NO_ENDPOINT, "no endpoint")
        if chosen is None:
            raise self._refuse(
                errors.RefusalCode.ENDPOINT_FAILED, "no other endpoint is left"
            )
        prompt = self._req.prompt
        self._log.info(
            "routed",
            endpoint=chosen.state.id,
            route=self._req.route.name,
            urgency=self._req.urgency,
            attempt=self._attempts + 1,
            wait_ms=round(chosen.wait_ms),
            prefill_tokens=round(chosen.prefill_tokens),
            fetch_from=chosen.fetch_from and chosen.fetch_from.id,
            prompt_tokens=prompt.input_tokens if prompt else None,
            in_flight=chosen.state.in_flight,
        )
        return chosen

    def _attempt(self, chosen: endpoint_choice.EndpointChoice) -> None:
        load = fleet.InFlightAttempt(
            chosen.state, chosen.expected_ms, chosen.prefill_tokens
        )
        attempt = endpoint_attempt.EndpointAttempt(
            self._context.connection_pool, chosen.state, self._clock
        )
        try:
            attempt.open(
                self._req, self._relay.last_event_id, chosen.fetch_from
            )
            self._attempts += 1
            self._check_answer(attempt)
            self._deliver(attempt, load)
            load.note_answer()
            chosen.state.record_success(self._clock.now())
        except errors.AttemptError as exc:
            if not exc.unsent and attempt.answer is None:
                self._attempts += 1
            load.note_failure()
            raise
        finally:
            load.end()
            attempt.close()

    def _check_answer(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        """Raises AttemptError for a response that is not passed on."""
        response_checks.check(attempt.answer)
        if response_checks.is_server_error(attempt.answer) and self._may_repeat(
            verdict.Verdict.RAN
        ):
            self._repeat_granted = True
            raise errors.AttemptError(
                f"status {attempt.answer.status}", verdict.Verdict.RAN
            )

    def _deliver(
        self,
        attempt: endpoint_attempt.EndpointAttempt,
        load: fleet.InFlightAttempt,
    ) -> None:
        is_stream = self._req.route.semantics is domain.RequestSemantics.STREAM
        if is_stream and response_checks.is_success(attempt.answer):
            self._relay.relay(attempt, load.note_answer)
            attempt.finish()
            self._relay.end()
            self._note_served(attempt)
            return
        if self._relay.started:
            raise errors.AttemptError(
                f"status {attempt.answer.status} while resuming",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        answer = streams.read_whole(attempt)
        attempt.finish()
        self._caller.respond(answer.status, answer.headers, answer.body)
        self._note_served(attempt)

    def _note_served(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        self._count_served(attempt.answer.status)
        self._log.info(
            "served",
            status=attempt.answer.status,
            attempts=self._attempts,
            events=self._relay.events,
            pause_ms=round(self._relay.longest_pause_ms),
            first_ms=self._since_arrival(self._relay.first_event_ms),
            took_ms=self._since_arrival(self._clock.now()),
        )

    def _count_served(self, status: int) -> None:
        metrics = self._context.metrics
        route = self._req.route.name
        metrics.record_answer(route, status)
        metrics.record_attempt(self._req.service, "answered")
        first_ms = self._relay.first_event_ms
        if first_ms is not None:
            metrics.record_first_event(route, first_ms - self._req.arrived_ms)

    def _since_arrival(self, at_ms: float | None) -> int | None:
        return None if at_ms is None else round(at_ms - self._req.arrived_ms)

    def _note_failure(
        self, chosen: endpoint_choice.EndpointChoice, exc: errors.AttemptError
    ) -> None:
        self._verdict = self._verdict.combine(exc.verdict)
        self._context.metrics.record_attempt(
            self._req.service, exc.verdict.value
        )
        self._tried.add(chosen.state.id)
        if exc.unsent:
            self._unreachable += 1
        down = exc.unsent or (exc.crashed and self._is_down(chosen))
        if down:
            chosen.state.record_failure(self._clock.now())
        self._log.warning(
            "attempt_failed",
            endpoint=chosen.state.id,
            verdict=exc.verdict.value,
            error=str(exc),
            endpoint_down=down,
            events=self._relay.events,
        )

    def _is_down(self, chosen: endpoint_choice.EndpointChoice) -> bool:
        """Whether an endpoint that lost a request crashed; notes a crash."""
        endpoint = chosen.state.endpoint
        if self._context.connection_pool.probe(endpoint):
            return False
        incarnation = f"{endpoint.id}/{endpoint.started_ms}"
        self._context.crashes.record(
            crashes.Crash(self._req.fingerprint, incarnation)
        )
        return True

    def _check_repeat(self, exc: errors.AttemptError) -> None:
        """Raises the final refusal unless another attempt is due."""
        remaining_ms = self._req.deadline_ms - self._clock.now()
        if exc.timed_out or remaining_ms < MIN_ATTEMPT_MS:
            raise self._refuse(
                errors.RefusalCode.ENDPOINT_TIMEOUT, "no answer in time"
            )
        if self._repeat_granted:
            self._repeat_granted = False
            return
        if exc.unsent and self._unreachable < MAX_UNREACHABLE:
            return
        if not self._may_repeat(self._verdict):
            raise self._refuse(errors.RefusalCode.ENDPOINT_FAILED, str(exc))

    def _may_repeat(self, known: verdict.Verdict) -> bool:
        """Whether another attempt is allowed; takes it from the budget."""
        route = self._req.route
        if known.may_have_run and not route.idempotent:
            return False
        if self._attempts >= route.max_attempts:
            return False
        return self._context.budget.take(self._req.service)

    def _refuse(
        self, code: errors.RefusalCode, message: str
    ) -> errors.RefusalError | streams.BrokenStreamError:
        """Returns the error that ends the request."""
        if self._relay.started:
            return streams.BrokenStreamError(message)
        return response_checks.make_final(
            code, message, self._verdict, MIN_RETRY_AFTER_MS
        )
