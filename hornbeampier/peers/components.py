"""Builds the components with which a VM speaks to its peers."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import random

from hornbeampier import clock as clocks
from hornbeampier.peers import gossip
from hornbeampier.peers import groups
from hornbeampier.peers import hub_rounds
from hornbeampier.peers import hub_states
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import origin_exchange
from hornbeampier.peers import origin_messages
from hornbeampier.peers import state_exchange
from hornbeampier.peers import topology
from hornbeampier.peers import udp_transport
from hornbeampier.routing import origin_history
from hornbeampier.routing import stream_origins

BOOT_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What peers know of this VM.

    Attributes:
        gossip_port: UDP port of gossip, the same on all VMs.
    """

    vm: str
    host: str
    availability_zone: str
    gossip_port: int


def build_gossip(
    identity: Identity,
    shared: state_exchange.SharedComponents,
    members: membership.Membership,
    reads_store: state_exchange.ReadsStore,
    clock: clocks.Clock,
    rng: random.Random,
) -> tuple[udp_transport.UdpTransport, gossip.Gossip]:
    """Returns the gossip of this VM, for any number of VMs, with its socket."""
    sender = state_exchange.Sender(
        vm=identity.vm,
        boot=rng.getrandbits(BOOT_BITS),
        host=identity.host,
        zone=topology.zone_code(identity.availability_zone),
    )
    group = groups.Group(clock)
    exchange = state_exchange.StateExchange(
        sender, shared, members, group, reads_store, clock
    )
    states = hub_states.HubStates(
        sender, shared, members, group, exchange, reads_store
    )
    rounds = hub_rounds.HubRounds(
        sender, members, group, exchange, states, clock
    )
    transport = udp_transport.UdpTransport(identity.host, identity.gossip_port)
    vm_gossip = gossip.Gossip(transport, members, exchange, rounds, clock)
    transport.receiver = lambda peer, data: vm_gossip.accept(
        peer, messages.decode(data)
    )
    return transport, vm_gossip


def build_origin_exchange(
    host: str,
    port: int,
    peers: Callable[[], Collection[str]],
    origins: stream_origins.StreamOrigins,
    history: origin_history.OriginHistory,
    clock: clocks.Clock,
    rng: random.Random,
) -> tuple[udp_transport.UdpTransport, origin_exchange.OriginExchange]:
    """Returns this VM's part in keeping records of streams, with its socket."""
    transport = udp_transport.UdpTransport(host, port)
    exchange = origin_exchange.OriginExchange(
        host, peers, transport, origins, history, clock, rng
    )
    transport.receiver = lambda peer, data: exchange.accept(
        peer, origin_messages.decode(data)
    )
    return transport, exchange
