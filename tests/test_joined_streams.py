"""Streams that callers take up after all VMs were killed at once."""

import itertools
import time

import gevent

from hornbeampier.platform import names
from tests import nodes
from tests import store_standin
from tests import test_stream_versions as stream_versions

STREAMS = stream_versions.STREAMS
# Longest time for which a stream of these tests lasts.
LONGEST_STREAM_S = nodes.ROUTE_TIMEOUT_MS / 1_000
RETRY_INTERVAL_S = 0.2


class AllVmsKilledTest(stream_versions.CallerTestCase):
    def begin_streams(self):
        """Begins streams at v1, the only version; returns the VMs."""
        self.engines.start("v1")
        vms = self.start_vms()
        self.began_s = time.monotonic()
        for number in range(STREAMS):
            self.begin(vms[number % len(vms)], f"a{number}")
        return vms

    def replace_engines(self):
        """Replaces all engines of v1 by those of v2."""
        old = list(self.engines.ids())
        self.engines.start("v2")
        for engine_id in old:
            self.engines.stop(engine_id)

    def restart_all(self, vms):
        return [self.restart(vm) for vm in vms]

    def kill_all(self, vms):
        for vm in vms:
            vm.stop()

    def take_up_with_retries(self, vms, number):
        """Takes a stream up as a caller that keeps to Retry-After.

        It states the time that it has left of the one it began with.
        """
        attempts = itertools.count()
        while True:
            attempt = next(attempts)
            request_id = f"b{number}-{attempt}"
            vm = vms[(number + attempt) % len(vms)]
            passed_s = time.monotonic() - self.began_s
            remaining_ms = round((LONGEST_STREAM_S - passed_s) * 1_000)
            response = self.take_up(
                vm, request_id, f"a{number}", max(1, remaining_ms)
            )
            may_retry = "retry-after" in response.headers and remaining_ms > 0
            if response.status == 200 or not may_retry:
                return response, request_id
            gevent.sleep(RETRY_INTERVAL_S)

    def assert_none_joined(self, vms):
        joined = []
        for number in range(STREAMS):
            response, request_id = self.take_up_with_retries(vms, number)
            if response.status == 200:
                joined.append(self.engines.versions(request_id))
                continue
            self.assert_refused("stream_origin_unknown", response, request_id)
        self.assertEqual([], joined)

    # Guards against streams of v1 that go on at v2, as no VM is left that knows
    # that v1 has served.
    def test_no_stream_is_joined_if_engines_were_replaced_just_before(self):
        vms = self.begin_streams()
        self.replace_engines()
        self.wait_for_engines(stream_versions.ENGINES_PER_VERSION, *vms)
        self.kill_all(vms)
        self.assert_none_joined(self.restart_all(vms))

    # Guards against streams of v1 that go on at v2, as v1 is no longer
    # registered when the VMs start.
    def test_no_stream_is_joined_if_engines_are_replaced_just_after(self):
        vms = self.begin_streams()
        self.kill_all(vms)
        self.replace_engines()
        self.assert_none_joined(self.restart_all(vms))

    # Guards against a store without old records being taken for proof that none
    # existed.
    def test_no_stream_is_joined_if_history_is_deleted_as_well(self):
        vms = self.begin_streams()
        self.kill_all(vms)
        self.replace_engines()
        self.store.compact(names.ENDPOINT_TOPIC)
        self.assert_none_joined(self.restart_all(vms))

    # Guards against streams that are refused although the log proves where they
    # began.
    def test_streams_go_on_if_history_shows_that_one_version_served(self):
        vms = self.begin_streams()
        self.kill_all(vms)
        vms = self.restart_all(vms)
        for number in range(STREAMS):
            response, _ = self.take_up_with_retries(vms, number)
            self.assertEqual(200, response.status, response.body)

    # The log begins with an entry that is older than the longest stream.
    def test_streams_go_on_if_what_is_left_of_history_reaches_far_enough(self):
        vms = self.begin_streams()
        self.kill_all(vms)
        engine = self.start_endpoint("service", lambda req: req.respond())
        for sequence in range(2, 12):
            record = nodes.endpoint_record(
                "service", engine.address, sequence=sequence
            )
            self.store.put_endpoint(engine.id, record)
        self.store.compact(names.ENDPOINT_TOPIC, retained=9)
        vms = self.restart_all(vms)
        response, _ = self.take_up_with_retries(vms, 0)
        self.assertEqual(200, response.status, response.body)

    # Guards against a restarted VM that refuses streams that its peers would
    # resume.
    def test_vm_that_joins_learns_from_its_peers_that_one_version_served(self):
        vms = self.begin_streams()
        self.store.compact(names.ENDPOINT_TOPIC)
        vms[2].stop()
        started = self.restart(vms[2])
        response, _ = self.take_up_with_retries([started], 2)
        self.assertEqual(200, response.status, response.body)

    # Without a history another version may have begun the stream, until the
    # VMs have seen for long enough that there is none.
    def test_streams_are_refused_without_history_until_the_longest_ends(self):
        vms = self.begin_streams()
        self.kill_all(vms)
        self.store.compact(names.ENDPOINT_TOPIC)
        vms = self.restart_all(vms)
        response = self.take_up(vms[0], "b0", "a0")
        self.assert_refused("stream_origin_unknown", response, "b0")
        store_standin.wait_until(
            lambda: self.take_up(vms[0], "b1", "a0").status == 200,
            LONGEST_STREAM_S + 2.0,
        )
