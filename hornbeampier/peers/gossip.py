"""Sends this VM's state to its peers and takes in theirs."""

import dataclasses
import math

import gevent
from gevent import socket
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange

# Interval between bursts of datagrams, and the datagrams in a burst. A round to
# all peers at once would fill a slow link and delay the streams on it.
BURST_INTERVAL_MS = 25.0
BURST_SIZE = 5
# Longest time without a datagram to the peers, even if nothing changed.
HEARTBEAT_MS = 1_000.0
# Interval at which each peer is sent the full state.
WHOLE_INTERVAL_MS = 500.0
# Limit of the full states that a VM sends to all peers together.
MAX_WHOLE_PER_S = 20.0
MAX_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Datagram:
    """An encoded message and the host that it goes to."""

    host: str
    data: bytes


class Gossip(application.BaseComponent):
    """Exchanges datagrams with all peers.

    Each round sends all peers a delta of what changed. Some of them, in turn,
    get the full state instead, which makes up for lost datagrams.
    """

    def __init__(
        self,
        host: str,
        port: int,
        members: membership.Membership,
        states: state_exchange.StateExchange,
        clock: clocks.Clock,
    ):
        self._host = host
        self._port = port
        self._members = members
        self._states = states
        self._clock = clock
        self._sequence = 0
        self._newest: dict[str, tuple[int, int]] = {}
        self._told_ms = -math.inf
        self._told_whole_ms: dict[str, float] = {}
        self._sock: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._log = structlog.get_logger(task="gossip")

    def start(self) -> None:
        """Binds the port and starts to send and receive."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self._host, self._port))
        self._tasks = [
            gevent.spawn(self._receive),
            gevent.spawn(self._send),
        ]

    def stop(self) -> None:
        """Stops sending and receiving and closes the socket."""
        gevent.killall(self._tasks)
        if self._sock is not None:
            self._sock.close()

    def _send(self) -> None:
        while True:
            hosts = self._members.targets()
            for group in self._make_round(hosts):
                self._send_group(group)
                self._clock.sleep(BURST_INTERVAL_MS)
            if not hosts:
                self._clock.sleep(BURST_INTERVAL_MS)

    def _make_round(self, hosts: list[str]) -> list[list[_Datagram]]:
        """Returns the datagrams of the next round, in bursts."""
        count = math.ceil(len(hosts) / BURST_SIZE)
        news = self._states.collect()
        due = self._due_for_whole(hosts, count * BURST_INTERVAL_MS)
        now_ms = self._clock.now()
        is_silent = now_ms - self._told_ms >= HEARTBEAT_MS
        if news.is_empty and not due and not is_silent:
            return [[]] * count
        self._sequence += 1
        datagrams = []
        if due:
            members = tuple(self._members.alive())
            whole = self._states.make_whole(self._sequence, news, members)
            data = messages.encode(whole)
            datagrams += [_Datagram(host, data) for host in due]
        if is_silent or not news.is_empty:
            self._told_ms = now_ms
            partial = self._states.make_partial(self._sequence, news)
            data = messages.encode(partial)
            datagrams += [_Datagram(h, data) for h in hosts if h not in due]
        return [datagrams[start::count] for start in range(count)]

    def _due_for_whole(self, hosts: list[str], round_ms: float) -> list[str]:
        """Returns the hosts that get the full state in this round."""
        now_ms = self._clock.now()
        told_ms = {h: self._told_whole_ms.get(h, -math.inf) for h in hosts}
        due = [h for h in hosts if now_ms - told_ms[h] >= WHOLE_INTERVAL_MS]
        due.sort(key=told_ms.get)
        per_round = MAX_WHOLE_PER_S * round_ms / clocks.MS_PER_SECOND
        due = due[: math.ceil(per_round)]
        self._told_whole_ms = {**told_ms, **dict.fromkeys(due, now_ms)}
        return due

    def _send_group(self, datagrams: list[_Datagram]) -> None:
        for datagram in datagrams:
            self._send_datagram(datagram)

    def _send_datagram(self, datagram: _Datagram) -> None:
        try:
            self._sock.sendto(datagram.data, (datagram.host, self._port))
        except OSError as exc:
            self._log.debug("datagram_lost", peer=datagram.host, error=str(exc))

    def _receive(self) -> None:
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                self._take(host, messages.decode(data))
            except errors.PeerError as exc:
                self._log.warning("datagram_unreadable", error=str(exc))
            except OSError as exc:
                # The kernel reports a peer's closed port here.
                self._log.debug("datagram_refused", error=str(exc))

    def _take(self, host: str, state: messages.StateMessage) -> None:
        """Applies a message unless one of its process has overtaken it."""
        self._members.note_heard(host)
        self._members.note_told(state.members)
        boot, sequence = self._newest.get(host, (state.boot, -1))
        if boot == state.boot and sequence >= state.sequence:
            return
        self._newest[host] = (state.boot, state.sequence)
        self._states.take(host, state)
