"""Configuration catch-up over gRPC in spite of dead and faulty peers."""

import grpc
import testtools

from hornbeampier import clock
from hornbeampier.coordination import records
from hornbeampier.operators import configuration_log
from hornbeampier.vms import catch_up
from tests import configurations

HOST = "127.0.0.1"


class CatchUpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = catch_up.CatchUpClient("own", clock.SystemClock())

    def serve(self, response):
        server = catch_up.CatchUpServer(HOST, 0, lambda: response)
        server.start()
        self.addCleanup(server.stop)
        return server.port

    def set_peers(self, ports):
        self.client.apply_vm_list(
            tuple(
                records.ListedVm(f"vm-{i}", "z", HOST, catch_up_port=port)
                for i, port in enumerate(ports)
            )
        )

    def test_malformed_responses_are_skipped(self):
        snapshot = configuration_log.ConfigurationRecord(
            configuration_log.RecordKind.SNAPSHOT,
            "p",
            configurations.TEXT,
            -1,
            3,
            4,
        )
        ports = [
            self.serve(response)
            for response in (snapshot, {"not": "a record"}, None)
        ]
        self.set_peers([1, *ports])
        snapshots = [fetched for _ in ports for fetched in self.client.fetch()]
        self.assertEqual({snapshot}, set(snapshots))

    def test_every_channel_is_closed(self):
        channels = []

        class TrackedChannel:
            def __init__(self, address):
                self.channel = insecure_channel(address)
                self.closed = False
                channels.append(self)

            def __enter__(self):
                return self.channel.__enter__()

            def __exit__(self, *exc_info):
                self.closed = True
                return self.channel.__exit__(*exc_info)

        insecure_channel = grpc.insecure_channel
        self.patch(grpc, "insecure_channel", TrackedChannel)
        self.set_peers([1, self.serve(None), self.serve({"not": "a record"})])
        self.client.fetch()
        self.assertEqual([True] * 3, [c.closed for c in channels])

    def test_dead_peers_do_not_block_the_others(self):
        contacted_peers = []
        self.patch(
            self.client,
            "_fetch_from",
            lambda peer: contacted_peers.append(peer.name),
        )
        self.set_peers(range(1, 10))
        for _ in range(3):
            self.client.fetch()
        self.assertEqual({f"vm-{i}" for i in range(9)}, set(contacted_peers))

    def test_peer_with_a_newer_version_is_in_every_fetch(self):
        contacted_peers = []
        self.patch(
            self.client,
            "_fetch_from",
            lambda peer: contacted_peers.append(peer.name),
        )
        self.set_peers(range(1, 10))
        self.client.prefer_peer("vm-7")
        for _ in range(3):
            self.client.fetch()
        self.assertEqual(3, contacted_peers.count("vm-7"))
