"""VMs that keep the records of streams, without a network, on one clock."""

import math
import random

from hornbeampier import clock as clocks
from hornbeampier.peers import origin_exchange
from hornbeampier.peers import origin_messages
from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import origin_history
from hornbeampier.routing import stream_origins
from tests import routing_fakes as fakes

CALLER_TIMEOUT_MS = 10_000.0
ROUTE = fakes.route(resumable=True, timeout_ms=CALLER_TIMEOUT_MS)
LOCATION = fakes.request().location


def configuration(*routes, version=1):
    limits = domain.Limits(4_096, 10_000, 1_000.0, 5_000.0)
    return domain.Configuration(version, routes, {}, None, limits)


class OriginVm:
    """One VM; it knows endpoints of some versions and all other VMs."""

    def __init__(self, network, host, versions):
        self.host = host
        self._network = network
        self.catalog = catalog.Catalog()
        self.origins = stream_origins.StreamOrigins(network.clock)
        self.history = origin_history.OriginHistory(self.catalog, network.clock)
        self.exchange = origin_exchange.OriginExchange(
            host,
            lambda: network.hosts,
            self,
            self.origins,
            self.history,
            network.clock,
            random.Random(host),
        )
        for version in versions:
            self.add_version(version)
        self.catalog.apply_configuration(configuration(ROUTE))
        self.history.routes.coverage.begin(math.inf)
        self.history.record_stream(CALLER_TIMEOUT_MS)
        # As the maintenance of a node does, four times a second.
        self.history.expire()

    def add_version(self, version):
        self.catalog.apply_endpoint(
            fakes.endpoint(f"{version}-1", software_version=version)
        )

    def send(self, host, data):
        """Sends a datagram, as an `origin_exchange.Transport`."""
        self._network.deliver(self.host, host, data)

    def is_unambiguous(self):
        return len(self.history.possible(LOCATION)) == 1

    def begin(self, request_id, version):
        """Begins a stream; its record is sent as from a serving VM."""
        stream = stream_origins.RecordedStream(
            stream_origins.digest_id(request_id),
            stream_origins.Origin(fakes.SERVICE, version),
            self._network.clock.now() + CALLER_TIMEOUT_MS,
        )
        self.exchange.record(stream, not self.is_unambiguous())

    def find(self, request_id):
        """Returns the version that began a stream, or None."""
        key = stream_origins.digest_id(request_id)
        origin = self.origins.find(key)
        if origin is None:
            origin = self.exchange.lookup(key, self.is_unambiguous).origin
        return origin.version if origin else None


class OriginNetwork:
    """VMs that reach each other unless a datagram is lost.

    Attributes:
        hosts: All VMs that are members, dead ones too.
        bytes_sent: Sent bytes by host.
        loss: Fraction of the datagrams that is lost.
    """

    def __init__(self, vm_count, versions, seed=1):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(vm_count)]
        self.loss = 0.0
        self.bytes_sent = dict.fromkeys(self.hosts, 0)
        self.vms = {}
        for host in self.hosts:
            self.start(host, versions)

    def start(self, host, versions):
        self.vms[host] = OriginVm(self, host, versions)
        return self.vms[host]

    def kill(self, share):
        """Ends a share of the VMs at once; returns them."""
        count = round(share * len(self.vms))
        killed = set(self.rng.sample(sorted(self.vms), count))
        for host in killed:
            del self.vms[host]
        return killed

    def deliver(self, source, target, data):
        self.bytes_sent[source] += len(data)
        vm = self.vms.get(target)
        if vm is not None and self.rng.random() >= self.loss:
            vm.exchange.accept(source, origin_messages.decode(data))
