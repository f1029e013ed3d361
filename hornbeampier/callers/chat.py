"""Chat completions, streamed and unstreamed."""

from collections.abc import Iterator

from hornbeampier import attempts
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import metrics
from hornbeampier import permits
from hornbeampier import request_info
from hornbeampier import router
from hornbeampier import wsgi
from hornbeampier.callers import connection
from hornbeampier.callers import requests
from hornbeampier.callers import responses
from hornbeampier.endpoints import engine


class ChatHandler:
    """Runs validated chat requests and responds to them."""

    def __init__(
        self,
        router: router.Router,
        clock: clock.Clock,
        metrics: metrics.Metrics,
    ):
        self._router = router
        self._clock = clock
        self._metrics = metrics

    def handle(
        self,
        req: requests.ChatRequest,
        environ,
        start_response,
        permit: permits.DispatchPermit = permits.UNRESTRICTED,
    ) -> Iterator[bytes]:
        """Yields the response body.

        The status is sent with the first event, so that a request refused
        before it gets the status of its refusal.

        Raises:
            errors.RefusalError: The request was refused or its stream was
                interrupted.
        """
        progress = attempts.Progress(permit=permit)
        events = self._router.run_chat(req.info, req.body, progress)
        outcome = request_info.Outcome.CANCELLED
        try:
            with connection.watch(environ[connection.SOCKET_KEY]) as watch:
                permit.attach_watch(watch)
                if req.stream:
                    yield from self._respond_streamed(
                        req, events, start_response
                    )
                else:
                    yield from self._respond_unstreamed(
                        req, events, progress, start_response
                    )
            outcome = request_info.Outcome.SERVED
        except errors.RefusalError:
            outcome = request_info.Outcome.REFUSED
            raise
        finally:
            events.close()
            self._record_end(req, progress, outcome)

    def _respond_streamed(
        self,
        req: requests.ChatRequest,
        events: Iterator[engine.EngineEvent],
        start_response,
    ) -> Iterator[bytes]:
        first_event = next(events)
        headers = [
            *responses.SSE_HEADERS,
            ("X-Request-Id", req.info.request_id),
        ]
        start_response(wsgi.status_line(200), headers)
        yield first_event.line + b"\n\n"
        for event in events:
            yield event.line + b"\n\n"
        yield responses.DONE

    def _respond_unstreamed(
        self,
        req: requests.ChatRequest,
        events: Iterator[engine.EngineEvent],
        progress: attempts.Progress,
        start_response,
    ) -> Iterator[bytes]:
        finish_reason = "stop"
        for event in events:
            finish_reason = event.finish_reason or finish_reason
        message = responses.ResponseMessage(progress.text)
        response = responses.ChatResponse(
            req.info.request_id,
            req.model,
            int(self._clock.unix() / clock.MS_PER_SECOND),
            (responses.ResponseChoice(message, finish_reason),),
        )
        yield from responses.send_unstreamed(start_response, req.info, response)

    def _record_end(
        self,
        req: requests.ChatRequest,
        progress: attempts.Progress,
        outcome: request_info.Outcome,
    ) -> None:
        request_class = req.info.request_class
        duration_ms = self._clock.now() - req.info.arrival_ms
        on_time = outcome is request_info.Outcome.SERVED
        if progress.first_token_ms is not None:
            first_token_ms = progress.first_token_ms - req.info.arrival_ms
            self._metrics.first_token.observe(
                {"class": request_class.name}, first_token_ms
            )
            if request_class.first_token_ms is not None:
                on_time = (
                    on_time and first_token_ms <= request_class.first_token_ms
                )
        if request_class.complete_ms is not None:
            on_time = on_time and duration_ms <= request_class.complete_ms
        self._metrics.record_end(request_class.name, outcome, on_time)
        use = "useful" if outcome is request_info.Outcome.SERVED else "wasted"
        self._metrics.tokens.add({"use": use}, len(progress.texts))
