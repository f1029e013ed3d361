"""Gossip: each change reaches all peers soon, in few and small datagrams."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import gossip
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import state_exchange
from hornbeampier.replication import store_readers
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import prefill
from tests import routing_fakes as fakes

VMS = 68
GROUPS = 14
ROUND_MS = GROUPS * gossip.BURST_INTERVAL_MS


class Replica:
    def __init__(self, offset):
        self.offset = offset


class Nothing:
    """Stands in for components that have no state to gossip."""

    def own_workload(self):
        return {}

    def own_pool_sizes(self):
        return {}

    def take(self):
        return []

    def recent(self):
        return []

    def record_peer(self, *told):
        pass

    def note_peer(self, *told):
        pass


class Wire:
    """A socket that keeps datagrams instead of sending them."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], messages.decode(data), len(data)))


class GossipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.RoutingFixture(4)
        self.clock = self.world.clock
        hosts = [f"10.0.0.{number}" for number in range(2, VMS + 1)]
        self.members = membership.Membership("10.0.0.1", hosts, self.clock)
        for host in hosts:
            self.members.note_heard(host)
        self.hosts = self.members.alive()
        nothing = Nothing()
        shared = state_exchange.SharedState(
            replicas={"topic": Replica(5)},
            fleet=self.world.fleet,
            peer_loads=self.world.peers,
            pools=nothing,
            placements=nothing,
            crashes=nothing,
            prefill_meter=prefill.PrefillMeter(self.clock),
            catch_up=nothing,
            store_readers=store_readers.StoreReaders("10.0.0.1", self.clock),
        )
        self.states = state_exchange.StateExchange(
            "vm-1", 1, shared, lambda: True
        )
        self.gossip = gossip.Gossip(
            "10.0.0.1", 1, self.members, self.states, self.clock
        )
        self.wire = self.gossip._sock = Wire()

    def play_round(self):
        self.wire.sent.clear()
        self.groups = []
        for group in self.gossip._make_round(self.hosts):
            self.gossip._send_group(group)
            self.groups.append(len(group))
            self.clock.advance(gossip.BURST_INTERVAL_MS)
        return self.wire.sent

    def settle(self):
        for _ in range(20):
            self.play_round()

    def test_a_new_load_is_told_to_all_in_the_next_round(self):
        self.settle()
        fleet.InFlightAttempt(self.world.states[0], None, 4_000.0)
        sent = self.play_round()
        self.assertEqual(set(self.hosts), {host for host, _, _ in sent})
        for _, state, _ in sent:
            self.assertEqual(4_000, state.loads["e0"].prefill_tokens)

    def test_whole_states_go_out_in_turn_so_that_a_slow_link_stays_free(self):
        self.settle()
        for _ in range(10):
            sent = self.play_round()
            whole = [state for _, state, _ in sent if not state.is_delta]
            self.assertLessEqual(len(whole), 7)

    def test_round_is_spread_over_time(self):
        self.settle()
        fleet.InFlightAttempt(self.world.states[0], None, 4_000.0)
        self.play_round()
        self.assertEqual(GROUPS, len(self.groups))
        self.assertLessEqual(max(self.groups), gossip.BURST_SIZE)

    def test_every_peer_gets_the_whole_state_in_time(self):
        self.settle()
        told = set()
        for _ in range(10):
            told |= {h for h, s, _ in self.play_round() if not s.is_delta}
        self.assertEqual(set(self.hosts), told)

    def test_idle_vm_is_heard_every_second_or_so(self):
        self.settle()
        heard = set()
        for _ in range(4):
            heard |= {host for host, _, _ in self.play_round()}
        self.assertEqual(set(self.hosts), heard)

    def test_change_of_load_takes_few_bytes(self):
        self.settle()
        fleet.InFlightAttempt(self.world.states[0], None, 4_000.0)
        sizes = [s for _, state, s in self.play_round() if state.is_delta]
        self.assertLess(max(sizes), 100)

    def test_small_parts_are_not_told(self):
        state = self.world.states[0]
        prompt = fakes.prompt(14_000, ("large", 9_000), ("small", 300))
        told = [part.id for part in state.prefix_cache.record(prompt)]
        self.assertEqual(["large"], told)

    def test_nothing_new_sends_few_datagrams(self):
        self.settle()
        sent = sum(len(self.play_round()) for _ in range(20))
        seconds = 20 * ROUND_MS / 1_000.0
        most_per_s = gossip.MAX_WHOLE_PER_S + VMS
        self.assertLessEqual(sent, most_per_s * seconds)

    def test_end_of_a_load_is_told(self):
        load = fleet.InFlightAttempt(self.world.states[0], None, 4_000.0)
        self.settle()
        load.end()
        partial = [s for _, s, _ in self.play_round() if s.is_delta]
        self.assertEqual(0, partial[0].loads["e0"].in_flight)


class PeerLoadsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.peers = peer_loads.PeerLoads(self.clock)

    def test_changed_loads_replace_what_the_peer_told_of_them(self):
        self.peers.record("a", {"e0": load(1, 100), "e1": load(2, 200)})
        self.peers.update("a", {"e0": load(3, 300)})
        self.assertEqual(3, self.peers.total("e0").in_flight)
        self.assertEqual(200, self.peers.total("e1").prefill_tokens)

    def test_whole_state_repairs_a_lost_change(self):
        self.peers.record("a", {"e0": load(1, 100), "e1": load(2, 200)})
        self.peers.record("a", {"e1": load(2, 200)})
        self.assertEqual(peer_loads.NO_LOAD, self.peers.total("e0"))

    def test_loads_of_all_peers_add_up(self):
        for number in range(5):
            self.peers.record(f"vm-{number}", {"e0": load(1, 100)})
        self.assertEqual(500, self.peers.total("e0").prefill_tokens)

    def test_silent_peer_no_longer_counts(self):
        self.peers.record("a", {"e0": load(1, 100)})
        self.clock.advance(peer_loads.PEER_TIMEOUT_MS + peer_loads.SWEEP_MS)
        self.peers.record("b", {"e0": load(1, 100)})
        self.assertEqual(1, self.peers.total("e0").in_flight)
        self.assertEqual(1, self.peers.live_count())
        self.assertEqual(2, self.peers.known_count())


def load(in_flight, tokens):
    return peer_loads.Load(in_flight, tokens, latency.LatencySums())
