"""Tells whether a response that ended with its connection may be complete.

It is if the endpoint ended it. If the endpoint's process has ended, its
connections end as well, in the middle of responses. This VM may learn of that
only when another process has the address, if it was suspended or the network
was down for a while.
"""

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.forwarding import connection_pool
from hornbeampier.http1 import client
from hornbeampier.platform import announcements
from hornbeampier.platform import names
from hornbeampier.platform import reports
from hornbeampier.routing import domain

REPORT_TIMEOUT_MS = 150.0
# Pauses before the questions after one without a reply. The kernel closes the
# listening socket of a killed process last, some ms after its connections.
RETRY_PAUSES_MS = (10.0, 20.0, 40.0)


def has_outlived_response(
    pool: connection_pool.ConnectionPool,
    endpoint: domain.Endpoint,
    clock: clocks.Clock,
) -> bool:
    """Whether an endpoint's process is up after the end of its response.

    A process that accepts connections again and again and sends no report is
    taken for the one that responded, unless it is of another endpoint.
    """
    for pause_ms in (*RETRY_PAUSES_MS, None):
        has_responded = _ask(pool, endpoint, clock)
        if has_responded is not None:
            return has_responded
        if pause_ms is not None:
            clock.sleep(pause_ms)
    return True


def _ask(
    pool: connection_pool.ConnectionPool,
    endpoint: domain.Endpoint,
    clock: clocks.Clock,
) -> bool | None:
    """Whether the process at an address is that of an endpoint.

    It is None if the process does not reply. On platforms whose entries have no
    start time, endpoints are not asked.
    """
    try:
        conn = pool.acquire(endpoint, "")
    except OSError:
        # Not an error: the process has ended.
        return False
    try:
        return not endpoint.started_ms or _is_process(conn, endpoint, clock)
    except client.TRANSPORT_ERRORS:
        return None
    finally:
        conn.close()


def _is_process(
    conn: client.ClientConnection,
    endpoint: domain.Endpoint,
    clock: clocks.Clock,
) -> bool:
    """Whether a connection leads to the process of an entry."""
    response = conn.call(
        reports.encode_request(endpoint),
        clock.now() + REPORT_TIMEOUT_MS,
        max_bytes=reports.MAX_BYTES,
        id_header=names.REQUEST_ID,
    )
    if response.status == announcements.MISDIRECTED_STATUS:
        return False
    try:
        return reports.decode_started_ms(response.body) == endpoint.started_ms
    except errors.PlatformError:
        # It replies, and does not tell which process it is.
        return True
