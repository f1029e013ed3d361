"""A connection to a service of the platform, opened when it is needed."""

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.http1 import client
from hornbeampier.http1 import messages as http
from hornbeampier.http1 import sockets
from hornbeampier.platform import settings

CONNECT_TIMEOUT_MS = 1_000.0


class ServiceConnection:
    """One connection for one call at a time; replaced when it was lost."""

    def __init__(self, address: settings.Address, clock: clocks.Clock):
        self._address = address
        self._clock = clock
        self._conn: client.ClientConnection | None = None

    def call(
        self,
        method: bytes,
        target: str,
        deadline_ms: float,
        max_bytes: int,
        headers: http.Headers = (),
        body: bytes = b"",
    ) -> client.CompleteResponse:
        """Returns the response; the call is not repeated if none arrives.

        Args:
            method: The method of the request.
            target: Path and query of the request.
            deadline_ms: When to give up, on the monotonic clock.
            max_bytes: Size of the largest body that the response may have.
            headers: Further headers of the request.
            body: The body of the request.

        Raises:
            errors.PlatformError: No valid response arrived in time. The call
                may have been executed, or may be later.
        """
        head_lines = ((b"host", str(self._address).encode()), *headers)
        if body:
            head_lines += ((b"content-length", b"%d" % len(body)),)
        head = http.RequestHead(method, target.encode(), head_lines)
        try:
            conn = self._connect(deadline_ms)
            response = conn.call(head, deadline_ms, max_bytes, body)
        except client.TRANSPORT_ERRORS as exc:
            self.close()
            raise errors.PlatformError(
                f"call of {self._address} failed: {exc}"
            ) from exc
        except BaseException:
            self.close()
            raise
        if not conn.is_reusable():
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _connect(self, deadline_ms: float) -> client.ClientConnection:
        if self._conn is not None and not self._conn.has_no_input():
            self.close()
        if self._conn is None:
            remaining_ms = deadline_ms - self._clock.now()
            if remaining_ms <= 0:
                raise TimeoutError("the deadline has passed")
            sock = sockets.connect(
                self._address.host,
                self._address.port,
                min(CONNECT_TIMEOUT_MS, remaining_ms),
            )
            self._conn = client.ClientConnection(sock, self._clock)
        return self._conn
