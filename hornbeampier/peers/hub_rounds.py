"""Rounds of datagrams in deployments with hubs."""

from collections.abc import Collection
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.peers import groups
from hornbeampier.peers import hub_states
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange
from hornbeampier.peers import topology

ROUND_INTERVAL_MS = 250.0
# Interval after which a VM sends to its hub even if nothing changed.
HEARTBEAT_MS = 500.0
# Interval of full states to a hub, which make up for lost deltas.
FULL_STATE_INTERVAL_MS = 2_000.0
# Interval of a hub's reports of all members; short while members join or leave.
REPORT_INTERVAL_MS = 3_000.0
JOIN_REPORT_INTERVAL_MS = 500.0
JOIN_PERIOD_MS = 3_000.0
# A hub that does not answer for this time is passed over. Meanwhile other hubs
# go on sending to it, so that it is heard at once when it is back.
HUB_ANSWER_MS = 1_500.0
SILENT_HUB_MS = 15_000.0
# A VM that sent its state as to a peer, because it does not know the hubs, gets
# this VM's state for this time.
PEER_REPLY_MS = 1_500.0
# Interval of these replies to each VM, and of those with the members. While a
# deployment is upgraded, half of its VMs may need replies.
REPLY_INTERVAL_MS = 1_000.0
REPLY_MEMBERS_INTERVAL_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """An encoded message and the host that it goes to."""

    host: str
    data: bytes


