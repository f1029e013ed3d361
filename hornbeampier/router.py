"""Routes accepted requests to endpoints and repeats failed attempts."""

from collections.abc import Iterator
import dataclasses

import structlog

from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import models
from hornbeampier import verdict
from hornbeampier.endpoints import engine
from hornbeampier.endpoints import registry
from hornbeampier.policy import health
from hornbeampier.policy import retries
from hornbeampier.policy import scheduler
from hornbeampier.policy import tickets

MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000.0


@dataclasses.dataclass
class Progress:
    """The part of an answer that has arrived so far."""

    texts: list[str] = dataclasses.field(default_factory=list)
    first_token_ms: float | None = None
    last_token_ms: float | None = None

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.texts)


class Router:
    """Sends each request to the endpoint that the scheduler grants."""

    def __init__(
        self,
        scheduler: scheduler.Scheduler,
        clock: clock.Clock,
        version,
    ):
        self._scheduler = scheduler
        self._clock = clock
        self._version = version
        self._budget = retries.RetryBudget()
        self._log = structlog.get_logger(task="router")

    def run_chat(
        self, demand: models.Demand, body: bytes, progress: Progress
    ) -> Iterator[engine.EngineEvent]:
        """Yields the whole answer of a model, over several attempts if needed.

        Raises:
            errors.RefusalError: The request ends without its whole answer.
        """
        self._budget.record_request()
        excluded: frozenset[str] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._acquire(demand, excluded)
            try:
                yield from self._attempt(grant, demand, body, progress)
                health.record_success(grant.endpoint)
                return
            except errors.AttemptError as exc:
                excluded |= {grant.endpoint.name}
                self._record_failure(grant, demand, exc)
                if not self._may_retry(exc, attempt):
                    raise _final_refusal(exc, bool(progress.texts)) from exc
            finally:
                self._scheduler.release(grant)

    def acquire_service(
        self, demand: models.Demand, excluded: frozenset[str]
    ) -> tickets.Grant:
        """Waits for an endpoint of a plain service."""
        return self._acquire(demand, excluded)

    def release_service(self, grant: tickets.Grant) -> None:
        """Ends a grant of `acquire_service`."""
        self._scheduler.release(grant)

    def _acquire(
        self, demand: models.Demand, excluded: frozenset[str]
    ) -> tickets.Grant:
        grant = self._scheduler.acquire(demand, excluded)
        self._log.info(
            "routed",
            request_id=demand.request_id,
            request_class=demand.request_class.name,
            account=demand.account.name,
            endpoint=grant.endpoint.name,
            passed_over={p.endpoint: p.reason for p in grant.passed_over},
            wait_ms=round(grant.wait_ms, 1),
            version=self._version(),
        )
        return grant

    def _attempt(
        self,
        grant: tickets.Grant,
        demand: models.Demand,
        body: bytes,
        progress: Progress,
    ) -> Iterator[engine.EngineEvent]:
        started_ms = self._clock.now()
        req = engine.EngineRequest(
            demand.request_id,
            body,
            demand.request_class.tier,
            progress.text,
            len(progress.texts),
        )
        client = engine.EngineClient(grant.endpoint.peer)
        for event in client.stream(req):
            if progress.first_token_ms is None:
                self._scheduler.durations.record_first_token(
                    demand.request_class.name, self._clock.now() - started_ms
                )
            self._record_token(grant.endpoint, event, progress)
            yield event
        self._scheduler.durations.record(
            demand.request_class.name,
            demand.account.name,
            self._clock.now() - started_ms,
        )

    def _record_token(
        self,
        state: registry.EndpointState,
        event: engine.EngineEvent,
        progress: Progress,
    ) -> None:
        now_ms = self._clock.now()
        if progress.first_token_ms is None:
            progress.first_token_ms = now_ms
        elif progress.last_token_ms is not None:
            health.record_gap(state, now_ms - progress.last_token_ms)
        progress.last_token_ms = now_ms
        progress.texts.append(event.text)

    def _record_failure(
        self,
        grant: tickets.Grant,
        demand: models.Demand,
        exc: errors.AttemptError,
    ) -> None:
        if not exc.leaving:
            health.record_failure(grant.endpoint, self._clock.now())
        self._log.warning(
            "attempt_failed",
            request_id=demand.request_id,
            endpoint=grant.endpoint.name,
            verdict=exc.verdict.value,
            error=str(exc),
        )

    def _may_retry(self, exc: errors.AttemptError, attempt: int) -> bool:
        if attempt >= MAX_ATTEMPTS or not exc.verdict.allows_retry(True):
            return False
        return self._budget.take()


def _final_refusal(
    exc: errors.AttemptError, partial: bool
) -> errors.RefusalError:
    if partial:
        return errors.RefusalError(
            502,
            errors.RefusalCode.INCOMPLETE_ANSWER,
            "the answer broke off and could not be resumed",
            verdict.Verdict.MAY_HAVE_RUN,
        )
    return errors.RefusalError(
        503,
        errors.RefusalCode.ENDPOINT_FAILED,
        str(exc),
        exc.verdict,
        RETRY_AFTER_MS,
    )
