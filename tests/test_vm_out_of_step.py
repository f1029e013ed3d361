"""Streams that are taken up at a VM that is out of step for a few seconds.

Its calls to the store hang, and it hears no other VM, or only VMs that are as
far behind, while endpoints of a new software version join.
"""

import gevent

from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.routing import stream_origins
from tests import nodes
from tests import store_standin
from tests import test_stream_versions as stream_versions
from tests.soak import proxies

HOSTS = stream_versions.HOSTS


class OutOfStepTestCase(stream_versions.CallerTestCase):
    """VMs of which some are cut off from the store and from the others."""

    def setUp(self):
        super().setUp()
        self.proxies = []

    def start_group(self, hosts, cfg=None):
        """Starts VMs that hear each other, but no VM of another group.

        Each reaches the store through a proxy of its own.
        """
        control, peer_port, origin_port = (nodes.free_port() for _ in range(3))
        seeds = tuple(settings.Address(host, control) for host in HOSTS)
        return [
            self.start_ready_node(
                cfg or self.configuration(),
                host=host,
                control=settings.Address(host, control),
                seeds=seeds,
                peer_port=peer_port,
                origin_port=origin_port,
                store=settings.Address(nodes.HOST, self.start_proxy().port),
            )
            for host in hosts
        ]

    def start_proxy(self):
        proxy = proxies.Proxy((nodes.HOST, self.store.port))
        self.addCleanup(proxy.stop)
        self.proxies.append(proxy)
        return proxy

    def cut_off(self, first, count):
        """The store's responses to some VMs are lost from now on."""
        for proxy in self.proxies[first : first + count]:
            proxy.cut = {proxies.Direction.BACK}

    def restore(self):
        """The VMs reach the store again."""
        for proxy in self.proxies:
            proxy.cut = set()
            proxy.reset()

    def replace_engines(self, router):
        """Engines of v2 join and those of v1 leave, of which `router` hears."""
        old = list(self.engines.ids())
        self.engines.start("v2")
        for engine_id in old:
            self.store.put_endpoint(engine_id, None)
        store_standin.wait_until(
            lambda: (
                {e.software_version for e in router.catalog.endpoints.values()}
                == {"v2"}
            )
        )


class NewVersionTest(OutOfStepTestCase):
    def begin_at_new_version(self, group):
        """A stream begins at v2, of which the VMs of `group` have not heard."""
        self.engines.start("v1")
        (first,) = self.start_group(HOSTS[:1])
        others = self.start_group(group)
        self.cut_off(1, len(others))
        # No call to the store that began before is still open.
        self.replace_engines(first)
        self.begin(first, "a0")
        self.assertEqual(["v2"], self.engines.versions("a0"))
        return others

    def known_versions(self, router):
        return {origin.version for origin in router._origins._history.ages()}

    def assert_not_joined(self, router):
        response = self.take_up(router, "b0", "a0")
        self.assertNotIn("v1", self.engines.versions("b0"))
        self.assert_refused("stream_origin_unknown", response, "b0")
        self.assertIn("retry-after", response.headers)

    # Guards against a stream of v2 that goes on at v1: the VM's calls to the
    # store hang, and it hears no other VM.
    def test_vm_whose_calls_to_the_store_hang_joins_no_stream(self):
        (router,) = self.begin_at_new_version(HOSTS[1:2])
        self.assert_not_joined(router)

    # Guards against a reply taken for news from a VM that is as far behind.
    def test_reply_of_a_vm_that_is_as_far_behind_proves_nothing(self):
        router, _ = self.begin_at_new_version(HOSTS[1:])
        self.assert_not_joined(router)

    # Guards against a stream of v2 that goes on at v1: the VM has not read the
    # newer entries yet, as it was stopped or the store did not wake its call.
    def test_vm_that_reaches_the_store_reads_it_before_it_decides(self):
        (router,) = self.begin_at_new_version(HOSTS[1:2])
        for proxy in self.proxies:
            proxy.cut = set()
        response = self.take_up(router, "b0", "a0")
        self.assertNotIn("v1", self.engines.versions("b0"))
        self.assert_refused("stream_origin_unknown", response, "b0")
        self.assertEqual({"v1", "v2"}, self.known_versions(router))

    # Guards against a VM that stays out of step once the store answers.
    def test_vm_takes_streams_up_again_when_the_store_answers(self):
        self.engines.start("v1")
        (router,) = self.start_group(HOSTS[1:2])
        self.cut_off(0, 1)
        response = self.take_up(router, "b0", "a0")
        self.assert_refused("stream_origin_unknown", response, "b0")
        self.restore()
        store_standin.wait_until(
            lambda: self.take_up(router, "b1", "a0").status == 200
        )


