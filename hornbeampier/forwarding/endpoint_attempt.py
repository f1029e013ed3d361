"""One attempt at one endpoint."""

from collections.abc import Iterator
import dataclasses

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import connection_pool
from hornbeampier.http1 import client
from hornbeampier.http1 import messages
from hornbeampier.platform import headers
from hornbeampier.platform import names
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import requests

# An answer may arrive a little after the endpoint stopped to work on it.
ANSWER_SLACK_MS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An endpoint's answer whose body has been read whole."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class EndpointAttempt:
    """Sends a request to an endpoint and reads the response.

    Attributes:
        answer: What the head of the response says, after `open`.
        head: That head.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        state: fleet.EndpointState,
        clock: clocks.Clock,
    ):
        self._pool = pool
        self._state = state
        self._clock = clock
        self._conn: client.ClientConnection | None = None
        self._deadline_ms = 0.0
        self.answer: headers.ResponseFields | None = None
        self.head: messages.ResponseHead | None = None

    def open(
        self,
        req: requests.Request,
        last_event_id: str | None = None,
        fetch_from: domain.Endpoint | None = None,
    ) -> None:
        """Sends the request and waits for the head of its response.

        See `headers.encode_request` for the arguments.

        Raises:
            errors.AttemptError: No usable response came.
        """
        self._deadline_ms = req.deadline_ms
        self._connect()
        remaining_ms = req.deadline_ms - self._clock.now()
        head = headers.encode_request(
            req,
            self._state.endpoint,
            remaining_ms,
            last_event_id,
            fetch_from,
        )
        try:
            self._conn.send(head, req.body, self._deadline_ms)
            self.head = self._conn.read_head(
                self._deadline_ms + ANSWER_SLACK_MS, names.REQUEST_ID
            )
        except client.TRANSPORT_ERRORS as exc:
            raise self._lost(exc) from exc
        self.answer = headers.decode_response(self.head)

    def blocks(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            errors.AttemptError: The response was cut short.
        """
        try:
            yield from self._conn.read_body(self._deadline_ms + ANSWER_SLACK_MS)
        except client.TRANSPORT_ERRORS as exc:
            raise self._lost(exc) from exc

    def finish(self) -> None:
        """Keeps the connection of a response that was read whole."""
        if self.answer.will_close:
            self._conn.close()
        else:
            self._pool.release(
                self._state.endpoint, self._conn, self.answer.keep_alive_ms
            )
        self._conn = None

    def close(self) -> None:
        """Closes the connection unless `finish` took it back."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _connect(self) -> None:
        try:
            self._conn = self._pool.acquire(self._state.endpoint)
        except OSError as exc:
            raise errors.AttemptError(
                f"cannot connect: {exc}",
                verdict.Verdict.NOT_RUN,
                unsent=True,
            ) from exc

    def _lost(self, exc: Exception) -> errors.AttemptError:
        # With an error number, it is TCP keep-alive that found the peer dead.
        timed_out = isinstance(exc, TimeoutError) and exc.errno is None
        return errors.AttemptError(
            f"response lost: {exc or type(exc).__name__}",
            verdict.Verdict.MAY_HAVE_RUN,
            crashed=not timed_out,
            timed_out=timed_out,
        )
