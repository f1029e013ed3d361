"""Datagrams to and from the same UDP port of all VMs."""

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import socket
import structlog

from hornbeampier import application
from hornbeampier import errors

MAX_DATAGRAM_BYTES = 60_000
# Handles a datagram from a host; raises errors.PeerError if it is invalid.
Receiver = Callable[[str, bytes], None]


class Transport(Protocol):
    """Sends datagrams to other VMs."""

    def send(self, host: str, data: bytes) -> None:
        """Sends a datagram, which may be lost."""
        ...


class UdpTransport(application.BaseComponent):
    """Sends datagrams, and passes those received on.

    Attributes:
        receiver: Handles what is received; set before `start`.
    """

    def __init__(self, host: str, port: int):
        self._host = host
        self._port = port
        self._sock: socket.socket | None = None
        self._task: gevent.Greenlet | None = None
        self.receiver: Receiver | None = None
        self._log = structlog.get_logger(task="datagrams", port=port)

    def start(self) -> None:
        """Binds the port and starts to receive."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self._host, self._port))
        self._task = gevent.spawn(self._receive)

    def stop(self) -> None:
        """Stops receiving and closes the socket."""
        if self._task is not None:
            self._task.kill()
        if self._sock is not None:
            self._sock.close()

    def send(self, host: str, data: bytes) -> None:
        """Sends a datagram, which may be lost."""
        try:
            self._sock.sendto(data, (host, self._port))
        except (OSError, UnicodeError) as exc:
            self._log.debug("datagram_lost", peer=host, error=str(exc))

    def _receive(self) -> None:
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # The kernel reports a peer's closed port here.
                self._log.debug("datagram_refused", error=str(exc))
                continue
            self._pass_on(host, data)

    def _pass_on(self, host: str, data: bytes) -> None:
        """Calls the receiver; no datagram ends the task that receives them."""
        try:
            self.receiver(host, data)
        except errors.PeerError as exc:
            self._log.warning("datagram_unreadable", peer=host, error=str(exc))
        except Exception:
            self._log.exception("datagram_skipped", peer=host)
