"""A VM notices that its records may be old, and asks who has newer ones."""

import random

import gevent
from gevent import event
import testtools

from hornbeampier import clock as clocks
from hornbeampier.platform import settings
from hornbeampier.replication import catch_up
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import relay
from hornbeampier.replication import replica
from tests import nodes
from tests import store_standin
from tests import test_replication as replication

TOPIC = "keyed.servers"
OTHER_TOPIC = "keyed.op"
SILENT_HOST = "10.0.0.2"
SOUND_HOST = "10.0.0.3"
# A call that is not answered lasts longer than any test.
ENDLESS_MS = 60_000.0


class SilentSourceTest(testtools.TestCase):
    """One peer accepts calls and never answers; others have the records."""

    def setUp(self):
        super().setUp()
        self.replicas = {
            topic: replica.TopicReplica(topic, replication.RecordingApplier())
            for topic in (TOPIC, OTHER_TOPIC)
        }
        self.task = catch_up.CatchUp(
            self.replicas,
            1,
            lambda: False,
            clocks.SystemClock(),
            random.Random(1),
        )
        self.asked = []
        self.is_asked = event.Event()
        self.patch(relay, "fetch", self.fetch)
        self.addCleanup(self.task.stop)

    def fetch(self, host, port, topic, position, clock):
        del port, position, clock
        self.asked.append((host, topic))
        self.is_asked.set()
        if host == SILENT_HOST:
            gevent.sleep(ENDLESS_MS / clocks.MS_PER_SECOND)
        return messages.Batch((messages.Record("e1", b"v", 2),), 3)

    def report(self, host, topic):
        self.task.record_peer(host, {topic: positions.Position(0, 3)})

    def start(self):
        """Starts the task; it has asked the silent peer on return."""
        self.report(SILENT_HOST, TOPIC)
        self.task.start()
        self.assertTrue(self.is_asked.wait(5.0))

    # Guards against DRAIN: a VM that stands by hears nothing of an endpoint
    # that leaves while the first peer that it asked stands still.
    def test_silent_peer_does_not_keep_records_of_others_away(self):
        self.start()
        self.report(SOUND_HOST, TOPIC)
        store_standin.wait_until(lambda: self.replicas[TOPIC].offset == 3)

    # Guards against DRAIN: entries of endpoints wait for the configuration, as
    # one task fetches both.
    def test_silent_peer_of_one_topic_does_not_hold_up_another(self):
        self.start()
        self.report(SOUND_HOST, OTHER_TOPIC)
        store_standin.wait_until(lambda: self.replicas[OTHER_TOPIC].offset == 3)

    # Guards against a peer with a slow link that gets the same call over and
    # over.
    def test_silent_peer_is_asked_once_at_a_time(self):
        self.start()
        gevent.sleep(1.0)
        self.assertEqual([(SILENT_HOST, TOPIC)], self.asked)


class UnreadStoreTest(nodes.NodeTestCase):
    """The calls on which a node relies bring it nothing."""

    def setUp(self):
        super().setUp()
        self.endpoint = self.start_endpoint(nodes.PLAIN_SERVICE, lambda r: None)
        peer = settings.Address("127.0.0.2", nodes.free_port())
        self.router = self.start_ready_node(
            control=settings.Address(nodes.HOST, peer.port),
            seeds=(peer,),
            peer_port=nodes.free_port(),
            origin_port=nodes.free_port(),
        )
        store_standin.wait_until(self.router._reads_store)

    def leave(self):
        self.store.put_endpoint(
            self.endpoint.id,
            nodes.endpoint_record(
                nodes.PLAIN_SERVICE,
                self.endpoint.address,
                state="draining",
                sequence=2,
            ),
        )

    def wait_left(self):
        def has_left():
            endpoint = self.router.catalog.endpoints.get(self.endpoint.id)
            return endpoint is None or endpoint.leaving

        store_standin.wait_until(has_left)

    # Guards against DRAIN: all readers of the store are gone or stand still,
    # and the VMs that stand by count on them.
    def test_vm_that_stands_by_asks_the_store_if_nobody_tells_it_anything(self):
        for topic_follower in self.router._followers:
            topic_follower._should_read = lambda: False
        store_standin.wait_until(lambda: not self.router._reads_store())
        self.leave()
        self.wait_left()

    # Guards against DRAIN: after most VMs were killed, the readers that are
    # left poll as seldom as all of them did together.
    def test_readers_that_are_gone_do_not_make_polls_rare(self):
        hosts = [f"10.0.0.{number}" for number in range(9)]
        self.patch(self.router._vms.membership, "live", lambda: hosts)
        self.assertEqual(1, self.router._count_readers())
        self.router._store_readers.record_peer(hosts[0], True)
        self.assertEqual(2, self.router._count_readers())

    # Guards against DRAIN: the store does not wake the calls that wait there.
    def test_call_that_is_not_woken_does_not_keep_records_away(self):
        self.patch(
            type(self.router._followers[0]),
            "_poll_wait_ms",
            lambda follower: ENDLESS_MS,
        )
        # The next calls wait for long.
        self.store.put_endpoint("other", None)
        gevent.sleep(1.0)
        self.store.wakes = False
        self.leave()
        self.wait_left()
