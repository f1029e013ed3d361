"""Sends this VM's state to its peers and takes in theirs."""

import math

import gevent
from gevent import socket
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.peers import exchange
from hornbeampier.peers import membership
from hornbeampier.peers import messages

# Shortest time between two rounds of datagrams.
MIN_INTERVAL_MS = 25.0
# Time after which a peer is told the whole state again.
WHOLE_INTERVAL_MS = 500.0
# Datagrams that a VM sends in a second at the most, and whole states of them.
MAX_SENT_PER_S = 200.0
MAX_WHOLE_PER_S = 50.0
# Whole states in one round, so that they never fill a slow link.
MIN_WHOLE_PER_ROUND = 2
MAX_DATAGRAM_BYTES = 60_000


class Gossip(application.BaseComponent):
    """Exchanges datagrams with all peers.

    A round tells all peers what changed. Some of them get the whole state
    instead, in turn, which makes up for lost datagrams.
    """

    def __init__(
        self,
        host: str,
        port: int,
        members: membership.Membership,
        states: exchange.StateExchange,
        clock: clocks.Clock,
    ):
        self._host = host
        self._port = port
        self._members = members
        self._states = states
        self._clock = clock
        self._sequence = 0
        self._newest: dict[str, tuple[int, int]] = {}
        self._told_whole_ms: dict[str, float] = {}
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
            interval_ms = max(
                MIN_INTERVAL_MS,
                len(hosts) / MAX_SENT_PER_S * clocks.MS_PER_SECOND,
            )
            self._send_round(hosts, interval_ms)
            self._clock.sleep(interval_ms)

    def _send_round(self, hosts: list[str], interval_ms: float) -> None:
        news = self._states.collect()
        due = self._due_for_whole(hosts, interval_ms)
        if news.is_empty and not due:
            return
        self._sequence += 1
        if due:
            members = tuple(self._members.alive())
            whole = self._states.make_whole(self._sequence, news, members)
            self._send_to(due, whole)
        if not news.is_empty:
            partial = self._states.make_partial(self._sequence, news)
            self._send_to([h for h in hosts if h not in due], partial)

    def _due_for_whole(self, hosts: list[str], interval_ms: float) -> list[str]:
        """Returns the hosts that get the whole state in this round."""
        now_ms = self._clock.now()
        told_ms = {h: self._told_whole_ms.get(h, -math.inf) for h in hosts}
        due = [h for h in hosts if now_ms - told_ms[h] >= WHOLE_INTERVAL_MS]
        due.sort(key=told_ms.get)
        per_round = MAX_WHOLE_PER_S * interval_ms / clocks.MS_PER_SECOND
        due = due[: max(MIN_WHOLE_PER_ROUND, round(per_round))]
        self._told_whole_ms = {**told_ms, **dict.fromkeys(due, now_ms)}
        return due

    def _send_to(self, hosts: list[str], state: messages.State) -> None:
        data = messages.encode(state)
        for host in hosts:
            self._send_datagram(host, data)

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
        self._states.take(host, state)
