"""The HTTP API that callers use."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import re
import urllib.parse

import gevent
import msgspec
import structlog

from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import metrics
from hornbeampier import request_info
from hornbeampier import router
from hornbeampier import settings
from hornbeampier import verdict
from hornbeampier import wsgi
from hornbeampier.callers import chat
from hornbeampier.callers import connection
from hornbeampier.callers import idempotency
from hornbeampier.callers import requests
from hornbeampier.callers import responses
from hornbeampier.callers import services
from hornbeampier.coordination import claims
from hornbeampier.operators import configuration_log
from hornbeampier.operators import schema

REQUEST_ID_HEADER = "X-Request-Id"
SERVICE_PATH = re.compile(r"^/services/([A-Za-z0-9_.-]+)(/.*)$")
# Label of refusals that happen before the request class is known.
NO_CLASS = "none"
NOT_READY_RETRY_MS = 1_000.0
DRAIN_RETRY_MS = 1_000.0


class ModelRow(msgspec.Struct, frozen=True):
    """One model in OpenAI's list format."""

    id: str
    object: str = "model"
    owned_by: str = "hornbeampier"


class ModelList(msgspec.Struct, frozen=True):
    """The response body of `GET /v1/models`."""

    data: tuple[ModelRow, ...]
    object: str = "list"


@dataclasses.dataclass
class RequestContext:
    """What is known so far about a request, for its log lines."""

    request_id: str
    account: str | None = None
    request_class: str | None = None


