"""Distinguishes a crashed endpoint from a lost connection."""

import msgspec

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.endpoints import load
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import registry

TIMEOUT_MS = 500.0


def is_same_process(state: registry.EndpointState) -> bool:
    """Returns whether the endpoint responds and has not restarted.

    An endpoint counts as not restarted if it never reports a `boot`, or if this
    VM had no earlier load report of it.
    """
    req = http_client.OutgoingRequest(
        "GET", load.LOAD_PATH, new_connection=True, timeout_ms=TIMEOUT_MS
    )
    try:
        status, body = state.http_client.call(req)
        report = msgspec.json.decode(body, type=messages.LoadReport)
    except (errors.AttemptError, *errors.DECODE_ERRORS):
        return False
    if status != 200:
        return False
    return state.report is None or report.boot == state.report.boot
