"""Which VMs read the store."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.replication import store_readers
from hornbeampier.routing import route_table


def _rank(host):
    return route_table.uniform_hash(f"reader/{host}")


class StoreReadersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.hosts = [f"10.0.0.{number}" for number in range(1, 91)]
        self.store_readers = {
            host: store_readers.StoreReaders(host, self.clock)
            for host in self.hosts
        }

    def report(self, reader_hosts, silent_hosts=()):
        """Lets every VM report to every other whether it reads the store."""
        for host in self.hosts:
            for peer in self.hosts:
                if peer != host and peer not in silent_hosts:
                    self.store_readers[host].record_peer(
                        peer, peer in reader_hosts
                    )

    def should_read_hosts(self):
        return {h for h, r in self.store_readers.items() if r.should_read()}

    def settle(self, hosts_without_store=(), silent_hosts=()):
        """Returns the store readers once rounds of reports change them no more.

        Args:
            hosts_without_store: Hosts that cannot reach the store.
            silent_hosts: Hosts whose reports are lost.
        """
        reader_hosts = set(self.hosts)
        for _ in range(len(self.hosts)):
            self.clock.advance(500.0)
            self.report(reader_hosts - set(hosts_without_store), silent_hosts)
            if self.should_read_hosts() == reader_hosts:
                break
            reader_hosts = self.should_read_hosts()
        return reader_hosts - set(hosts_without_store)

    def test_only_a_few_of_many_vms_read(self):
        self.assertEqual(store_readers.READER_COUNT, len(self.settle()))

    def test_readers_without_access_to_the_store_are_replaced(self):
        hosts_without_store = set(self.settle())
        reader_hosts = self.settle(hosts_without_store=hosts_without_store)
        self.assertEqual(store_readers.READER_COUNT, len(reader_hosts))
        self.assertFalse(reader_hosts & hosts_without_store)

    def test_silent_readers_are_replaced(self):
        silent_hosts = self.settle()
        self.clock.advance(store_readers.PEER_TIMEOUT_MS + 1)
        reader_hosts = self.settle(silent_hosts=silent_hosts) - silent_hosts
        self.assertEqual(store_readers.READER_COUNT, len(reader_hosts))

    def test_vms_that_start_together_do_not_all_read(self):
        """Their reports have not arrived, but they know each other."""
        for readers in self.store_readers.values():
            readers.record_members(self.hosts)
        self.assertLessEqual(
            len(self.should_read_hosts()), store_readers.READER_COUNT + 1
        )

    def test_vm_that_starts_among_others_waits_to_hear_them(self):
        readers = store_readers.StoreReaders(
            "10.0.0.1", self.clock, expects_peers=True
        )
        self.assertFalse(readers.should_read())
        self.clock.advance(store_readers.SETTLE_MS)
        self.assertTrue(readers.should_read())

    # Guards against all VMs fetching the log of registrations at once.
    def test_few_vms_read_the_log_before_they_have_settled(self):
        hosts = [f"10.0.0.{number}" for number in range(84)]
        early = [
            host
            for host in hosts
            if store_readers.reads_at_start(host, hosts[:9])
        ]
        self.assertEqual(store_readers.READER_COUNT, len(early))
        self.assertLessEqual(set(early), set(hosts[:9]))

    def test_members_that_never_read_are_not_waited_for(self):
        readers = self.store_readers[max(self.hosts, key=_rank)]
        readers.record_members(self.hosts)
        self.assertFalse(readers.should_read())
        self.clock.advance(store_readers.ASSUMED_MS)
        readers.record_members(self.hosts)
        self.assertTrue(readers.should_read())

    def test_members_that_report_not_to_read_are_not_waited_for(self):
        readers = self.store_readers[max(self.hosts, key=_rank)]
        readers.record_members(self.hosts)
        for host in self.hosts:
            readers.record_peer(host, False)
        self.assertTrue(readers.should_read())

    def test_vm_without_live_peers_reads(self):
        self.settle()
        self.clock.advance(store_readers.PEER_TIMEOUT_MS + 1)
        self.assertEqual(set(self.hosts), self.should_read_hosts())
