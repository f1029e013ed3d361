"""Client of the platform's API for duties."""

import math

from gevent import lock
import msgspec
import structlog

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier.duties import terms
from hornbeampier.platform import connection
from hornbeampier.platform import names
from hornbeampier.platform import settings

USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
CALL_TIMEOUT_MS = 1_000.0
# Of a response only the status is used.
MAX_RESPONSE_BYTES = 64 * 1024
# A call is not begun if less than this is left of the term.
MIN_CALL_MS = 100.0
# Factor on the interval between calls, so that network jitter does not make
# them arrive too fast.
SPACING_MARGIN = 1.1
# Further intervals to wait after the API was busy.
BUSY_INTERVALS = 2
# How long a drain waits for the response to a call.
DRAIN_WAIT_MS = 300.0
_OUTCOMES = {
    200: terms.Outcome.ACCEPTED,
    202: terms.Outcome.ACCEPTED,
    204: terms.Outcome.ACCEPTED,
    409: terms.Outcome.REFUSED,
    429: terms.Outcome.BUSY,
    503: terms.Outcome.BUSY,
}
# Metric label of calls that were not begun.
NOT_SENT = "not_sent"


class _Report(msgspec.Struct, rename="camel"):
    window_id: int
    counts: dict[str, int]


class _Order(msgspec.Struct, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


class DutyApiClient:
    """A client with one connection, for one call at a time.

    A call that cannot be made within its term counts as BUSY.
    """

    def __init__(
        self,
        duty: str,
        cfg: settings.DutySettings,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        self._duty = duty
        self._requires_fence = cfg.requires_fence
        self._lease_ms = cfg.lease_ms
        # The holders of all duties share the calls that the API accepts.
        share_per_s = cfg.calls_per_s / len(cfg.names)
        self._interval_ms = clocks.MS_PER_SECOND / share_per_s * SPACING_MARGIN
        self._metrics = metrics
        self._clock = clock
        self._conn = connection.ServiceConnection(cfg.api, clock)
        self._log = structlog.get_logger(task="duty_api", duty=duty)
        self._lock = lock.BoundedSemaphore()
        self._next_ms = -math.inf
        self._refused_token = -1
        self._unanswered_ms = -math.inf
        self._is_draining = False

    def report_usage(
        self, term: terms.Term, window: int, counts: dict[str, int]
    ) -> terms.Outcome:
        """Reports the requests of each client account in a window."""
        return self._call(term, USAGE_PATH, _Report(window, counts))

    def order_endpoints(
        self, term: terms.Term, order: terms.EndpointOrder
    ) -> terms.Outcome:
        """Orders a number of endpoints."""
        body = _Order(
            order.service, order.availability_zone, order.desired, order.spot
        )
        return self._call(term, SCALE_PATH, body)

    def drain(self) -> bool:
        """Ends all calls for good; waits briefly for the one in progress.

        Returns:
            Whether the next holder may act at once. It may not if a call
            without a response may be executed after those of the next holder.
        """
        self._is_draining = True
        if self._lock.acquire(timeout=DRAIN_WAIT_MS / clocks.MS_PER_SECOND):
            self._lock.release()
        else:
            self._unanswered_ms = self._clock.now()
        self._conn.close()
        silent_ms = self._clock.now() - self._unanswered_ms
        return self._requires_fence or silent_ms >= self._lease_ms

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()

    def _call(
        self, term: terms.Term, path: str, body: msgspec.Struct
    ) -> terms.Outcome:
        with self._lock:
            if not self._wait_for_turn(term):
                self._metrics.record_duty_call(self._duty, NOT_SENT)
                return terms.Outcome.BUSY
            outcome = self._send(term, path, msgspec.json.encode(body))
            intervals = 1
            if outcome is terms.Outcome.BUSY:
                intervals += BUSY_INTERVALS
            self._next_ms = self._clock.now() + intervals * self._interval_ms
        if outcome is terms.Outcome.REFUSED and self._requires_fence:
            self._refused_token = max(self._refused_token, term.token)
        if outcome is terms.Outcome.UNKNOWN:
            self._unanswered_ms = self._clock.now()
        self._metrics.record_duty_call(self._duty, outcome.value)
        return outcome

    def _wait_for_turn(self, term: terms.Term) -> bool:
        """Waits until a call may begin; False if the term ends before."""
        if self._next_ms + MIN_CALL_MS > term.expires_ms:
            return False
        self._clock.sleep(self._next_ms - self._clock.now())
        return (
            self._clock.now() + MIN_CALL_MS <= term.expires_ms
            and term.token > self._refused_token
            and not self._is_draining
        )

    def _send(self, term: terms.Term, path: str, body: bytes) -> terms.Outcome:
        began_ms = self._clock.now()
        headers = (
            (b"content-type", b"application/json"),
            (names.DUTY_HOLDER, term.holder.encode()),
            (names.FENCING_TOKEN, b"%d" % term.token),
        )
        deadline_ms = min(term.expires_ms, began_ms + CALL_TIMEOUT_MS)
        status, error = None, None
        try:
            response = self._conn.call(
                b"POST", path, deadline_ms, MAX_RESPONSE_BYTES, headers, body
            )
            status = response.status
        except errors.PlatformError as exc:
            error = str(exc)
        outcome = _OUTCOMES.get(status, terms.Outcome.UNKNOWN)
        self._log.info(
            "duty_called",
            path=path,
            token=term.token,
            term_left_ms=round(term.expires_ms - began_ms),
            status=status,
            outcome=outcome.value,
            took_ms=round(self._clock.now() - began_ms),
            error=error,
        )
        return outcome
