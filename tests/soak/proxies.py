"""A loopback proxy that delays, resets and cuts connections."""

import contextlib
import enum
import math
import struct

import gevent
from gevent import server
from gevent import socket

from hornbeampier import clock as clocks
from tests import nodes

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BLOCK_BYTES = 65_536


class Direction(enum.Enum):
    """Towards the server, or back to the client."""

    FORTH = enum.auto()
    BACK = enum.auto()


class Proxy:
    """Passes bytes between clients and one server.

    Attributes:
        delay_s: Time by which each block of bytes is held up.
        delayed_ms: When a block was last held up, on the monotonic clock.
        cut: Directions in which all bytes are lost.
        refuses: Whether new connections are reset.
        answered_ms: When bytes last went back to a client.
    """

    def __init__(self, target):
        self.delay_s = 0.0
        self.delayed_ms = -math.inf
        self.cut = set()
        self.refuses = False
        self.answered_ms = -math.inf
        self._swallows = set()
        self._target = target
        self._clock = clocks.SystemClock()
        self._socks = set()
        self._server = server.StreamServer((nodes.HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    @property
    def address(self):
        return f"{nodes.HOST}:{self.port}"

    def stop(self):
        """Refuses connections; those that are open go on."""
        self._server.stop(timeout=0)

    def reset(self):
        """Resets all open connections."""
        for sock in list(self._socks):
            _reset(sock)
        self._socks.clear()

    def swallow(self):
        """Loses all bytes of the connections that are open now."""
        self._swallows |= self._socks

    def _serve(self, client, _):
        if self.refuses:
            _reset(client)
            return
        try:
            target = socket.create_connection(self._target)
        except OSError:
            _reset(client)
            return
        socks = {client, target}
        self._socks |= socks
        pumps = [
            gevent.spawn(self._pump, client, target, Direction.FORTH),
            gevent.spawn(self._pump, target, client, Direction.BACK),
        ]
        gevent.joinall(pumps)
        for sock in socks:
            sock.close()
        self._socks -= socks
        self._swallows -= socks

    def _pump(self, source, sink, direction):
        try:
            while data := source.recv(BLOCK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                    self.delayed_ms = self._clock.now()
                if direction in self.cut or sink in self._swallows:
                    continue
                if direction is Direction.BACK:
                    self.answered_ms = self._clock.now()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)


def _reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # Wakes the greenlet that reads; `close` alone would not.
        sock.shutdown(socket.SHUT_RD)
    sock.close()
