"""Removal of endpoints on a VM that alone could not reach the store."""

import itertools

import gevent

from tests import nodes
from tests import store_standin
from tests.soak import proxies

HOSTS = ("127.0.0.5", "127.0.0.6")
# By the platform's rule, an endpoint that has left gets no request after this.
DRAIN_S = 2.0
LOST_S = 0.5
HEARTBEAT_S = nodes.HEARTBEAT_MS / 1_000
# Time in which a VM that has started learns that entries come regularly.
STEADY_S = 4.0


class RemovalTest(nodes.NodeTestCase):
    def start_vms(self):
        """Starts two VMs; the second one reaches the store through a proxy."""
        control, peer_port = nodes.free_port(), nodes.free_port()
        seeds = tuple(nodes.settings.Address(h, control) for h in HOSTS)
        self.proxy = proxies.Proxy((nodes.HOST, self.store.port))
        self.addCleanup(self.proxy.stop)
        return [
            self.start_ready_node(
                host=host,
                control=nodes.settings.Address(host, control),
                seeds=seeds,
                peer_port=peer_port,
                store=nodes.settings.Address(nodes.HOST, port),
            )
            for host, port in zip(
                HOSTS, (self.store.port, self.proxy.port), strict=True
            )
        ]

    def beat(self, endpoint):
        """Writes an endpoint's entry at intervals, as endpoints do."""
        for sequence in itertools.count(2):
            gevent.sleep(HEARTBEAT_S)
            self.store.put_endpoint(
                endpoint.id,
                nodes.endpoint_record(
                    nodes.PLAIN_SERVICE, endpoint.address, sequence=sequence
                ),
            )

    # Guards against DRAIN: a VM that alone could not reach the store taking the
    # removal of an endpoint for one by the store's outage, and waiting 2 s.
    def test_removal_is_in_force_in_time_if_a_peer_read_the_store(self):
        endpoint = self.start_endpoint(nodes.PLAIN_SERVICE, None)
        _, vm = self.start_vms()
        beats = gevent.spawn(self.beat, endpoint)
        self.addCleanup(beats.kill)
        gevent.sleep(STEADY_S)
        self.assertIn(endpoint.id, vm.catalog.endpoints)
        self.proxy.refuses = True
        self.proxy.reset()
        store_standin.wait_until(
            lambda: all(follower.source_lost for follower in vm._followers)
        )
        gevent.sleep(LOST_S)
        self.proxy.refuses = False
        beats.kill()
        self.store.put_endpoint(endpoint.id, None)
        gevent.sleep(DRAIN_S)
        self.assertNotIn(endpoint.id, vm.catalog.endpoints)