class CallerApp:
    """The WSGI application for callers.

    Attributes:
        draining: Whether new requests are refused because the VM stops.
        not_ready: Whether the VM reports that it is not ready; each response
            then closes its connection.
    """

    def __init__(
        self,
        env: environment.Environment,
        limits: settings.CallerSettings,
        get_configuration: Callable[
            [], configuration_log.AcceptedConfiguration | None
        ],
        router: router.Router,
        metrics: metrics.Metrics,
        claims: claims.Claims,
    ):
        self._env = env
        self._limits = limits
        self._get_configuration = get_configuration
        self._chat = chat.ChatHandler(router, env.clock, metrics)
        self._services = services.ServiceHandler(router)
        self._idempotency = idempotency.IdempotencyGuard(claims, env)
        self._metrics = metrics
        self._log = structlog.get_logger(task="callers")
        self.draining = False
        self.not_ready = False
        self._open_tasks: set[gevent.Greenlet] = set()

    @property
    def open_requests(self) -> int:
        """The number of requests in progress."""
        return len(self._open_tasks)

    def abort_requests(self) -> None:
        """Ends the open requests with a refusal that names the shutdown."""
        for task in self._open_tasks:
            task.kill(errors.ShutdownError, block=False)

    def __call__(self, environ, start_response) -> Iterator[bytes]:
        """Serves one request."""
        request_id = self._env.new_id("req")
        context = RequestContext(request_id)
        started = False

        def start(status, headers):
            nonlocal started
            started = True
            if REQUEST_ID_HEADER not in dict(headers):
                headers = [*headers, (REQUEST_ID_HEADER, request_id)]
            if self.not_ready:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers)

        task = gevent.getcurrent()
        self._open_tasks.add(task)
        try:
            yield from self._route(environ, start, context)
        except connection.CallerGoneError:
            self._log.info("caller_gone", request_id=request_id)
        except (errors.ShutdownError, Exception) as exc:
            refusal = self._as_refusal(context, exc)
            if started:
                yield responses.error_event(refusal)
                return
            yield from responses.send_refusal(start, request_id, refusal)
        finally:
            self._open_tasks.discard(task)

    def _as_refusal(
        self, context: RequestContext, exc: BaseException
    ) -> errors.RefusalError:
        """Logs an error and returns it as a refusal."""
        if isinstance(exc, errors.RefusalError):
            refusal = exc
        elif isinstance(exc, errors.ShutdownError):
            refusal = _shutdown_refusal(exc)
        else:
            self._log.error(
                "internal_error", request_id=context.request_id, exc_info=exc
            )
            return errors.RefusalError(
                500,
                errors.RefusalCode.INTERNAL,
                "internal error",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        self._log_refusal(context, refusal)
        return refusal

    def _route(
        self, environ, start_response, context: RequestContext
    ) -> Iterator[bytes]:
        accepted = self._require_ready()
        requests.check_head(environ)
        account = requests.authenticate(environ, accepted.cfg)
        context.account = account.name
        path = environ["PATH_INFO"]
        if path == "/v1/chat/completions":
            _require_method(environ, "POST")
            req = self._read_chat(environ, accepted.cfg, account, context)
            fingerprint_parts = (b"chat", str(req.stream).encode(), req.body)
            return self._serve(
                self._chat, req, fingerprint_parts, environ, start_response
            )
        if path == "/v1/models":
            _require_method(environ, "GET")
            model_rows = tuple(ModelRow(m.name) for m in accepted.cfg.models)
            return iter(
                wsgi.json_response(start_response, 200, ModelList(model_rows))
            )
        if match := SERVICE_PATH.match(path):
            req = self._read_service(
                environ, accepted.cfg, account, context, match
            )
            fingerprint_parts = (
                req.info.target.encode(),
                f"{req.method} {req.path}".encode(),
                req.body,
            )
            response = self._serve(
                self._services, req, fingerprint_parts, environ, start_response
            )
            return self._record_end(req.info, response)
        raise errors.RefusalError(
            404, errors.RefusalCode.NOT_FOUND, f"no such path: {path}"
        )

    def _serve(
        self,
        handler: chat.ChatHandler | services.ServiceHandler,
        req: requests.ChatRequest | services.ServiceRequest,
        fingerprint_parts: tuple[bytes, ...],
        environ,
        start_response,
    ) -> Iterator[bytes]:
        """Runs a request, at most once if it has an `Idempotency-Key`."""
        key = idempotency.read_key(environ)
        if key is None:
            return handler.handle(req, environ, start_response)
        return self._idempotency.serve(
            req.info,
            key,
            fingerprint_parts,
            start_response,
            lambda start, permit: handler.handle(req, environ, start, permit),
        )

    def _require_ready(self) -> configuration_log.AcceptedConfiguration:
        if self.draining:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.DRAINING,
                "this VM is shutting down",
                retry_after_ms=DRAIN_RETRY_MS,
            )
        accepted = self._get_configuration()
        if accepted is None:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.NOT_READY,
                "this VM has no configuration yet",
                retry_after_ms=NOT_READY_RETRY_MS,
            )
        return accepted

    def _read_chat(
        self,
        environ,
        cfg: schema.Configuration,
        account: schema.ClientAccount,
        context: RequestContext,
    ) -> requests.ChatRequest:
        request_class = requests.choose_class(environ, account, cfg)
        context.request_class = request_class.name
        raw = self._read_body(environ)
        body = requests.parse_chat(raw, cfg)
        info = self._request_info(
            context.request_id,
            body.model,
            request_class,
            account,
            requests.canonical_body(raw),
        )
        return requests.ChatRequest(
            info, body.model, body.stream, requests.streamed_body(raw)
        )

    def _read_service(
        self,
        environ,
        cfg: schema.Configuration,
        account: schema.ClientAccount,
        context: RequestContext,
        match: re.Match,
    ) -> services.ServiceRequest:
        service = cfg.find_service(match[1])
        if service is None:
            raise errors.RefusalError(
                404,
                errors.RefusalCode.UNKNOWN_SERVICE,
                f"unknown service {match[1]!r}",
            )
        request_class = cfg.find_class(service.request_class)
        context.request_class = request_class.name
        raw = self._read_body(environ)
        path = urllib.parse.quote(
            match[2], safe="/:@!$&'()*+,;=~-._", encoding="latin-1"
        )
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        target = request_info.service_target(service.name)
        return services.ServiceRequest(
            self._request_info(
                context.request_id, target, request_class, account, raw
            ),
            service,
            environ["REQUEST_METHOD"],
            path,
            services.forwarded_headers(environ),
            raw,
        )

    def _read_body(self, environ) -> bytes:
        return requests.read_body(
            environ, self._limits.max_body_bytes, self._limits.read_timeout_ms
        )

    def _request_info(
        self,
        request_id: str,
        target: str,
        request_class: schema.RequestClass,
        account: schema.ClientAccount,
        raw: bytes,
    ) -> request_info.RequestInfo:
        now_ms = self._env.clock.now()
        return request_info.RequestInfo(
            request_id,
            target,
            request_class,
            account,
            now_ms,
            now_ms + request_class.max_wait_ms,
            request_info.fingerprint(account.name, raw),
        )

    def _record_end(
        self, info: request_info.RequestInfo, response: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yields a service's response and records how its request ended."""
        request_class = info.request_class
        outcome = request_info.Outcome.CANCELLED
        try:
            yield from response
            outcome = request_info.Outcome.SERVED
        except errors.RefusalError:
            outcome = request_info.Outcome.REFUSED
            raise
        finally:
            duration_ms = self._env.clock.now() - info.arrival_ms
            on_time = (
                request_class.complete_ms is None
                or duration_ms <= request_class.complete_ms
            )
            self._metrics.record_end(
                request_class.name,
                outcome,
                on_time and outcome is request_info.Outcome.SERVED,
            )

    def _log_refusal(
        self, context: RequestContext, refusal: errors.RefusalError
    ) -> None:
        self._metrics.refusals.inc(
            {
                "class": context.request_class or NO_CLASS,
                "code": refusal.code.value,
            }
        )
        self._log.info(
            "refused",
            request_id=context.request_id,
            request_class=context.request_class,
            account=context.account,
            status=refusal.status,
            code=refusal.code.value,
            verdict=refusal.verdict.value,
            reason=refusal.message,
        )


def _shutdown_refusal(exc: errors.ShutdownError) -> errors.RefusalError:
    return errors.RefusalError(
        503, errors.RefusalCode.DRAINING, str(exc), exc.verdict, DRAIN_RETRY_MS
    )


def _require_method(environ, method: str) -> None:
    if environ["REQUEST_METHOD"] != method:
        raise errors.RefusalError(
            405,
            errors.RefusalCode.METHOD_NOT_ALLOWED,
            f"use {method} here",
        )
