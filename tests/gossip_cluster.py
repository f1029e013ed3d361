"""Many VMs that gossip without a network, on one manual clock."""

import random

from hornbeampier import clock as clocks
from hornbeampier.peers import components
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange
from hornbeampier.replication import catch_up
from hornbeampier.replication import currency
from hornbeampier.replication import positions
from hornbeampier.replication import store_readers
from hornbeampier.routing import announcements
from hornbeampier.routing import catalog
from hornbeampier.routing import crashes
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import limit_shares
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from tests import routing_fakes as fakes

STEP_MS = 25.0
ENGINES = 6


class Replica:
    def __init__(self):
        self.position = positions.Position(0, 1)
        self.changed = self.position
        self.currency = currency.Currency()

    def beat(self):
        """An endpoint writes an entry that changes nothing."""
        self.position = positions.Position(0, self.position.offset + 1)

    def change(self):
        """A record comes that changes something."""
        self.beat()
        self.changed = self.position


class Vm:
    """One VM with all that it gossips."""

    def __init__(self, host, zone, seeds, clock, boot=1):
        self.host = host
        self.catalog = catalog.Catalog()
        self.announcements = announcements.Announcements(
            limit_shares.LimitShares(
                host, lambda: self.members.live()
            ).share_per_s,
            lambda service, kind: None,
            clock,
            random.Random(host),
        )
        self.fleet = fleet.Fleet(self.catalog, self.announcements, clock)
        for number in range(ENGINES):
            self.catalog.apply_endpoint(fakes.endpoint(f"e{number}"))
        self.peer_loads = peer_loads.PeerLoads(clock)
        self.meter = prefill.PrefillMeter(clock)
        self.crashes = crashes.CrashHistory(clock)
        self.placements = placements.Placements(self.fleet, self.catalog)
        self.replica = Replica()
        self.catch_up = catch_up.CatchUp(
            {"topic": self.replica},
            1,
            lambda: False,
            clock,
            random.Random(host),
        )
        self.readers = store_readers.StoreReaders(host, clock)
        self.pools = pools.EnginePools(
            prompt_kinds.PromptClassifier(),
            engine_model.EngineModels(),
            lambda service: None,
            clock,
        )
        shared = state_exchange.SharedComponents(
            replicas={"topic": self.replica},
            fleet=self.fleet,
            peer_loads=self.peer_loads,
            pools=self.pools,
            placements=self.placements,
            announcements=self.announcements,
            crashes=self.crashes,
            prefill_meter=self.meter,
            catch_up=self.catch_up,
            store_readers=self.readers,
        )
        self.members = membership.Membership(host, seeds, clock)
        _, self.gossip = components.build_gossip(
            components.Identity(f"vm-{host}", host, zone, 1),
            shared,
            self.members,
            self.readers.should_read,
            clock,
            random.Random(f"{host}/{boot}"),
        )
        self.bursts = []

    def in_flight(self, endpoint_id):
        """Requests of all VMs at an engine, as this VM knows them."""
        own = self.fleet.get(endpoint_id).in_flight
        return own + self.peer_loads.total(endpoint_id).in_flight


class Cluster:
    """VMs in zones; datagrams arrive in the next step unless they are lost.

    Attributes:
        sent: Number and bytes of the datagrams sent by host.
    """

    def __init__(self, vm_count, zone_count, rng):
        self.clock = clocks.ManualClock()
        self.rng = rng
        self.zone_count = zone_count
        self.vms = {}
        self.cut = frozenset()
        self.loss = 0.0
        self.sent = {}
        self.seeds = [self.host(number) for number in range(3)]
        for number in range(vm_count):
            self.start(number)

    def host(self, number):
        return f"10.{number % self.zone_count}.0.{number}"

    def start(self, number, boot=1):
        host = self.host(number)
        zone = f"zone-{number % self.zone_count}"
        self.vms[host] = Vm(host, zone, self.seeds, self.clock, boot)
        return self.vms[host]

    def kill(self, hosts):
        for host in hosts:
            del self.vms[host]

    def run(self, seconds):
        """Lets all VMs send and receive for a time."""
        for _ in range(round(seconds * 1_000 / STEP_MS)):
            sent = []
            for vm in list(self.vms.values()):
                if not vm.bursts:
                    vm.bursts = vm.gossip.next_round()
                sent += [(vm.host, d) for d in vm.bursts.pop(0)]
            self.clock.advance(STEP_MS)
            for source, datagram in sent:
                self.deliver(source, datagram)

    def deliver(self, source, datagram):
        count, size = self.sent.get(source, (0, 0))
        self.sent[source] = (count + 1, size + len(datagram.data))
        receiver = self.vms.get(datagram.host)
        is_cut = (source in self.cut) != (datagram.host in self.cut)
        if receiver is None or is_cut or self.rng.random() < self.loss:
            return
        receiver.gossip.accept(source, messages.decode(datagram.data))
