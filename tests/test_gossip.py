"""Gossip: each change reaches all peers soon, in few and small datagrams."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import gossip
from hornbeampier.peers import groups
from hornbeampier.peers import hub_rounds
from hornbeampier.peers import hub_states
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange
from hornbeampier.replication import currency
from hornbeampier.replication import positions
from hornbeampier.replication import store_readers
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill
from tests import routing_fakes as fakes

VMS = 68
# For datagrams to `VMS - 1` peers in bursts of `gossip.BURST_SIZE`.
BURSTS_PER_ROUND = 14
ROUND_MS = BURSTS_PER_ROUND * gossip.BURST_INTERVAL_MS


EMPTY_MESSAGE = messages.StateMessage("vm-1", 1, 1, True, False, {}, {})


class Replica:
    def __init__(self, offset):
        self.position = self.changed = positions.Position(0, offset)
        self.currency = currency.Currency()


class IdleComponent:
    """Stands in for components that have no state to gossip."""

    def own_workload(self):
        return {}

    def own_pool_sizes(self):
        return {}

    def take_pending(self):
        return []

    def to_gossip(self):
        return []

    def cleared_to_gossip(self):
        return []

    def blocks_to_gossip(self):
        return []

    def record_peer(self, *args):
        pass


class FakeTransport:
    """Keeps datagrams instead of sending them."""

    def __init__(self):
        self.sent = []

    def send(self, host, data):
        self.sent.append((host, messages.decode(data), len(data)))


class GossipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.routing = fakes.RoutingFixture(4)
        self.clock = self.routing.clock
        hosts = [f"10.0.0.{number}" for number in range(2, VMS + 1)]
        self.members = membership.Membership("10.0.0.1", hosts, self.clock)
        for host in hosts:
            self.members.record_received(host)
        self.hosts = self.members.live()
        idle = IdleComponent()
        shared = state_exchange.SharedComponents(
            replicas={"topic": Replica(5)},
            fleet=self.routing.fleet,
            peer_loads=self.routing.peers,
            pools=idle,
            placements=idle,
            announcements=self.routing.announcements,
            crashes=idle,
            prefill_meter=prefill.PrefillMeter(self.clock),
            catch_up=idle,
            store_readers=store_readers.StoreReaders("10.0.0.1", self.clock),
        )
        sender = state_exchange.Sender("vm-1", 1, "10.0.0.1", 0)
        group = groups.Group(self.clock)
        self.exchange = state_exchange.StateExchange(
            sender, shared, self.members, group, lambda: True, self.clock
        )
        states = hub_states.HubStates(
            sender, shared, self.members, group, self.exchange, lambda: True
        )
        rounds = hub_rounds.HubRounds(
            sender, self.members, group, self.exchange, states, self.clock
        )
        self.transport = FakeTransport()
        self.gossip = gossip.Gossip(
            self.transport, self.members, self.exchange, rounds, self.clock
        )

    def run_round(self):
        self.transport.sent.clear()
        bursts = self.gossip._make_round(self.hosts)
        self.bursts = [len(burst) for burst in bursts]
        self.gossip._send_round(bursts)
        return self.transport.sent

    def settle(self):
        for _ in range(20):
            self.run_round()

    def test_new_load_reaches_all_peers_in_the_next_round(self):
        self.settle()
        fleet.InFlightAttempt(self.routing.states[0], None, 4_000.0)
        sent = self.run_round()
        self.assertEqual(set(self.hosts), {host for host, _, _ in sent})
        for _, message, _ in sent:
            self.assertEqual(4_000, message.loads["e0"].prefill_tokens)

    def test_full_states_do_not_go_to_all_peers_at_once(self):
        self.settle()
        for _ in range(10):
            sent = self.run_round()
            # `MAX_FULL_STATES_PER_S` for `ROUND_MS`. More would fill a slow
            # link and delay the streams on it.
            full = [message for _, message, _ in sent if not message.is_delta]
            self.assertLessEqual(len(full), 7)

    def test_round_is_sent_in_small_bursts(self):
        self.settle()
        fleet.InFlightAttempt(self.routing.states[0], None, 4_000.0)
        self.run_round()
        self.assertEqual(BURSTS_PER_ROUND, len(self.bursts))
        self.assertLessEqual(max(self.bursts), gossip.BURST_SIZE)

    # Guards against waking up 40 times a second to send nothing.
    def test_vm_does_not_wake_up_for_empty_bursts(self):
        pauses_ms = []
        sleep = self.clock.sleep
        self.patch(
            self.clock, "sleep", lambda ms: (pauses_ms.append(ms), sleep(ms))
        )
        datagram = hub_rounds.Datagram(
            self.hosts[0], messages.encode(EMPTY_MESSAGE)
        )
        self.gossip._send_round([[], [datagram], [], [], [datagram]])
        self.assertEqual([25.0, 75.0, 25.0], pauses_ms)
        pauses_ms.clear()
        self.gossip._send_round([[]] * 10)
        self.assertEqual([250.0], pauses_ms)

    def test_every_peer_gets_the_full_state_within_ten_rounds(self):
        self.settle()
        reached = set()
        for _ in range(10):
            reached |= {h for h, m, _ in self.run_round() if not m.is_delta}
        self.assertEqual(set(self.hosts), reached)

    def test_idle_vm_sends_heartbeats(self):
        self.settle()
        reached = set()
        # Four rounds last 1.4 s; `gossip.HEARTBEAT_MS` is one second.
        for _ in range(4):
            reached |= {host for host, _, _ in self.run_round()}
        self.assertEqual(set(self.hosts), reached)

    def test_delta_of_one_load_is_small(self):
        self.settle()
        fleet.InFlightAttempt(self.routing.states[0], None, 4_000.0)
        sizes = [size for _, m, size in self.run_round() if m.is_delta]
        self.assertLess(max(sizes), 100)

    def test_small_segments_are_not_gossiped(self):
        state = self.routing.states[0]
        prompt = fakes.prompt(14_000, ("large", 9_000), ("small", 300))
        gossiped = [segment.id for segment in state.prefix_cache.record(prompt)]
        self.assertEqual(["large"], gossiped)

    def test_idle_vm_sends_few_datagrams(self):
        self.settle()
        sent = sum(len(self.run_round()) for _ in range(20))
        seconds = 20 * ROUND_MS / 1_000.0
        max_per_s = gossip.MAX_FULL_STATES_PER_S + VMS
        self.assertLessEqual(sent, max_per_s * seconds)

    def test_end_of_a_request_is_gossiped(self):
        attempt = fleet.InFlightAttempt(self.routing.states[0], None, 4_000.0)
        self.settle()
        attempt.end()
        deltas = [m for _, m, _ in self.run_round() if m.is_delta]
        self.assertEqual(0, deltas[0].loads["e0"].in_flight)


class PeerLoadsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.peers = peer_loads.PeerLoads(self.clock)

    def test_delta_replaces_only_the_changed_loads(self):
        self.peers.record("a", {"e0": load(1, 100), "e1": load(2, 200)})
        self.peers.update("a", {"e0": load(3, 300)})
        self.assertEqual(3, self.peers.total("e0").in_flight)
        self.assertEqual(200, self.peers.total("e1").prefill_tokens)

    def test_full_state_makes_up_for_a_lost_delta(self):
        self.peers.record("a", {"e0": load(1, 100), "e1": load(2, 200)})
        self.peers.record("a", {"e1": load(2, 200)})
        self.assertEqual(peer_loads.NO_LOAD, self.peers.total("e0"))

    def test_total_sums_the_loads_of_all_peers(self):
        for number in range(5):
            self.peers.record(f"vm-{number}", {"e0": load(1, 100)})
        self.assertEqual(500, self.peers.total("e0").prefill_tokens)

    def test_sums_are_the_same_for_one_peer_and_for_several(self):
        self.peers.record("hub", {"e0": load(3, 0), "e1": load(1, 0)})
        self.peers.record("hub", {"e0": load(2, 0), "e2": peer_loads.NO_LOAD})
        self.assertEqual({"e0": load(2, 0)}, self.peers.totals())
        self.peers.record("other", {"e0": load(4, 0)})
        self.peers.record("hub", {"e1": load(5, 0)})
        self.assertEqual(
            {"e0": load(4, 0), "e1": load(5, 0)}, self.peers.totals()
        )
        self.peers.keep_only({"hub"})
        self.assertEqual({"e1": load(5, 0)}, self.peers.totals())

    def test_load_of_a_silent_peer_expires(self):
        self.peers.record("a", {"e0": load(1, 100)})
        self.clock.advance(
            peer_loads.PEER_TIMEOUT_MS + peer_loads.SWEEP_INTERVAL_MS
        )
        self.peers.record("b", {"e0": load(1, 100)})
        self.assertEqual(1, self.peers.total("e0").in_flight)


def load(in_flight, tokens):
    return peer_loads.Load(in_flight, tokens, latency.LatencySums())
