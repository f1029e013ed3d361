"""Sends this VM's state to its peers and applies theirs."""

import math

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.peers import hub_rounds
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange
from hornbeampier.peers import topology
from hornbeampier.peers import udp_transport

# A round is sent in bursts of at most `BURST_SIZE` datagrams, one burst per
# interval. All at once they would fill a slow link and delay the streams on it.
BURST_INTERVAL_MS = 25.0
BURST_SIZE = 5
# Interval after which a delta is sent even if nothing changed.
HEARTBEAT_MS = 1_000.0
# Interval after which a peer is due for the full state again.
FULL_STATE_INTERVAL_MS = 500.0
# Maximum rate of the full states that a VM sends, summed over its peers.
MAX_FULL_STATES_PER_S = 20.0
# Interval at which VMs that are gone are forgotten.
FORGET_INTERVAL_MS = 10_000.0


class Gossip(application.TaskComponent):
    """Exchanges datagrams with all peers, or with hubs if there are many.

    Without hubs, each round sends all peers a delta of what changed, or nothing
    if nothing did. Some of them, in turn, get the full state instead, which
    makes up for lost datagrams.
    """

    def __init__(
        self,
        transport: udp_transport.Transport,
        membership: membership.Membership,
        exchange: state_exchange.StateExchange,
        rounds: hub_rounds.HubRounds,
        clock: clocks.Clock,
    ):
        super().__init__()
        self._transport = transport
        self._membership = membership
        self._exchange = exchange
        self._hub_rounds = rounds
        self._clock = clock
        self._sequence = 0
        # Boot and sequence of the newest message by host, and the boot before.
        self._last_received: dict[str, tuple[int, int]] = {}
        self._previous_boots: dict[str, int] = {}
        self._forgotten_ms = clock.now()
        self._delta_sent_ms = -math.inf
        self._full_state_sent_ms: dict[str, float] = {}

    def run(self) -> None:
        """Sends round after round until killed."""
        while True:
            self._send_round(self.next_round())

    def _send_round(self, bursts: list[list[hub_rounds.Datagram]]) -> None:
        """Sends bursts at intervals; does not wake up for empty ones."""
        pause_ms = 0.0
        for burst in bursts:
            if burst and pause_ms:
                self._clock.sleep(pause_ms)
                pause_ms = 0.0
            for datagram in burst:
                self._transport.send(datagram.host, datagram.data)
            pause_ms += BURST_INTERVAL_MS
        self._clock.sleep(pause_ms)

    def next_round(self) -> list[list[hub_rounds.Datagram]]:
        """Returns the datagrams of the next round, in bursts.

        There is at least one burst; it may be empty.
        """
        self._forget_gone()
        if len(self._membership.live()) < topology.MESH_LIMIT:
            return self._make_round(self._membership.targets()) or [[]]
        self._sequence += 1
        datagrams = self._hub_rounds.make_round(self._sequence)
        min_bursts = round(hub_rounds.ROUND_INTERVAL_MS / BURST_INTERVAL_MS)
        bursts = [
            datagrams[start : start + BURST_SIZE]
            for start in range(0, len(datagrams), BURST_SIZE)
        ]
        return bursts + [[]] * (min_bursts - len(bursts))

    def _make_round(self, hosts: list[str]) -> list[list[hub_rounds.Datagram]]:
        """Returns the datagrams of the next round, in bursts."""
        bursts = math.ceil(len(hosts) / BURST_SIZE)
        delta = self._exchange.collect_delta()
        due = self._due_for_full_state(hosts, bursts * BURST_INTERVAL_MS)
        now_ms = self._clock.now()
        is_heartbeat_due = now_ms - self._delta_sent_ms >= HEARTBEAT_MS
        if delta.is_empty and not due and not is_heartbeat_due:
            return [[]] * bursts
        self._sequence += 1
        datagrams = []
        if due:
            message = self._exchange.make_full_state(self._sequence, delta)
            data = messages.encode(message)
            datagrams += [hub_rounds.Datagram(host, data) for host in due]
        if is_heartbeat_due or not delta.is_empty:
            self._delta_sent_ms = now_ms
            message = self._exchange.make_delta(self._sequence, delta)
            data = messages.encode(message)
            datagrams += [
                hub_rounds.Datagram(h, data) for h in hosts if h not in due
            ]
        return [datagrams[start::bursts] for start in range(bursts)]

    def _due_for_full_state(
        self, hosts: list[str], round_ms: float
    ) -> list[str]:
        """Returns the hosts that get the full state in this round."""
        now_ms = self._clock.now()
        sent_ms = {h: self._full_state_sent_ms.get(h, -math.inf) for h in hosts}
        due = [
            h for h in hosts if now_ms - sent_ms[h] >= FULL_STATE_INTERVAL_MS
        ]
        due.sort(key=sent_ms.get)
        per_round = MAX_FULL_STATES_PER_S * round_ms / clocks.MS_PER_SECOND
        due = due[: math.ceil(per_round)]
        self._full_state_sent_ms = {**sent_ms, **dict.fromkeys(due, now_ms)}
        return due

    def accept(self, host: str, message: messages.StateMessage) -> None:
        """Updates the membership and the state, unless it is outdated."""
        if not self._is_newest(host, message):
            return
        self._membership.record_received(host, message.zone)
        if message.reports:
            self._membership.record_reports(message.reports)
        else:
            self._membership.record_reported(message.members)
        if message.scope == messages.Scope.PEER:
            self._hub_rounds.record_peer(host)
        if message.scope in messages.KNOWN_SCOPES:
            self._exchange.apply(host, message)

    def _is_newest(self, host: str, message: messages.StateMessage) -> bool:
        """Whether no newer message came from the host, and records this one.

        A datagram of an earlier process of the host may arrive late.
        """
        boot, sequence = self._last_received.get(host, (message.boot, -1))
        if boot == message.boot and sequence >= message.sequence:
            return False
        if boot != message.boot:
            if message.boot == self._previous_boots.get(host):
                return False
            self._previous_boots[host] = boot
        self._last_received[host] = (message.boot, message.sequence)
        return True

    def _forget_gone(self) -> None:
        """Forgets the sequence numbers of VMs that are gone for good."""
        now_ms = self._clock.now()
        if now_ms - self._forgotten_ms < FORGET_INTERVAL_MS:
            return
        self._forgotten_ms = now_ms
        for host in list(self._last_received):
            if not self._membership.knows(host):
                del self._last_received[host]
                self._previous_boots.pop(host, None)
