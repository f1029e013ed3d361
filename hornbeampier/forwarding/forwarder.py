"""Forwards a request until it has its final answer."""

import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier import verdict
from hornbeampier.forwarding import connections
from hornbeampier.forwarding import exchange
from hornbeampier.forwarding import streams
from hornbeampier.http1 import server
from hornbeampier.routing import budget
from hornbeampier.routing import choice
from hornbeampier.routing import crashes
from hornbeampier.routing import model
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import requests

# Endpoints that could not be reached do not count as attempts.
MAX_UNREACHABLE = 4
MIN_RETRY_AFTER_MS = 200.0
# An attempt with less time than this is not worth making.
MIN_ATTEMPT_MS = 10.0


class Forwarder:
    """Chooses endpoints, repeats what may be repeated and answers callers."""

    def __init__(
        self,
        connections: connections.Connections,
        plain: choice.Chooser,
        engines: choice.Chooser,
        pools: pools.Pools,
        placements: placements.Placements,
        crashes: crashes.Crashes,
        budget: budget.RetryBudget,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        self._connections = connections
        self._plain = plain
        self._engines = engines
        self._pools = pools
        self._placements = placements
        self._crashes = crashes
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger(task="forwarder")

    def forward(
        self, req: requests.Request, caller: server.ServerConnection
    ) -> None:
        """Answers a request.

        Raises:
            errors.RefusalError: There is no answer of an endpoint to give.
            streams.BrokenStreamError: An answer that had begun broke off.
        """
        if self._crashes.is_barred(req.fingerprint):
            raise errors.RefusalError(
                503,
                errors.RefusalCode.CRASHES_ENDPOINTS,
                "this request crashes the endpoints that run it",
            )
        self._budget.record_request(req.service)
        _Forwarding(self, req, caller).run()

    def choose(
        self, req: requests.Request, tried: set[str]
    ) -> choice.Choice | None:
        """Returns the endpoint of the next attempt, or None."""
        if req.prompt is None:
            return self._plain.choose(req, tried)
        chosen = self._engines.choose(req, tried)
        if chosen is not None:
            self._pools.record(req, chosen.prefill_tokens)
            self._placements.record(chosen.state, req.prompt)
        return chosen


class _Forwarding:
    """The attempts of one request."""

    def __init__(
        self,
        owner: Forwarder,
        req: requests.Request,
        caller: server.ServerConnection,
    ):
        self._owner = owner
        self._req = req
        self._clock = owner._clock
        self._log = owner._log.bind(request_id=req.id)
        self._relay = streams.StreamRelay(caller, owner._clock)
        self._caller = caller
        self._tried: set[str] = set()
        self._attempts = 0
        self._unreachable = 0
        self._verdict = verdict.Verdict.NOT_RUN

    def run(self) -> None:
        """Makes attempts until one of them gives the final answer."""
        while True:
            chosen = self._next_choice()
            try:
                self._attempt(chosen)
                return
            except errors.AttemptError as exc:
                self._note_failure(chosen, exc)
                self._check_retry(exc)

    def _next_choice(self) -> choice.Choice:
        chosen = self._owner.choose(self._req, self._tried)
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
            attempt=self._attempts + 1,
            wait_ms=round(chosen.wait_ms),
            prefill_tokens=round(chosen.prefill_tokens),
            fetch_from=chosen.fetch_from and chosen.fetch_from.id,
            prompt_tokens=prompt.input_tokens if prompt else None,
            in_flight=chosen.state.in_flight,
        )
        return chosen

    def _attempt(self, chosen: choice.Choice) -> None:
        load = _AttemptLoad(chosen)
        attempt = exchange.Exchange(
            self._owner._connections, chosen.state, self._clock
        )
        try:
            attempt.open(
                self._req, self._relay.last_event_id, chosen.fetch_from
            )
            self._attempts += 1
            self._check_answer(attempt)
            self._deliver(attempt, load)
            load.note_answer()
            chosen.state.record_success()
        except errors.AttemptError as exc:
            if not exc.unsent and attempt.answer is None:
                self._attempts += 1
            load.note_failure()
            raise
        finally:
            load.end()
            attempt.close()

    def _check_answer(self, attempt: exchange.Exchange) -> None:
        """Raises AttemptError for a response that is not passed on."""
        answer = attempt.answer
        if answer.not_executed:
            raise errors.AttemptError(
                f"rejected with {answer.status}",
                verdict.Verdict.NOT_RUN,
                refuses_all=True,
            )
        if answer.is_encoded or not answer.is_signed:
            raise errors.AttemptError(
                f"response {answer.status} is not the endpoint's own",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        if answer.status in (408, 421, 429, 503):
            # These statuses promise that the request has not run.
            raise errors.AttemptError(
                f"status {answer.status} without a promise",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        if answer.status >= 500 and self._may_repeat():
            raise errors.AttemptError(
                f"status {answer.status}", verdict.Verdict.RAN
            )

    def _may_repeat(self) -> bool:
        return (
            self._req.route.idempotent
            and self._attempts < self._req.route.max_attempts
        )

    def _deliver(
        self, attempt: exchange.Exchange, load: "_AttemptLoad"
    ) -> None:
        is_stream = self._req.route.repeat is model.Repeat.STREAM
        if is_stream and attempt.answer.status < 300:
            self._relay.relay(attempt, load.note_answer)
            attempt.finish()
            self._relay.end()
            self._log_served(attempt)
            return
        if self._relay.started:
            raise errors.AttemptError(
                f"status {attempt.answer.status} while resuming",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        answer = streams.read_whole(attempt)
        attempt.finish()
        self._caller.respond(answer.status, answer.headers, answer.body)
        self._log_served(attempt)

    def _log_served(self, attempt: exchange.Exchange) -> None:
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
        metrics = self._owner._metrics
        route = self._req.route.name
        metrics.record_answer(route, status)
        metrics.record_attempt(self._req.service, "answered")
        first_ms = self._relay.first_event_ms
        if first_ms is not None:
            metrics.record_first_event(route, first_ms - self._req.arrived_ms)

    def _since_arrival(self, at_ms: float | None) -> int | None:
        return None if at_ms is None else round(at_ms - self._req.arrived_ms)

    def _note_failure(
        self, chosen: choice.Choice, exc: errors.AttemptError
    ) -> None:
        self._verdict = self._verdict.combine(exc.verdict)
        self._owner._metrics.record_attempt(
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

    def _is_down(self, chosen: choice.Choice) -> bool:
        """Whether an endpoint that lost a request crashed; notes a crash."""
        endpoint = chosen.state.endpoint
        if self._owner._connections.probe(endpoint):
            return False
        incarnation = f"{endpoint.id}/{endpoint.started_ms}"
        self._owner._crashes.record(
            crashes.Crash(self._req.fingerprint, incarnation)
        )
        return True

    def _check_retry(self, exc: errors.AttemptError) -> None:
        """Raises the final refusal unless another attempt is due."""
        req = self._req
        remaining_ms = req.deadline_ms - self._clock.now()
        if exc.timed_out or remaining_ms < MIN_ATTEMPT_MS:
            raise self._refuse(
                errors.RefusalCode.ENDPOINT_TIMEOUT, "no answer in time"
            )
        may_repeat = self._verdict.may_have_run is False or req.route.idempotent
        if exc.unsent and self._unreachable < MAX_UNREACHABLE and may_repeat:
            return
        if (
            not may_repeat
            or self._attempts >= req.route.max_attempts
            or not self._owner._budget.take(req.service)
        ):
            raise self._refuse(errors.RefusalCode.ENDPOINT_FAILED, str(exc))

    def _refuse(
        self, code: errors.RefusalCode, message: str
    ) -> errors.RefusalError | streams.BrokenStreamError:
        """Returns the error that ends the request."""
        if self._relay.started:
            return streams.BrokenStreamError(message)
        if not self._verdict.may_have_run:
            return errors.RefusalError(
                503, code, message, retry_after_ms=MIN_RETRY_AFTER_MS
            )
        timed_out = code is errors.RefusalCode.ENDPOINT_TIMEOUT
        return errors.RefusalError(
            504 if timed_out else 502, code, message, self._verdict
        )


class _AttemptLoad:
    """Counts an attempt at its endpoint for as long as it lasts."""

    def __init__(self, chosen: choice.Choice):
        self._state = chosen.state
        self._tokens = chosen.prefill_tokens
        self._ticket = chosen.state.speed.begin(chosen.expected_ms)
        self._state.in_flight += 1
        self._state.prefill_tokens += self._tokens

    def note_answer(self) -> None:
        """The answer has begun: the prompt has been read."""
        self._state.speed.end(self._ticket)
        self._end_prefill()

    def note_failure(self) -> None:
        """The attempt has failed."""
        self._state.speed.end(self._ticket, failed=True)

    def end(self) -> None:
        """The attempt is over."""
        self._state.speed.forget(self._ticket)
        self._state.in_flight -= 1
        self._end_prefill()

    def _end_prefill(self) -> None:
        self._state.prefill_tokens -= self._tokens
        self._tokens = 0.0
