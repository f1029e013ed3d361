"""HTTP client that never sends a request twice.

The library's own `request` method retries after some failures, so only the
library's connection pool and response parser are used here.
"""

from collections.abc import Iterator
import dataclasses

from geventhttpclient import connectionpool
from geventhttpclient import response

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.http1 import messages

DEFAULT_CONNECT_TIMEOUT_MS = 1_000.0
DEFAULT_POOL_SIZE = 256
MS_PER_SECOND = 1000.0
BLOCK_BYTES = 16_384
LINE_END = b"\n"
# Bounds on what is kept of one response: an endpoint may send bytes without
# end.
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 32 * 1024 * 1024
# Errors of the socket, the parser and the library's own pool.
TRANSPORT_ERRORS = (
    OSError,
    response.HTTPParseError,
    response.HTTPConnectionClosed,
    response.HTTPProtocolViolationError,
)


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """One HTTP request.

    Attributes:
        new_connection: Whether to use a new connection, not an idle one.
        timeout_ms: Read timeout, or None for the default of the `HttpClient`.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    new_connection: bool = False
    timeout_ms: float | None = None


class _BoundedResponse(response.HTTPSocketResponse):
    """Ends the connection of a response that is too large to keep."""

    def __init__(self, sock, method: str):
        self._head_bytes = 0
        super().__init__(sock, block_size=BLOCK_BYTES, method=method)

    def feed(self, data: bytes) -> None:
        """Parses what has arrived; raises HTTPProtocolViolationError."""
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES + BLOCK_BYTES:
                raise response.HTTPProtocolViolationError(
                    "the head of the response is too large"
                )
        super().feed(data)
        if len(self._body_buffer) > MAX_BODY_BYTES:
            raise response.HTTPProtocolViolationError(
                "the response, or a line of it, is too large"
            )


class HttpResponse:
    """A response whose head has arrived, but not necessarily its body."""

    def __init__(
        self,
        pool: connectionpool.ConnectionPool,
        sock,
        resp: response.HTTPSocketResponse,
        keep_alive: bool,
    ):
        self._pool = pool
        self._sock = sock
        self._resp = resp
        self._keep_alive = keep_alive

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._resp.status_code

    def header(self, name: str) -> str | None:
        """Returns the value of a header, or None."""
        return self._resp.get(name)

    def headers(self) -> list[tuple[str, str]]:
        """Returns all headers of the response."""
        return list(self._resp.items())

    def set_read_timeout(self, timeout_ms: float) -> None:
        """Limits the wait for each block of the body."""
        if self._sock is not None:
            self._sock.settimeout(timeout_ms / MS_PER_SECOND)

    def read(self, max_bytes: int | None = None) -> bytes:
        """Returns the body, or what is left of it.

        Args:
            max_bytes: Returns the next `max_bytes` of it at the most.

        Raises:
            errors.AttemptError: The connection failed before the body's end,
                or the body is too large.
        """
        try:
            return bytes(self._resp.read(max_bytes))
        except TRANSPORT_ERRORS as exc:
            raise _connection_lost(exc) from exc

    def lines(self) -> Iterator[bytes]:
        """Yields the lines of the body as they arrive.

        Raises:
            errors.AttemptError: The connection failed before the body's end.
        """
        while True:
            try:
                line = self._resp.readline(LINE_END)
            except TRANSPORT_ERRORS as exc:
                raise _connection_lost(exc) from exc
            if not line:
                return
            yield bytes(line)

    def close(self) -> None:
        """Returns the connection to the pool if reusable, or closes it."""
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        reusable = (
            self._keep_alive
            and self._resp.message_complete
            and self._resp.should_keep_alive()
        )
        if reusable:
            self._pool.return_socket(sock)
            return
        self._pool.release_socket(sock)


class _Pool(connectionpool.ConnectionPool):
    """A pool that leaks no connection if a task is killed while it gets one."""

    def _is_socket_alive(self, sock) -> bool:
        try:
            return super()._is_socket_alive(sock)
        except BaseException:
            self.release_socket(sock)
            raise


class HttpClient:
    """Client of one HTTP server, with a pool of connections."""

    def __init__(
        self,
        host: str,
        port: int,
        read_timeout_ms: float,
        connect_timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS,
        pool_size: int = DEFAULT_POOL_SIZE,
    ):
        self.host = host
        self.port = port
        self._read_timeout_ms = read_timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._pool = self._new_pool(pool_size)

    def _new_pool(self, size: int) -> connectionpool.ConnectionPool:
        return _Pool(
            self.host,
            self.port,
            self.host,
            self.port,
            size=size,
            connection_timeout=self._connect_timeout_ms / MS_PER_SECOND,
            network_timeout=self._read_timeout_ms / MS_PER_SECOND,
        )

    def send(self, req: OutgoingRequest) -> HttpResponse:
        """Sends a request once and waits for the head of the response.

        Raises:
            errors.AttemptError: With verdict `not_run` if it could not connect.
        """
        pool = self._new_pool(1) if req.new_connection else self._pool
        try:
            sock = pool.get_socket()
        except OSError as exc:
            raise errors.AttemptError(
                f"cannot connect to {self.host}:{self.port}: {exc}",
                verdict.Verdict.NOT_RUN,
            ) from exc
        timeout_ms = req.timeout_ms or self._read_timeout_ms
        try:
            sock.settimeout(timeout_ms / MS_PER_SECOND)
            sock.sendall(self._encode(req))
            resp = _BoundedResponse(sock, req.method)
            _check_status(resp)
        except TRANSPORT_ERRORS as exc:
            pool.release_socket(sock)
            raise _connection_lost(exc) from exc
        except BaseException:
            pool.release_socket(sock)
            raise
        return HttpResponse(pool, sock, resp, keep_alive=not req.new_connection)

    def call(self, req: OutgoingRequest) -> tuple[int, bytes]:
        """Sends a request once and returns the response's status and body.

        Raises:
            errors.AttemptError: The attempt failed.
        """
        resp = self.send(req)
        try:
            return resp.status, resp.read()
        finally:
            resp.close()

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _encode(self, req: OutgoingRequest) -> bytes:
        lines = [
            f"{req.method} {req.path} HTTP/1.1",
            f"Host: {self.host}:{self.port}",
            f"Content-Length: {len(req.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in req.headers]
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + req.body


def _check_status(resp: response.HTTPSocketResponse) -> None:
    """Raises HTTPProtocolViolationError if the status is invalid."""
    if resp.status_code > messages.MAX_STATUS:
        raise response.HTTPProtocolViolationError(
            f"the status {resp.status_code} is invalid"
        )


def _connection_lost(exc: BaseException) -> errors.AttemptError:
    """Returns the error for a failure or timeout after the connection was made.

    Bytes of the request may have been sent, so its verdict is `may_have_run`.
    """
    timed_out = isinstance(exc, TimeoutError)
    return errors.AttemptError(
        f"connection lost: {exc or type(exc).__name__}",
        verdict.Verdict.MAY_HAVE_RUN,
        connection_lost=not timed_out,
        timed_out=timed_out,
    )
