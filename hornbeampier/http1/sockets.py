"""TCP socket helpers."""

import select
import socket as stdlib_socket

from gevent import socket

from hornbeampier import clock as clocks

# A remote host that is down or unreachable is detected after about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def connect(host: str, port: int, timeout_ms: float) -> socket.socket:
    """Opens a TCP connection; raises OSError."""
    sock = socket.create_connection(
        (host, port), timeout=timeout_ms / clocks.MS_PER_SECOND
    )
    configure(sock)
    return sock


def configure(sock: socket.socket) -> None:
    """Turns off Nagle's algorithm and turns on TCP keepalive."""
    tcp = stdlib_socket.IPPROTO_TCP
    sock.setsockopt(tcp, stdlib_socket.TCP_NODELAY, 1)
    sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, stdlib_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, stdlib_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, stdlib_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def is_readable(sock: socket.socket) -> bool:
    """Returns whether a read would return at once, without waiting."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
