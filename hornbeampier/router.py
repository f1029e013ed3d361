"""Routes accepted requests to endpoints and retries failed attempts."""

from collections.abc import Iterator
import dataclasses

import gevent
import structlog

from hornbeampier import attempts
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import excluded_endpoints
from hornbeampier import refusals
from hornbeampier import request_info
from hornbeampier import verdict
from hornbeampier.endpoints import engine
from hornbeampier.endpoints import probe
from hornbeampier.endpoints import registry
from hornbeampier.policy import health
from hornbeampier.policy import preemption
from hornbeampier.policy import retries
from hornbeampier.policy import scheduler
from hornbeampier.policy import suspects
from hornbeampier.policy import tickets
from hornbeampier.policy import timeouts

MAX_ATTEMPTS = 6
# Backoff before the first retry if no other endpoint is open; it doubles with
# each attempt.
BACKOFF_MS = 100.0
# How long a preempted request may wait for its next slot.
PREEMPTED_WAIT_MS = 120_000.0


class Router:
    """Sends each request to the endpoint that the scheduler grants."""

    def __init__(
        self,
        scheduler: scheduler.Scheduler,
        endpoints: registry.Registry,
        suspects: suspects.Suspects,
        clock: clock.Clock,
        config_version,
    ):
        self._scheduler = scheduler
        self._endpoints = endpoints
        self._suspects = suspects
        self._clock = clock
        self._config_version = config_version
        self._retry_budget = retries.RetryBudget()
        self._log = structlog.get_logger(task="router")

    def run_chat(
        self,
        info: request_info.RequestInfo,
        body: bytes,
        progress: attempts.Progress,
    ) -> Iterator[engine.EngineEvent]:
        """Yields a model's complete response, over several attempts if needed.

        Raises:
            errors.RefusalError: The response cannot be completed.
        """
        self._retry_budget.record_request()
        while True:
            info = self._prepare_attempt(info, progress)
            try:
                with self._suspects.isolate(info, progress.failed_endpoints):
                    yield from self._grant_and_run(info, body, progress)
                self._suspects.clear_suspect(info.fingerprint)
                return
            except errors.PreemptedError:
                progress.preempted = True
                continue
            except errors.AttemptError as exc:
                if progress.finished:
                    return
                progress.may_have_run |= exc.verdict.may_have_run
                self._check_retry(info, exc, progress)
            except errors.RefusalError as exc:
                raise refusals.with_overall_verdict(exc, progress) from exc
            except errors.ShutdownError as exc:
                if progress.may_have_run or progress.texts:
                    exc.verdict = verdict.Verdict.MAY_HAVE_RUN
                raise
            self._back_off(info, progress)

    def acquire_service(
        self,
        info: request_info.RequestInfo,
        excluded: frozenset[str],
        earlier_verdict: verdict.Verdict,
    ) -> tickets.Grant:
        """Waits for an endpoint of a plain service.

        Args:
            info: The request.
            excluded: Names of endpoints that it must not use.
            earlier_verdict: The verdict of the attempts so far, which the
                verdict of a raised error includes.

        Raises:
            errors.RefusalError: No endpoint was granted.
            errors.ShutdownError: The VM shuts down.
        """
        try:
            return self._acquire(info, excluded)
        except (errors.RefusalError, errors.ShutdownError) as exc:
            exc.verdict = earlier_verdict.combine(exc.verdict)
            raise

    def release_service(self, grant: tickets.Grant) -> None:
        """Ends a grant of `acquire_service`."""
        self._scheduler.release(grant)

    def _prepare_attempt(
        self, info: request_info.RequestInfo, progress: attempts.Progress
    ) -> request_info.RequestInfo:
        """Refuses a blocked request; prepares the data of the next attempt.

        A preempted or interrupted response gets more time to wait.
        """
        self._suspects.refuse_if_blocked(info.fingerprint)
        if progress.preempted:
            return self._requeue(info, progress)
        isolation_level = self._suspects.isolation_level(info.fingerprint)
        if not progress.attempts and not isolation_level:
            return info
        deadline_ms = info.deadline_ms
        if progress.texts:
            wait_ms = min(
                timeouts.RESUME_WAIT_MS, info.request_class.max_wait_ms
            )
            deadline_ms = max(deadline_ms, self._clock.now() + wait_ms)
        return dataclasses.replace(info, deadline_ms=deadline_ms, retried=True)

    def _requeue(
        self, info: request_info.RequestInfo, progress: attempts.Progress
    ) -> request_info.RequestInfo:
        """Returns the data of a preempted request with a new deadline."""
        progress.preempted = False
        self._log.info(
            "preempted",
            request_id=info.request_id,
            tokens=len(progress.texts),
        )
        return dataclasses.replace(
            info,
            retried=False,
            preemptions=info.preemptions + 1,
            deadline_ms=self._clock.now() + PREEMPTED_WAIT_MS,
        )

    def _grant_and_run(
        self,
        info: request_info.RequestInfo,
        body: bytes,
        progress: attempts.Progress,
    ) -> Iterator[engine.EngineEvent]:
        excluded = excluded_endpoints.ExcludedEndpoints(
            info,
            progress,
            self._suspects,
            self._endpoints,
            self._has_alternative,
        )
        grant = self._acquire(info, excluded)
        state = grant.endpoint
        progress.attempts += 1
        was_down = state.down
        try:
            progress.permit.before_dispatch()
            with self._suspects.running(info.fingerprint, state):
                try:
                    yield from self._attempt(grant, info, body, progress)
                    health.record_success(state)
                except errors.AttemptError as exc:
                    crashed = self._record_failure(state, info, exc, progress)
                    # An endpoint that was already down was not crashed by the
                    # request.
                    if crashed and not was_down:
                        self._suspects.record_crash(info.fingerprint, state)
                    raise
        finally:
            self._scheduler.release(grant)

    def _acquire(
        self, info: request_info.RequestInfo, excluded
    ) -> tickets.Grant:
        grant = self._scheduler.acquire(info, excluded)
        self._log.info(
            "routed",
            request_id=info.request_id,
            request_class=info.request_class.name,
            account=info.account.name,
            endpoint=grant.endpoint.name,
            passed_over={p.endpoint: p.reason for p in grant.passed_over},
            wait_ms=round(grant.wait_ms, 1),
            version=self._config_version(),
        )
        return grant

    def _attempt(
        self,
        grant: tickets.Grant,
        info: request_info.RequestInfo,
        body: bytes,
        progress: attempts.Progress,
    ) -> Iterator[engine.EngineEvent]:
        state = grant.endpoint
        started_ms = self._clock.now()
        req = engine.EngineRequest(
            info.request_id,
            body,
            info.request_class.tier,
            timeouts.derive(info, started_ms),
            progress.text,
            len(progress.texts),
            progress.software_version or "",
            progress.attempts,
            new_connection=not progress.permit.retry_safe,
        )
        client = engine.EngineClient(state.http_client, self._clock)
        wait_start_ms = None
        for event in client.stream(req):
            if progress.first_token_ms is None and event.text:
                self._scheduler.durations.record_first_token(
                    info.request_class.name, self._clock.now() - started_ms
                )
            self._record_event(state, info, event, progress, wait_start_ms)
            if event.text or event.finish_reason or not req.resume_tokens:
                yield event
            wait_start_ms = self._clock.now()
            if grant.preempted and not progress.finished:
                raise errors.PreemptedError
            grant.resumable = _is_preemptible(info, progress)
        self._scheduler.durations.record(
            info.request_class.name,
            info.account.name,
            self._clock.now() - started_ms,
        )

    def _record_event(
        self,
        state: registry.EndpointState,
        info: request_info.RequestInfo,
        event: engine.EngineEvent,
        progress: attempts.Progress,
        wait_start_ms: float | None,
    ) -> None:
        now_ms = self._clock.now()
        state.down = False
        progress.resumable = progress.resumable and event.resumable
        progress.finished = progress.finished or event.finish_reason is not None
        if event.text:
            progress.texts.append(event.text)
            progress.software_version = event.software_version
            if progress.first_token_ms is None:
                progress.first_token_ms = now_ms
        if wait_start_ms is None:
            return
        health.record_inter_token(state, now_ms - wait_start_ms)
        if health.is_straggler_check_due(state):
            states = self._endpoints.serving(info.target)
            if health.eject_straggler(state, now_ms, states):
                self._log.warning("straggler_ejected", endpoint=state.name)

    def _record_failure(
        self,
        state: registry.EndpointState,
        info: request_info.RequestInfo,
        exc: errors.AttemptError,
        progress: attempts.Progress,
    ) -> bool:
        """Records a failed attempt; returns whether the endpoint crashed."""
        crashed = self._eject(state, info, exc)
        only_connection_lost = exc.connection_lost and not crashed
        if only_connection_lost and progress.kv_cache_holder is not state:
            progress.kv_cache_holder = state
        else:
            progress.kv_cache_holder = None
            progress.failed_endpoints |= {state.name}
        self._log.warning(
            "attempt_failed",
            request_id=info.request_id,
            endpoint=state.name,
            verdict=exc.verdict.value,
            error=str(exc),
            crashed=crashed,
            tokens=len(progress.texts),
        )
        return crashed

    def _eject(
        self,
        state: registry.EndpointState,
        info: request_info.RequestInfo,
        exc: errors.AttemptError,
    ) -> bool:
        """Ejects the endpoint and returns whether it crashed.

        The ejection comes first, so that no requests are sent to the endpoint
        while it is probed.
        """
        states = self._endpoints.serving(info.target)
        now_ms = self._clock.now()
        if exc.declines_all:
            health.record_decline(state, now_ms, states)
        if exc.declined:
            return False
        ejected = health.record_failure(state, now_ms, states)
        if ejected:
            # Requests may be waiting for this endpoint only.
            ejection_ms = state.ejected_until_ms - now_ms
            gevent.spawn_later(
                ejection_ms / clock.MS_PER_SECOND,
                self._scheduler.dispatch_waiting,
            )
        if not exc.connection_lost:
            return False
        crashed = not probe.is_same_process(state)
        state.down = state.down or crashed
        if ejected and not crashed:
            health.undo_failure(state)
        return crashed

    def _check_retry(
        self,
        info: request_info.RequestInfo,
        exc: errors.AttemptError,
        progress: attempts.Progress,
    ) -> None:
        """Raises the final refusal unless the request is to be retried.

        Retries after a lost connection, and of responses that have begun, are
        not counted in the retry budget: `MAX_ATTEMPTS` bounds them, and the
        tokens received so far are not computed again.
        """
        self._suspects.refuse_if_blocked(info.fingerprint)
        past_deadline = (
            not progress.texts and self._clock.now() >= info.deadline_ms
        )
        may_retry = (
            exc.verdict.allows_retry(progress.permit.retry_safe)
            and progress.resumable
        )
        if (
            past_deadline
            or not may_retry
            or progress.attempts >= MAX_ATTEMPTS
            or not (
                exc.connection_lost
                or progress.texts
                or self._retry_budget.take()
            )
        ):
            raise refusals.final_refusal(exc, progress) from exc

    def _back_off(
        self, info: request_info.RequestInfo, progress: attempts.Progress
    ) -> None:
        if not self._has_alternative(progress, info.target):
            self._clock.sleep(BACKOFF_MS * 2 ** (progress.attempts - 1))

    def _has_alternative(
        self, progress: attempts.Progress, target: str
    ) -> bool:
        """Whether an endpoint that has not failed may go on with a response."""
        now_ms = self._clock.now()
        return any(
            state.name not in progress.failed_endpoints
            and state.may_run(progress.software_version)
            and health.is_open(state, now_ms)
            for state in self._endpoints.serving(target)
        )


def _is_preemptible(
    info: request_info.RequestInfo, progress: attempts.Progress
) -> bool:
    begun = bool(progress.texts) and not progress.finished
    # A request that must not run twice cannot be dispatched again.
    resumable = progress.resumable and progress.permit.retry_safe
    return begun and resumable and preemption.is_preemptible(info)
