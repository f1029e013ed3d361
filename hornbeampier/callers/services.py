"""Plain services: requests and responses are passed through."""

from collections.abc import Iterator
import dataclasses

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier import memory_budget
from hornbeampier import permits
from hornbeampier import request_info
from hornbeampier import router
from hornbeampier import verdict
from hornbeampier import wsgi
from hornbeampier.callers import connection
from hornbeampier.operators import schema
from hornbeampier.policy import tickets

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1_000.0
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
# Statuses with which a service declines a request, that is, did not run it.
DECLINE_STATUSES = frozenset({429, 503})
# Hop-by-hop headers, headers that the router sets itself, and those that are
# meant for the router.
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "authorization",
        "expect",
        "x-request-id",
    }
)


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A validated request for a plain service.

    Attributes:
        path: The path below `/services/NAME`, with the query.
    """

    info: request_info.RequestInfo
    service: schema.Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def retry_safe(self) -> bool:
        """Whether the request may be retried even if it may have run."""
        route = f"{self.method} {self.path.partition('?')[0]}"
        if any(_matches(p, route) for p in self.service.non_idempotent):
            return False
        if any(_matches(p, route) for p in self.service.idempotent):
            return True
        return self.method not in NON_IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """The buffered response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceHandler:
    """Forwards requests to the endpoints of a service."""

    def __init__(self, router: router.Router):
        self._router = router

    def handle(
        self,
        req: ServiceRequest,
        environ,
        start_response,
        permit: permits.DispatchPermit | None = None,
    ) -> Iterator[bytes]:
        """Yields the response of the service.

        Raises:
            errors.RefusalError: The request was refused, or its last attempt
                failed; nothing was sent to the caller.
        """
        permit = permit or permits.UnrestrictedPermit(req.retry_safe)
        response = self._send_with_retries(req, environ, permit)
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in UNFORWARDED_HEADERS
        ]
        headers.append(("Content-Length", str(len(response.body))))
        headers.append(("X-Request-Id", req.info.request_id))
        start_response(wsgi.status_line(response.status), headers)
        yield response.body

    def _send_with_retries(
        self, req: ServiceRequest, environ, permit: permits.DispatchPermit
    ) -> ServiceResponse:
        excluded: frozenset[str] = frozenset()
        combined_verdict = verdict.Verdict.NOT_RUN
        for attempt in range(1, MAX_ATTEMPTS + 1):
            with connection.watch(environ[connection.SOCKET_KEY]):
                grant = self._router.acquire_service(
                    req.info, excluded, combined_verdict
                )
            try:
                permit.before_dispatch()
                return _send_once(
                    grant,
                    req,
                    not permit.retry_safe,
                    environ["wsgi.input"].holder,
                )
            except errors.AttemptError as exc:
                excluded |= {grant.endpoint.name}
                combined_verdict = combined_verdict.combine(exc.verdict)
                retryable = exc.verdict.allows_retry(permit.retry_safe)
                if not retryable or attempt == MAX_ATTEMPTS:
                    raise _refusal(exc, combined_verdict) from exc
            finally:
                self._router.release_service(grant)
        raise AssertionError("the last attempt returns or raises")


def _send_once(
    grant: tickets.Grant,
    req: ServiceRequest,
    new_connection: bool,
    holder: memory_budget.Holder,
) -> ServiceResponse:
    """Sends a request once and buffers the response."""
    response = grant.endpoint.http_client.send(
        http_client.OutgoingRequest(
            req.method,
            req.path,
            (*req.headers, ("X-Request-Id", req.info.request_id)),
            req.body,
            new_connection=new_connection,
            timeout_ms=req.service.timeout_ms,
        )
    )
    try:
        if response.status in DECLINE_STATUSES:
            raise errors.AttemptError(
                f"the service declined the request with {response.status}",
                verdict.Verdict.NOT_RUN,
                declined=True,
            )
        body = _read_body(response, holder, req.service.timeout_ms)
        return ServiceResponse(response.status, tuple(response.headers()), body)
    finally:
        response.close()


def _read_body(
    response: http_client.HttpResponse,
    holder: memory_budget.Holder,
    timeout_ms: float,
) -> bytes:
    """Returns the body of a response; a large one waits for room."""
    body = bytearray(response.read(memory_budget.SMALL_BODY_BYTES))
    if len(body) < memory_budget.SMALL_BODY_BYTES:
        return bytes(body)
    length = int(response.header("content-length") or 0)
    if not length:
        size = memory_budget.UNKNOWN_LENGTH_BYTES
        _reserve(holder, size, timeout_ms)
        body += response.read(size - len(body))
        if len(body) < size:
            return bytes(body)
    _reserve(holder, length or http_client.MAX_BODY_BYTES, timeout_ms)
    body += response.read()
    return bytes(body)


def _reserve(
    holder: memory_budget.Holder, size: int, timeout_ms: float
) -> None:
    """Waits until the process can hold `size` bytes of a response."""
    try:
        holder.reserve_response(
            min(size, http_client.MAX_BODY_BYTES), timeout_ms
        )
    except TimeoutError as exc:
        raise errors.AttemptError(
            "this VM has no room for the response",
            verdict.Verdict.MAY_HAVE_RUN,
        ) from exc


def forwarded_headers(environ) -> tuple[tuple[str, str], ...]:
    """Returns the caller's headers that are forwarded to a service."""
    headers = [
        (key.removeprefix("HTTP_").replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(
        header
        for header in headers
        if header[0].lower() not in UNFORWARDED_HEADERS
    )


def _matches(pattern: str, route: str) -> bool:
    if pattern.endswith("*"):
        return route.startswith(pattern[:-1])
    return route == pattern


def _refusal(
    exc: errors.AttemptError, run_verdict: verdict.Verdict
) -> errors.RefusalError:
    not_run = run_verdict is verdict.Verdict.NOT_RUN
    code = errors.RefusalCode.ENDPOINT_FAILED
    status = 503 if not_run else 502
    if exc.timed_out:
        code = errors.RefusalCode.ENDPOINT_TIMEOUT
        status = 504
    return errors.RefusalError(
        status,
        code,
        str(exc),
        run_verdict,
        RETRY_AFTER_MS if not_run else None,
    )
