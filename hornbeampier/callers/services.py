"""Plain services: requests passed through in both directions."""

from collections.abc import Iterator
import dataclasses

from hornbeampier import errors
from hornbeampier import exchange
from hornbeampier import models
from hornbeampier import router
from hornbeampier import verdict
from hornbeampier import wsgi
from hornbeampier.callers import connection
from hornbeampier.operators import schema
from hornbeampier.policy import tickets

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1_000.0
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
# Statuses by which a service says that it did not run the request.
NOT_RUN_STATUSES = frozenset({429, 503})
HOP_HEADERS = frozenset(
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
    """A checked request for a plain service.

    Attributes:
        path: The path and query below `/services/NAME`.
    """

    demand: models.Demand
    service: schema.Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        route = f"{self.method} {self.path.partition('?')[0]}"
        if any(_matches(p, route) for p in self.service.non_idempotent):
            return False
        if any(_matches(p, route) for p in self.service.idempotent):
            return True
        return self.method not in NON_IDEMPOTENT_METHODS


class ServiceHandler:
    """Passes requests to a service's endpoints and answers back."""

    def __init__(self, router: router.Router):
        self._router = router

    def handle(
        self, req: ServiceRequest, environ, start_response
    ) -> Iterator[bytes]:
        """Yields the service's answer.

        Raises:
            errors.RefusalError: Nothing was answered yet.
        """
        excluded: frozenset[str] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            with connection.watch(environ[connection.SOCKET_KEY]):
                grant = self._router.acquire_service(req.demand, excluded)
            try:
                reply = self._send(grant, req)
            except errors.AttemptError as exc:
                self._router.release_service(grant)
                excluded |= {grant.endpoint.name}
                retryable = exc.verdict.allows_retry(req.idempotent)
                if not retryable or attempt == MAX_ATTEMPTS:
                    raise _refusal(exc) from exc
                continue
            yield from self._relay(grant, req, reply, start_response)
            return

    def _send(
        self, grant: tickets.Grant, req: ServiceRequest
    ) -> exchange.Exchange:
        reply = grant.endpoint.peer.send(
            exchange.OutgoingRequest(
                req.method,
                req.path,
                (*req.headers, ("X-Request-Id", req.demand.request_id)),
                req.body,
                fresh=not req.idempotent,
            )
        )
        if reply.status in NOT_RUN_STATUSES:
            status = reply.status
            reply.close()
            raise errors.AttemptError(
                f"the service answered {status}",
                verdict.Verdict.NOT_RUN,
                leaving=True,
            )
        return reply

    def _relay(
        self,
        grant: tickets.Grant,
        req: ServiceRequest,
        reply: exchange.Exchange,
        start_response,
    ) -> Iterator[bytes]:
        try:
            body = reply.read()
        except errors.AttemptError as exc:
            raise _refusal(exc) from exc
        finally:
            reply.close()
            self._router.release_service(grant)
        headers = [
            (name, value)
            for name, value in reply.headers()
            if name.lower() not in HOP_HEADERS
        ]
        headers.append(("Content-Length", str(len(body))))
        headers.append(("X-Request-Id", req.demand.request_id))
        start_response(wsgi.status_line(reply.status), headers)
        yield body


def forwarded_headers(environ) -> tuple[tuple[str, str], ...]:
    """Returns the caller's headers that a service receives."""
    rows = [
        (key.removeprefix("HTTP_").replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        rows.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(row for row in rows if row[0].lower() not in HOP_HEADERS)


def _matches(pattern: str, route: str) -> bool:
    if pattern.endswith("*"):
        return route.startswith(pattern[:-1])
    return route == pattern


def _refusal(exc: errors.AttemptError) -> errors.RefusalError:
    not_run = exc.verdict is verdict.Verdict.NOT_RUN
    return errors.RefusalError(
        503 if not_run else 502,
        errors.RefusalCode.ENDPOINT_FAILED,
        str(exc),
        exc.verdict,
        RETRY_AFTER_MS if not_run else None,
    )
