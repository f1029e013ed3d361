"""Sends this VM's state to its peers and takes in theirs."""

from collections.abc import Callable

import gevent
from gevent import socket
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.peers import membership
from hornbeampier.peers import messages

# Shortest and longest time between two datagrams to a peer.
MIN_INTERVAL_MS = 100.0
MAX_INTERVAL_MS = 500.0
# Datagrams that a VM sends in a second at the most.
MAX_SENT_PER_S = 100.0
MAX_DATAGRAM_BYTES = 60_000


class Gossip(application.BaseComponent):
    """Exchanges datagrams with all peers."""

    def __init__(
        self,
        host: str,
        port: int,
        members: membership.Membership,
        make_state: Callable[[int, tuple[str, ...]], messages.State],
        on_state: Callable[[str, messages.State], None],
        clock: clocks.Clock,
    ):
        self._host = host
        self._port = port
        self._members = members
        self._make_state = make_state
        self._on_state = on_state
        self._clock = clock
        self._sequence = 0
        self._newest: dict[str, tuple[int, int]] = {}
        self._last: messages.State | None = None
        self._sent_at_ms = 0.0
        self._sock: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._log = structlog.get_logger(task="gossip")

    def start(self) -> None:
        """Binds the port and begins to send and receive."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self._host, self._port))
        self._tasks = [
            gevent.spawn(self._receive),
            gevent.spawn(self._send),
        ]

    def stop(self) -> None:
        """Stops both and closes the port."""
        gevent.killall(self._tasks)
        if self._sock is not None:
            self._sock.close()

    def _send(self) -> None:
        while True:
            hosts = self._members.targets()
            if hosts:
                self._send_to(hosts)
            interval_ms = len(hosts) / MAX_SENT_PER_S * clocks.MS_PER_SECOND
            self._clock.sleep(max(MIN_INTERVAL_MS, interval_ms))

    def _send_to(self, hosts: list[str]) -> None:
        now_ms = self._clock.now()
        is_due = now_ms - self._sent_at_ms >= MAX_INTERVAL_MS
        members = tuple(self._members.alive()) if is_due else ()
        state = self._make_state(self._sequence, members)
        if not is_due and self._is_unchanged(state):
            return
        self._last = state
        self._sent_at_ms = now_ms
        self._sequence += 1
        data = messages.encode(state)
        for host in hosts:
            self._send_datagram(host, data)

    def _is_unchanged(self, state: messages.State) -> bool:
        last = self._last
        return (
            last is not None
            and not state.placements
            and _in_flight(last) == _in_flight(state)
            and last.offsets == state.offsets
            and last.crashes == state.crashes
        )

    def _send_datagram(self, host: str, data: bytes) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as exc:
            self._log.debug("datagram_lost", peer=host, error=str(exc))

    def _receive(self) -> None:
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                self._take(host, messages.decode(data))
            except errors.PeerError as exc:
                self._log.warning("datagram_unreadable", error=str(exc))
            except OSError as exc:
                # A peer's port that is closed is reported here.
                self._log.debug("datagram_refused", error=str(exc))

    def _take(self, host: str, state: messages.State) -> None:
        """Takes in a state unless a newer one of its process is known."""
        self._members.note_heard(host)
        self._members.note_told(state.members)
        boot, sequence = self._newest.get(host, (state.boot, -1))
        if boot == state.boot and sequence >= state.sequence:
            return
        self._newest[host] = (state.boot, state.sequence)
        self._on_state(host, state)


def _in_flight(state: messages.State) -> dict[str, tuple[int, int]]:
    """Returns the part of the loads that other VMs need at once."""
    return {
        endpoint_id: (load.in_flight, load.prefill_tokens)
        for endpoint_id, load in state.loads.items()
        if load.in_flight
    }
