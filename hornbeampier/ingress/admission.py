"""Checks requests against the configuration in force."""

import hashlib

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.http1 import messages
from hornbeampier.platform import headers
from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import requests
from hornbeampier.routing import route_table
from hornbeampier.routing import urgency

NOT_READY_RETRY_MS = 500.0
# How long a request may wait for the configuration of a VM that has just
# started, and the interval of the checks.
START_WAIT_MS = 400.0
START_CHECK_MS = 10.0
FINGERPRINT_BYTES = 16


class Admission:
    """Matches request heads to routes and client accounts."""

    def __init__(self, catalog: catalog.Catalog, clock: clocks.Clock):
        self._catalog = catalog
        self._clock = clock

    def wait_for_start(self) -> None:
        """Waits a short time until the first configuration is known."""
        end_ms = self._clock.now() + START_WAIT_MS
        while self._clock.now() < end_ms:
            if self._catalog.cfg is not None:
                return
            self._clock.sleep(START_CHECK_MS)

    def check(
        self, head: messages.RequestHead, arrived_ms: float
    ) -> "AcceptedHead":
        """Finds the route and the client account of a request.

        Raises:
            errors.RefusalError: No configuration is known yet, no route
                matches, or the key is missing or unknown.
        """
        cfg = self._catalog.cfg
        if cfg is None:
            raise errors.RefusalError(
                503,
                errors.RefusalCode.NOT_READY,
                "this VM has no configuration yet",
                retry_after_ms=NOT_READY_RETRY_MS,
            )
        route = self._catalog.route_table.match(head.host, head.path)
        if route is None:
            raise errors.RefusalError(
                404,
                errors.RefusalCode.NOT_FOUND,
                "no route matches the host and path",
            )
        fields = headers.decode_request(head)
        account = _find_account(cfg, route, fields.key)
        return AcceptedHead(
            head,
            arrived_ms,
            cfg,
            self._catalog.urgency_ranks,
            route,
            fields,
            account,
        )


class AcceptedHead:
    """The head of an accepted request; its body has not been read yet."""

    def __init__(
        self,
        head: messages.RequestHead,
        arrived_ms: float,
        cfg: domain.Configuration,
        urgency_ranks: urgency.UrgencyRanks,
        route: domain.Route,
        fields: headers.RequestFields,
        account: domain.ClientAccount | None,
    ):
        self._head = head
        self._arrived_ms = arrived_ms
        self._cfg = cfg
        self._urgency_ranks = urgency_ranks
        self._route = route
        self._fields = fields
        self._account = account

    @property
    def limits(self) -> domain.Limits:
        """The limits that apply to the body of the request."""
        return self._cfg.limits

    @property
    def deadline_ms(self) -> float:
        """When the response must be complete, on the monotonic clock."""
        timeout_ms = min(self._route.timeout_ms, self._caller_timeout_ms)
        return self._arrived_ms + timeout_ms

    @property
    def _caller_timeout_ms(self) -> float:
        if self._fields.timeout_ms is None:
            return self._route.timeout_ms
        return self._fields.timeout_ms

    def with_body(self, body: bytes) -> requests.Request:
        """Returns the request to forward, made of this head and `body`."""
        fingerprint = _fingerprint(self._head, self._account, body)
        service = route_table.choose_service(
            self._route, self._fields.request_id or fingerprint
        )
        return requests.Request(
            id=self._fields.request_id,
            method=self._head.method,
            target=self._head.target,
            host=self._head.get(b"host") or b"",
            headers=headers.request_headers_to_forward(
                self._head, keep_authorization=self._cfg.accounts is None
            ),
            body=body,
            route=self._route,
            service=service,
            account=self._account,
            arrived_ms=self._arrived_ms,
            deadline_ms=self.deadline_ms,
            caller_deadline_ms=self._arrived_ms + self._caller_timeout_ms,
            fingerprint=fingerprint,
            prompt=self._prompt(service),
            urgency=self._urgency_ranks.rank(
                self._account, self._route, headers.URGENCY_RANK_COUNT
            ),
            resumed=self._resumed(),
        )

    def _resumed(self) -> requests.ResumedStream | None:
        if self._route.semantics is not domain.RequestSemantics.STREAM:
            return None
        return self._fields.resumed

    def _prompt(self, service_name: str) -> domain.Prompt | None:
        service = self._cfg.services.get(service_name)
        if service is None or service.engine_traits is None:
            return None
        return self._fields.prompt


def _find_account(
    cfg: domain.Configuration, route: domain.Route, key: str | None
) -> domain.ClientAccount | None:
    if cfg.accounts is None:
        return None
    account = cfg.accounts.get(key) if key is not None else None
    if account is None and not route.anonymous:
        raise errors.RefusalError(
            401,
            errors.RefusalCode.UNAUTHENTICATED,
            "the account key is missing or unknown",
        )
    return account


def _fingerprint(
    head: messages.RequestHead,
    account: domain.ClientAccount | None,
    body: bytes,
) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    name = account.name if account is not None else ""
    for value in (head.method, head.target, name.encode(), body):
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return digest.hexdigest()