class MovedRouteTest(OutOfStepTestCase):
    # Guards against a stream that goes on at another service: the VM has not
    # heard that its route moved.
    def test_vm_that_has_not_heard_of_a_moved_route_joins_no_stream(self):
        self.engines.start("of-one")
        self.engines.start("of-other", service=stream_versions.OTHER_SERVICE)
        (first,) = self.start_group(HOSTS[:1])
        (router,) = self.start_group(HOSTS[1:2])
        self.cut_off(1, 1)
        self.store.put_configuration(
            self.configuration(2, service=stream_versions.OTHER_SERVICE)
        )
        store_standin.wait_until(lambda: first.catalog.version == 2)
        self.begin(first, "a0")
        self.assertEqual(["of-other"], self.engines.versions("a0"))
        for proxy in self.proxies:
            proxy.cut = set()
        response = self.take_up(router, "b0", "a0")
        self.assert_refused("stream_origin_unknown", response, "b0")


class StoreAwayTest(OutOfStepTestCase):
    # Guards against streams that are refused as long as the store is away,
    # although VMs that are left could know where they began.
    def test_streams_of_a_killed_vm_go_on_while_the_store_is_silent(self):
        self.engines.start("v1", stream_versions.STREAMS + 1)
        first, second, third = self.start_group(HOSTS)
        self.begin(first, "a0")
        self.cut_off(0, len(HOSTS))
        store_standin.wait_until(lambda: "a0" in self.recorded(second, ["a0"]))
        later = [f"a{n}" for n in range(1, stream_versions.STREAMS)]
        for request_id in later:
            self.begin(first, request_id)
        store_standin.wait_until(
            lambda: len(self.recorded(third, later)) == len(later)
        )
        first.stop()
        for number in range(stream_versions.STREAMS):
            response = self.take_up(second, f"b{number}", f"a{number}")
            self.assertEqual(200, response.status, response.body)

    def recorded(self, router, request_ids):
        """Returns those streams of which a VM has a record."""
        origins = router._origins._streams
        return [
            request_id
            for request_id in request_ids
            if origins.find(stream_origins.digest_id(request_id))
        ]


class CalmTest(OutOfStepTestCase):
    # Guards against streams that are refused although one version serves, and
    # against a read of the store for each of them.
    def test_streams_that_are_taken_up_together_share_reads_of_the_store(self):
        self.engines.start("v1", count=20)
        (router, *_) = self.start_group(HOSTS)
        before = self.count_reads()
        count = 40
        calls = [
            gevent.spawn(self.take_up, router, f"b{number}", f"a{number}")
            for number in range(count)
        ]
        gevent.joinall(calls, raise_error=True)
        self.assertEqual([200] * count, [call.value.status for call in calls])
        self.assertLess(self.count_reads() - before, count)

    def count_reads(self):
        return sum(path == "/log-read" for path, _ in self.store.calls)


class UnseenEntryTest(OutOfStepTestCase):
    """An engine joins and leaves between two batches that a VM gets."""

    # Guards against streams of two versions joined: a VM that gets records from
    # its peers gets the removal of an entry, and never the entry itself.
    def test_version_that_joined_and_left_unseen_is_not_ruled_out(self):
        self.engines.start("v1")
        (first,) = self.start_group(HOSTS[:1])
        (second,) = self.start_group(HOSTS[1:2])
        store_standin.wait_until(second._origins._history.is_proved)
        for follower in second._followers:
            follower.stop()
        count = len(first.catalog.endpoints)
        self.engines.start("v2", 1)
        self.wait_for_engines(count + 1, first)
        self.engines.stop(list(self.engines.ids())[-1])
        self.wait_for_engines(count, first)
        self.fetch(first, second)
        response = self.take_up(second, "b0", "a0")
        self.assert_refused("stream_origin_unknown", response, "b0")

    # Guards against streams that are refused whenever an engine leaves.
    def test_removal_of_a_known_entry_hides_nothing(self):
        self.engines.start("v1")
        (first,) = self.start_group(HOSTS[:1])
        (second,) = self.start_group(HOSTS[1:2])
        store_standin.wait_until(second._origins._history.is_proved)
        for follower in second._followers:
            follower.stop()
        count = len(first.catalog.endpoints)
        for engine_id in list(self.engines.ids())[:1]:
            self.engines.stop(engine_id)
        self.wait_for_engines(count - 1, first)
        self.fetch(first, second)
        response = self.take_up(second, "b0", "a0")
        self.assertEqual(200, response.status, response.body)

    def fetch(self, source, target):
        """`target` gets what it lacks, as from a peer."""
        topic = names.ENDPOINT_TOPIC
        own = target._replicas[topic]
        theirs = source._replicas[topic]
        own.apply_batch(theirs.records_since(own.position))
