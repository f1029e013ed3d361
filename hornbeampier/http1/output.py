"""What is written to the client of a connection."""

import contextlib
import struct

from gevent import socket

from hornbeampier import clock as clocks
from hornbeampier import memory_budget
from hornbeampier.http1 import caller_watch

# A caller that does not read its response for this long is treated as gone.
WRITE_TIMEOUT_MS = 15_000.0
# SO_LINGER with a timeout of 0: `close` sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Output:
    """Writes to a connection within the memory of the process."""

    def __init__(self, sock: socket.socket, holder: memory_budget.Holder):
        self._sock = sock
        self._holder = holder

    def write(self, data: bytes | None) -> None:
        """Writes all of `data`.

        Raises:
            caller_watch.CallerGoneError: The caller has gone, does not read, or
                lost its connection as others needed the memory.
        """
        if not data:
            return
        try:
            self._sock.settimeout(WRITE_TIMEOUT_MS / clocks.MS_PER_SECOND)
            if len(data) <= memory_budget.SMALL_BODY_BYTES:
                self._sock.sendall(data)
                return
            with self._holder.writing(len(data)):
                self._sock.sendall(data)
        except OSError as exc:
            raise caller_watch.CallerGoneError from exc
        except memory_budget.ReclaimedError as exc:
            self.abort()
            raise caller_watch.CallerGoneError from exc

    def abort(self) -> None:
        """Resets the connection, so that the caller sees the interruption."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self._sock.close()
