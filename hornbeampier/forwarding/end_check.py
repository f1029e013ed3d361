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


def has_outlived_response(
    pool: connection_pool.ConnectionPool,
    endpoint: domain.Endpoint,
    clock: clocks.Clock,
) -> bool:
    """Whether an endpoint's process is up after the end of its response.

    A process that accepts connections and sends no report is taken for the one
    that responded, unless it is of another endpoint.
    """
    try:
        conn = pool.acquire(endpoint, "")
    except OSError:
        # Not an error: the process has ended.
        return False
    try:
        return _may_have_responded(conn, endpoint, clock)
    finally:
        conn.close()


def _may_have_responded(
    conn: client.ClientConnection,
    endpoint: domain.Endpoint,
    clock: clocks.Clock,
) -> bool:
    """Asks the process on a connection whether it is that of an endpoint.

    On platforms whose entries have no start time, endpoints are not asked.
    """
    if not endpoint.started_ms:
        return True
    try:
        response = conn.call(
            reports.encode_request(endpoint),
            clock.now() + REPORT_TIMEOUT_MS,
            max_bytes=reports.MAX_BYTES,
            id_header=names.REQUEST_ID,
        )
        if response.status == announcements.MISDIRECTED_STATUS:
            return False
        return reports.decode_started_ms(response.body) == endpoint.started_ms
    except (*client.TRANSPORT_ERRORS, errors.PlatformError):
        return True
