"""Plain requests of many VMs in two zones, on a manual clock.

Each VM sees the loads of the others late and chooses by itself.
"""

import collections
import random

from hornbeampier import clock as clocks
from hornbeampier.peers import load_messages
from hornbeampier.routing import choosers
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
from hornbeampier.routing import zone_spill
from tests import routing_fakes as fakes

STEP_MS = 10.0
# Gossip intervals in steps, with up to MESH_LIMIT VMs, which all tell each
# other, and with more, which hubs tell.
MESH_STEPS = 3
HUB_STEPS = 25
MESH_LIMIT = 24
SLOTS = 8
SERVICE_MS = 100.0
ZONES = ("a", "b")


class _Vm:
    def __init__(self, zone, endpoints, zone_vms, clock, seed, with_zones):
        fixture = fakes.RoutingFixture(0)
        self.fleet = fleet.Fleet(fixture.catalog, fixture.announcements, clock)
        for endpoint in endpoints:
            fixture.catalog.apply_endpoint(endpoint)
        self.catalog = fixture.catalog
        self.peers = peer_loads.PeerLoads(clock)
        rng = random.Random(seed)
        self.zone = zone
        zones = zone_spill.ZoneSpill(
            zone, self.fleet, self.peers, lambda: zone_vms, clock, rng
        )
        self.chooser = choosers.LeastLoadedChooser(
            self.fleet, self.peers, rng, zones if with_zones else None
        )

    def loads(self):
        states = self.fleet.all()
        return {state.id: load_messages.to_load(state) for state in states}


class ZoneSimulation:
    """Two zones with endpoints and VMs.

    Attributes:
        waits_ms: Waits for a slot of an endpoint, with the time on the link.
        left: Requests that left their zone, by zone of the VM.
        sizes: Sizes of all requests that left.
        sent: Requests by zone of the VM.
        max_left_per_round: Most requests that left between two gossip rounds.
    """

    def __init__(
        self,
        endpoints,
        vms=6,
        with_zones=True,
        link_ms=1.0,
        sizes=(100,),
        seed=1,
    ):
        self.clock = clocks.ManualClock()
        self._rng = random.Random(seed)
        self._link_ms = link_ms
        self._sizes = sizes
        entries = [
            fakes.endpoint(f"{zone}{n}", availability_zone=zone, slots=SLOTS)
            for zone in ZONES
            for n in range(endpoints)
        ]
        self.vms = [
            _Vm(zone, entries, vms // 2, self.clock, seed, with_zones)
            for seed, zone in enumerate(ZONES * (vms // 2))
        ]
        self._queues = {entry.id: collections.deque() for entry in entries}
        self._running = {entry.id: [] for entry in entries}
        self._reports = collections.deque()
        self._gossip_steps = MESH_STEPS if vms <= MESH_LIMIT else HUB_STEPS
        self._steps = 0
        self._due = dict.fromkeys(ZONES, 0.0)
        self.reset()

    def reset(self):
        self.waits_ms = []
        self.left = dict.fromkeys(ZONES, 0)
        self.sent = dict.fromkeys(ZONES, 0)
        self.sizes = []
        self._left_in_round = self.max_left_per_round = 0

    @property
    def mean_wait_ms(self):
        return sum(self.waits_ms) / len(self.waits_ms)

    def left_fraction(self, zone):
        return self.left[zone] / self.sent[zone]

    def run(self, duration_ms, **needs):
        """Sends requests; `needs` are the endpoints that they fill by zone."""
        self.reset()
        for _ in range(round(duration_ms / STEP_MS)):
            if self._steps % self._gossip_steps == 0:
                self._gossip()
            self._steps += 1
            for id_ in self._queues:
                self._serve(id_)
            for zone, endpoints in needs.items():
                rate = endpoints * SLOTS / SERVICE_MS
                self._due[zone] += self._rng.expovariate(1.0) * rate * STEP_MS
                while self._due[zone] >= 1.0:
                    self._due[zone] -= 1.0
                    self._send(zone)
            self.clock.advance(STEP_MS)

    def _gossip(self):
        own = [vm.loads() for vm in self.vms]
        totals = {}
        for loads in own:
            load_messages.add_loads(totals, loads)
        self._reports.append((own, totals))
        if len(self._reports) > 2:
            self._reports.popleft()
        old, totals = self._reports[0]
        for vm, loads in zip(self.vms, old, strict=True):
            others = {id_: totals[id_] - loads[id_] for id_ in loads}
            vm.peers.record("hub", others)
        self._left_in_round = 0

    def _send(self, zone):
        vm = self._rng.choice([vm for vm in self.vms if vm.zone == zone])
        body = b"x" * self._rng.choice(self._sizes)
        choice = vm.chooser.choose(fakes.request(body=body), ())
        attempt = fleet.InFlightAttempt(
            choice.state, choice.expected_response_ms, 0.0
        )
        self.sent[zone] += 1
        link_ms = 0.0
        if choice.state.endpoint.availability_zone != zone:
            link_ms = 2.0 * self._link_ms
            self.left[zone] += 1
            self.sizes.append(len(body))
            self._left_in_round += 1
            self.max_left_per_round = max(
                self.max_left_per_round, self._left_in_round
            )
        arrival_ms = self.clock.now() + link_ms
        self._queues[choice.state.id].append((arrival_ms, link_ms, attempt))

    def _serve(self, id_):
        now_ms = self.clock.now()
        running, queue = self._running[id_], self._queues[id_]
        for entry in [entry for entry in running if entry[0] <= now_ms]:
            running.remove(entry)
            entry[1].record_response()
            entry[1].end()
        while queue and len(running) < SLOTS:
            arrival_ms, link_ms, attempt = queue.popleft()
            wait_ms = max(0.0, now_ms - arrival_ms)
            self.waits_ms.append(wait_ms + link_ms)
            took_ms = SERVICE_MS * self._rng.uniform(0.7, 1.3)
            running.append((max(now_ms, arrival_ms) + took_ms, attempt))
