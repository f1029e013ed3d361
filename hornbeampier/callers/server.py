"""The callers' HTTP interface."""

from collections.abc import Callable
from collections.abc import Iterator
import re
import urllib.parse

import msgspec
import structlog

from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import metrics
from hornbeampier import models
from hornbeampier import router
from hornbeampier import settings
from hornbeampier import wsgi
from hornbeampier.callers import answers
from hornbeampier.callers import chat
from hornbeampier.callers import connection
from hornbeampier.callers import requests
from hornbeampier.callers import services
from hornbeampier.operators import history
from hornbeampier.operators import schema

SERVICE_PATH = re.compile(r"^/services/([A-Za-z0-9_.-]+)(/.*)$")
NOT_READY_RETRY_MS = 1_000.0
DRAIN_RETRY_MS = 1_000.0


class ModelRow(msgspec.Struct, frozen=True):
    """One model in OpenAI's list format."""

    id: str
    object: str = "model"
    owned_by: str = "hornbeampier"


class ModelList(msgspec.Struct, frozen=True):
    """The answer of `GET /v1/models`."""

    data: tuple[ModelRow, ...]
    object: str = "list"


class CallerApp:
    """The WSGI application that callers reach."""

    def __init__(
        self,
        env: environment.Environment,
        limits: settings.CallerSettings,
        accepted: Callable[[], history.Accepted | None],
        router: router.Router,
        metrics: metrics.Metrics,
    ):
        self._env = env
        self._limits = limits
        self._accepted = accepted
        self._chat = chat.ChatHandler(router, env.clock, metrics)
        self._services = services.ServiceHandler(router)
        self._metrics = metrics
        self._log = structlog.get_logger(task="callers")
        self.draining = False
        self.not_ready = False
        self.open_requests = 0

    def __call__(self, environ, start_response) -> Iterator[bytes]:
        """Answers one request."""
        request_id = self._env.new_id("req")
        started = False

        def start(status, headers):
            nonlocal started
            started = True
            return start_response(status, headers)

        self.open_requests += 1
        try:
            yield from self._route(environ, start, request_id)
        except errors.RefusalError as exc:
            self._log_refusal(request_id, exc)
            if started:
                yield answers.error_event(exc)
                return
            yield from answers.refuse(start_response, request_id, exc)
        except connection.CallerGoneError:
            self._log.info("caller_gone", request_id=request_id)
        except Exception:
            self._log.exception("internal_error", request_id=request_id)
            refusal = errors.RefusalError(
                500, errors.RefusalCode.INTERNAL, "internal error"
            )
            if started:
                yield answers.error_event(refusal)
                return
            yield from answers.refuse(start_response, request_id, refusal)
        finally:
            self.open_requests -= 1

    def _route(
        self, environ, start_response, request_id: str
    ) -> Iterator[bytes]:
        accepted = self._require_open()
        account = requests.authenticate(environ, accepted.cfg)
        path = environ["PATH_INFO"]
        if path == "/v1/chat/completions":
            _require_method(environ, "POST")
            req = self._read_chat(environ, accepted.cfg, account, request_id)
            return self._chat.handle(req, environ, start_response)
        if path == "/v1/models":
            _require_method(environ, "GET")
            rows = tuple(ModelRow(m.name) for m in accepted.cfg.models)
            return iter(wsgi.json_answer(start_response, 200, ModelList(rows)))
        if match := SERVICE_PATH.match(path):
            req = self._read_service(
                environ, accepted.cfg, account, request_id, match
            )
            return self._services.handle(req, environ, start_response)
        raise errors.RefusalError(
            404, errors.RefusalCode.NOT_FOUND, f"no such path: {path}"
        )

    def _require_open(self) -> history.Accepted:
        if self.draining:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.DRAINING,
                "this VM is shutting down",
                retry_after_ms=DRAIN_RETRY_MS,
            )
        accepted = self._accepted()
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
        request_id: str,
    ) -> requests.ChatRequest:
        request_class = requests.choose_class(environ, account, cfg)
        raw = self._read_body(environ)
        body = requests.parse_chat(raw, cfg)
        demand = self._demand(
            request_id, body.model, request_class, account, raw
        )
        return requests.ChatRequest(
            demand, body.model, body.stream, requests.streamed_body(raw)
        )

    def _read_service(
        self,
        environ,
        cfg: schema.Configuration,
        account: schema.ClientAccount,
        request_id: str,
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
        raw = self._read_body(environ)
        path = urllib.parse.quote(match[2], safe="/:@!$&'()*+,;=~-._")
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        target = models.service_target(service.name)
        return services.ServiceRequest(
            self._demand(request_id, target, request_class, account, raw),
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

    def _demand(
        self,
        request_id: str,
        target: str,
        request_class: schema.RequestClass,
        account: schema.ClientAccount,
        raw: bytes,
    ) -> models.Demand:
        now_ms = self._env.clock.now()
        return models.Demand(
            request_id,
            target,
            request_class,
            account,
            now_ms,
            now_ms + request_class.max_wait_ms,
            models.fingerprint(account.name, raw),
        )

    def _log_refusal(
        self, request_id: str, refusal: errors.RefusalError
    ) -> None:
        self._metrics.refusals.inc({"code": refusal.code.value})
        self._log.info(
            "refused",
            request_id=request_id,
            status=refusal.status,
            code=refusal.code.value,
            verdict=refusal.verdict.value,
            reason=refusal.message,
        )


def _require_method(environ, method: str) -> None:
    if environ["REQUEST_METHOD"] != method:
        raise errors.RefusalError(
            405,
            errors.RefusalCode.METHOD_NOT_ALLOWED,
            f"use {method} here",
        )
