"""Many VMs that keep an endpoint's limit together, without a network."""

import random

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import announcements
from hornbeampier.routing import limit_shares
from tests import announcing_endpoint
from tests import gossip_cluster
from tests import routing_fakes as fakes

STEP_MS = 20.0


class SharesTest(testtools.TestCase):
    def shares(self, vm_count, limit_per_s):
        hosts = [f"10.0.0.{number}" for number in range(vm_count)]
        return [
            limit_shares.LimitShares(host, lambda: hosts).share_per_s(
                "e1", limit_per_s
            )
            for host in hosts
        ]

    def test_shares_of_all_vms_add_up_to_the_limit(self):
        for vm_count in (1, 2, 9, 195):
            for limit_per_s in (0.3, 1.0, 1.4, 20.0, 500.0):
                shares = self.shares(vm_count, limit_per_s)
                self.assertAlmostEqual(limit_per_s, sum(shares))

    def test_few_vms_hold_shares_of_a_small_limit(self):
        holders = [share for share in self.shares(195, 1.0) if share]
        self.assertEqual(1 + limit_shares.EXTRA_HOLDERS, len(holders))

    def test_endpoints_have_different_holders(self):
        hosts = [f"10.0.0.{number}" for number in range(30)]
        shares = limit_shares.LimitShares(hosts[0], lambda: hosts)
        held = [shares.share_per_s(f"e{n}", 1.0) > 0.0 for n in range(60)]
        self.assertEqual({True, False}, set(held))


class _Sender:
    """A VM with all traffic that it may send to one endpoint."""

    def __init__(self, host, peers, clock, rng):
        self.host = host
        self.announcements = announcements.Announcements(
            limit_shares.LimitShares(host, peers).share_per_s,
            lambda service, kind: None,
            clock,
            rng,
        )


class LimitTogetherTest(testtools.TestCase):
    """All VMs send as much as they may to an endpoint that names a limit."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.rng = random.Random(7)
        self.endpoint = fakes.endpoint("e1")

    def start(self, vm_count, known_share=1.0):
        """Starts VMs that each know a random part of the others."""
        hosts = [f"10.0.0.{number}" for number in range(vm_count)]

        def known():
            return [h for h in hosts if self.rng.random() < known_share]

        return [_Sender(h, known, self.clock, self.rng) for h in hosts]

    def send(self, vms, target, seconds):
        """Lets each VM send at each step; returns the number of requests."""
        count = 0
        for _ in range(round(seconds * 1_000 / STEP_MS)):
            self.rng.shuffle(vms)
            count += sum(self._send_one(vm, target) for vm in vms)
            self.clock.advance(STEP_MS)
        return count

    def _send_one(self, vm, target):
        if not vm.announcements.take(self.endpoint):
            return False
        target.arrive(vm.host)
        limit = dict(target.announce(vm.host)).get("Server-Limit")
        vm.announcements.record(
            self.endpoint,
            announcements.Announcement(
                limit_per_s=None if limit is None else float(limit)
            ),
            "id",
            self.clock.now(),
        )
        return True

    def target(self, limit_per_s):
        return announcing_endpoint.AnnouncingEndpoint(self.clock, limit_per_s)

    def test_any_number_of_vms_keeps_any_limit(self):
        for vm_count in (1, 9, 40, 195):
            for limit_per_s in (0.2, 1.0, 1.4, 3.7, 25.0):
                target = self.target(limit_per_s)
                sent = self.send(self.start(vm_count), target, 20.0)
                self.assertEqual(0, target.requests_over_limit())
                self.assertGreater(sent, 20.0 * limit_per_s * 0.5)

    def test_vms_that_know_different_members_keep_it(self):
        for limit_per_s in (1.0, 1.4, 3.7):
            target = self.target(limit_per_s)
            self.send(self.start(9, known_share=0.9), target, 20.0)
            self.assertEqual(0, target.requests_over_limit())

    def test_limit_that_changes_with_each_response_is_kept(self):
        target = self.target(2.0)
        vms = self.start(9)
        for _ in range(100):
            target.limit_per_s = self.rng.uniform(0.8, 2.0)
            self.send(vms, target, 0.2)
        self.assertEqual(0, target.requests_over_limit())


class LimitGossipTest(testtools.TestCase):
    """What one VM hears of an endpoint reaches all others."""

    def record(self, vm, **fields):
        endpoint = vm.fleet.get("e1").endpoint
        vm.announcements.record(
            endpoint,
            announcements.Announcement(**fields),
            "id",
            vm.gossip._clock.now(),
        )

    def limited_count(self, cluster):
        return sum(
            vm.announcements.is_limited(vm.fleet.get("e1").endpoint)
            for vm in cluster.vms.values()
        )

    def test_limit_and_its_end_reach_all_vms(self):
        for vm_count, spread_s in ((9, 0.3), (60, 1.5)):
            cluster = gossip_cluster.Cluster(vm_count, 3, random.Random(1))
            cluster.run(8.0)
            vm = cluster.vms[cluster.host(vm_count - 1)]
            self.record(vm, limit_per_s=1.0)
            cluster.run(spread_s)
            self.assertEqual(vm_count, self.limited_count(cluster))
            self.record(vm)
            cluster.run(spread_s)
            self.assertEqual(0, self.limited_count(cluster))

    def test_leaving_reaches_all_vms_in_spite_of_lost_datagrams(self):
        for vm_count in (9, 60):
            cluster = gossip_cluster.Cluster(vm_count, 3, random.Random(1))
            cluster.run(8.0)
            cluster.loss = 0.3
            self.record(cluster.vms[cluster.host(0)], leaving=True)
            cluster.run(4.5)
            serving = [
                len(vm.fleet.serving(fakes.SERVICE))
                for vm in cluster.vms.values()
            ]
            self.assertEqual({gossip_cluster.ENGINES - 1}, set(serving))

    def test_vm_that_missed_the_end_of_a_limit_asks_the_endpoint(self):
        cluster = gossip_cluster.Cluster(9, 3, random.Random(1))
        cluster.run(5.0)
        for vm in cluster.vms.values():
            self.record(vm, limit_per_s=1.0)
        cluster.clock.advance(100_000.0)
        allowed = [
            vm.announcements.take(vm.fleet.get("e1").endpoint)
            for vm in cluster.vms.values()
        ]
        self.assertEqual([True] * 9, allowed)