class HubRounds:
    """Makes the datagrams of a VM that is a hub or has one."""

    def __init__(
        self,
        sender: state_exchange.Sender,
        members: membership.Membership,
        group: groups.Group,
        exchange: state_exchange.StateExchange,
        states: hub_states.HubStates,
        clock: clocks.Clock,
    ):
        self._sender = sender
        self._members = members
        self._group = group
        self._exchange = exchange
        self._states = states
        self._clock = clock
        self._hub: str | None = None
        self._shape_key: tuple[int, frozenset[str]] | None = None
        self._computed_shape: topology.Topology | None = None
        # Since when this VM expects an answer of each hub.
        self._expected_ms: dict[str, float] = {}
        self._silent_hubs_ms: dict[str, float] = {}
        self._sent_ms = -math.inf
        self._full_state_sent_ms = -math.inf
        self._reported_ms = -math.inf
        self._peers_ms: dict[str, float] = {}
        self._replied_ms: dict[str, float] = {}
        self._told_members_ms: dict[str, float] = {}

    def record_peer(self, host: str) -> None:
        """Records that a VM sent its state as to a peer."""
        self._peers_ms[host] = self._clock.now()

    def make_round(self, sequence: int) -> list[Datagram]:
        """Returns the datagrams of the next round."""
        delta = self._exchange.collect_delta()
        shape = self._compute_topology()
        datagrams = []
        if shape.hub is not None:
            datagrams += self._to_hub(sequence, delta, shape.hub)
        datagrams += self._as_hub(sequence, delta, shape)
        datagrams += self._to_peers(sequence, delta)
        return datagrams

    def _compute_topology(self) -> topology.Topology:
        """Returns the topology, without hubs that did not answer.

        A VM to which others send as to a hub is one, whatever it computes: they
        may have noticed earlier that another hub is gone.
        """
        now_ms = self._clock.now()
        heard = self._group.hubs() if self._hub is None else ()
        self._silent_hubs_ms = {
            host: at_ms
            for host, at_ms in self._silent_hubs_ms.items()
            if now_ms - at_ms < SILENT_HUB_MS and host not in heard
        }
        while True:
            shape = self._shape()
            silent = self._find_silent(shape, now_ms)
            if not silent:
                break
            self._silent_hubs_ms.update(dict.fromkeys(silent, now_ms))
        if shape.hub != self._hub:
            self._hub = shape.hub
            self._full_state_sent_ms = -math.inf
        return shape

    def _shape(self) -> topology.Topology:
        members = self._members.members()
        key = (self._members.version, frozenset(self._silent_hubs_ms))
        if key != self._shape_key:
            self._shape_key = key
            self._computed_shape = topology.compute(
                self._sender.host,
                self._sender.zone,
                members,
                self._silent_hubs_ms,
            )
        shape = self._computed_shape
        if self._group.members():
            return topology.Topology(hub=None, hubs=shape.hubs)
        return shape

    def _find_silent(
        self, shape: topology.Topology, now_ms: float
    ) -> list[str]:
        """Returns the hubs that should have answered and did not."""
        if shape.hub is None:
            expected, heard = shape.hubs, self._group.hubs()
        else:
            expected, heard = {shape.hub}, [self._group.hub()]
        self._expected_ms = {
            host: self._expected_ms.get(host, now_ms) for host in expected
        }
        return [
            host
            for host, since_ms in self._expected_ms.items()
            if now_ms - since_ms > HUB_ANSWER_MS and host not in heard
        ]

    def _to_hub(
        self, sequence: int, delta: state_exchange.Delta, hub: str
    ) -> list[Datagram]:
        """Returns this VM's own state for its hub, if it is due."""
        now_ms = self._clock.now()
        scope = messages.Scope.MEMBER
        if now_ms - self._full_state_sent_ms >= FULL_STATE_INTERVAL_MS:
            self._full_state_sent_ms = now_ms
            message = self._exchange.make_full_state(
                sequence, delta, scope, with_members=False
            )
        elif delta.is_empty and now_ms - self._sent_ms < HEARTBEAT_MS:
            return []
        else:
            message = self._exchange.make_delta(sequence, delta, scope)
        self._sent_ms = now_ms
        return [Datagram(hub, messages.encode(message))]

    def _as_hub(
        self,
        sequence: int,
        delta: state_exchange.Delta,
        shape: topology.Topology,
    ) -> list[Datagram]:
        """Returns the sums for other hubs and for the VMs of the group."""
        if shape.hub is not None:
            self._group.take_news()
            return []
        news = [self._states.own_news(delta), *self._group.take_news()]
        group_news = [item for item in news if item.is_from_group]
        with_reports = self._are_reports_due()
        group_state = self._states.group_state(
            sequence, group_news, with_reports
        )
        data = messages.encode(group_state)
        hubs = shape.hubs.union(self._group.hubs(), self._silent_hubs_ms)
        datagrams = [Datagram(host, data) for host in sorted(hubs)]
        states = self._states.fleet_states(sequence, news, with_reports)
        datagrams += [
            Datagram(host, messages.encode(message))
            for host, message in states.items()
        ]
        return datagrams

    def _are_reports_due(self) -> bool:
        now_ms = self._clock.now()
        has_changed = now_ms - self._members.changed_ms < JOIN_PERIOD_MS
        interval_ms = (
            JOIN_REPORT_INTERVAL_MS if has_changed else REPORT_INTERVAL_MS
        )
        if now_ms - self._reported_ms < interval_ms:
            return False
        self._reported_ms = now_ms
        return True

    def _to_peers(
        self, sequence: int, delta: state_exchange.Delta
    ) -> list[Datagram]:
        """Returns this VM's own state for VMs that do not know the hubs."""
        oldest_ms = self._clock.now() - PEER_REPLY_MS
        self._peers_ms = {
            host: at_ms
            for host, at_ms in self._peers_ms.items()
            if at_ms >= oldest_ms
        }
        seeds = self._members.due_seeds()
        due = self._take_due(
            self._replied_ms, REPLY_INTERVAL_MS, self._peers_ms
        )
        told = self._take_due(
            self._told_members_ms, REPLY_MEMBERS_INTERVAL_MS, due
        )
        others = [host for host in due if host not in told]
        reply = messages.Scope.REPLY
        return (
            self._to_hosts(sequence, delta, seeds, messages.Scope.PEER, True)
            + self._to_hosts(sequence, delta, told, reply, True)
            + self._to_hosts(sequence, delta, others, reply, False)
        )

    def _take_due(
        self,
        sent_ms: dict[str, float],
        interval_ms: float,
        hosts: Collection[str],
    ) -> list[str]:
        """Returns the hosts to which nothing was sent for an interval.

        They are recorded as sent to now.
        """
        now_ms = self._clock.now()
        due = [
            host
            for host in hosts
            if now_ms - sent_ms.get(host, -math.inf) >= interval_ms
        ]
        sent_ms.update(dict.fromkeys(due, now_ms))
        for host in [h for h in sent_ms if h not in self._peers_ms]:
            del sent_ms[host]
        return due

    def _to_hosts(
        self,
        sequence: int,
        delta: state_exchange.Delta,
        hosts: Collection[str],
        scope: messages.Scope,
        with_members: bool,
    ) -> list[Datagram]:
        if not hosts:
            return []
        message = self._exchange.make_full_state(
            sequence, delta, scope, with_members
        )
        data = messages.encode(message)
        return [Datagram(host, data) for host in hosts]
