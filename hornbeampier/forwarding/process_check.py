"""Proves that a connection leads to the process that an entry describes.

An endpoint may start again under its id and address with other software. The
entry that was read last, and the id that a request names, do not show it.
"""

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.http1 import client
from hornbeampier.platform import names
from hornbeampier.platform import reports
from hornbeampier.routing import domain

# Several endpoints may be asked before the caller gives a stalled stream up.
CHECK_TIMEOUT_MS = 400.0


class UnprovedProcessError(errors.AttemptError):
    """Nothing proves that the endpoint's process is that of its entry.

    The request has not been sent.
    """

    def __init__(self, message: str):
        super().__init__(
            message, verdict.Verdict.NOT_RUN, unsent=True, unproved=True
        )


class OtherProcessError(UnprovedProcessError):
    """The endpoint's process is another one than that of its entry.

    Attributes:
        started_ms: When it started, as it reports.
    """

    def __init__(self, message: str, started_ms: int):
        super().__init__(message)
        self.started_ms = started_ms


def check(
    conn: client.ClientConnection,
    endpoint: domain.Endpoint,
    deadline_ms: float,
    clock: clocks.Clock,
) -> None:
    """Asks the process on a connection when it started.

    A connection leads to one process for as long as it is open, so what is sent
    on `conn` afterwards reaches the process of the entry, or none. On platforms
    whose entries have no start time, no endpoint starts again under its id.

    Raises:
        OtherProcessError: The process is another one.
        UnprovedProcessError: It did not reply, or the connection cannot carry a
            request afterwards.
    """
    if not endpoint.started_ms:
        return
    started_ms = ask(conn, endpoint, deadline_ms, clock)
    if started_ms != endpoint.started_ms:
        raise OtherProcessError(
            f"the endpoint's process started at {started_ms}, and that of its "
            f"entry at {endpoint.started_ms}",
            started_ms,
        )


def ask(
    conn: client.ClientConnection,
    endpoint: domain.Endpoint,
    deadline_ms: float,
    clock: clocks.Clock,
) -> int:
    """Returns when the process on a connection started, in Unix ms.

    It is asked once.

    Raises:
        UnprovedProcessError: It did not reply, or the connection cannot carry a
            request afterwards.
    """
    if conn.process_ms is not None:
        return conn.process_ms
    deadline_ms = min(deadline_ms, clock.now() + CHECK_TIMEOUT_MS)
    try:
        response = conn.call(
            reports.encode_request(endpoint),
            deadline_ms,
            max_bytes=reports.MAX_BYTES,
            id_header=names.REQUEST_ID,
        )
    except client.TRANSPORT_ERRORS as exc:
        raise UnprovedProcessError(
            f"the endpoint did not send a report: {exc or type(exc).__name__}"
        ) from exc
    started_ms = _decode(response)
    if not conn.is_reusable():
        raise UnprovedProcessError("the endpoint closes the connection")
    conn.process_ms = started_ms
    return started_ms


def _decode(response: client.CompleteResponse) -> int:
    if response.status != 200:
        raise UnprovedProcessError(
            f"the endpoint sent status {response.status} instead of a report"
        )
    try:
        return reports.decode_started_ms(response.body)
    except errors.PlatformError as exc:
        raise UnprovedProcessError(str(exc)) from exc
