"""Streams that began at a process whose entry nobody has read yet.

An engine starts again under its id with another version; its entry still names
the version before.
"""

import functools

import gevent

from tests import nodes
from tests import store_standin
from tests import test_restarted_endpoints as restarted_endpoints

SILENCE_S = 2.0


class UnreadProcessTest(restarted_endpoints.RestartedEndpointTestCase):
    def configuration(self, version=1, **fields):
        return super().configuration(version, maxAttempts=2, **fields)

    def restart_engine_of(self, req):
        engine_id = req.headers["x-hornbeampier-expect-instance"]
        position = list(self.engines.ids()).index(engine_id)
        return self.restart_unseen(position, store_down=False)

    def run_restarted(self, req):
        """The engine of the first run has started again before it."""
        if not any(self.engines.runs.values()):
            self.restart_engine_of(req)
        self.engines._run(req)

    def run_silent(self, req):
        """As above, and the engine does not answer the question who it is."""
        if req.request_line.startswith("GET /report "):
            gevent.sleep(SILENCE_S)
            return
        if not self.engines.runs[req.id]:
            self.restart_engine_of(req).born = None
        self.engines._run(req)

    def set_handler(self, handler):
        for position in range(2):
            self.engine(position).handler = handler

    # Guards against ORDER: a stream without a record on another VM goes on at
    # the only version that has an entry, after its VM has gone.
    def test_stream_of_an_unread_process_is_not_taken_up(self):
        first, second, _ = self.start_vms()
        self.set_handler(self.run_restarted)
        self.begin(first, "a0")
        self.assertEqual(["v2"], self.engines.versions("a0"))
        first.stop()
        self.take_up(second, "b0", "a0")
        self.assertNotEqual(["v1"], self.engines.versions("b0"))

    # Guards against ORDER: a process that does not say who it is being taken
    # for the one that the entry names.
    def test_stream_of_a_silent_unread_process_does_not_go_on(self):
        router = self.start_ready_node(self.configuration())
        self.set_handler(self.run_silent)
        self.stream(router, "a0")
        self.assertEqual(1, len(set(self.engines.versions("a0"))))


class CrashedUnreadProcessTest(restarted_endpoints.RestartedEndpointTestCase):
    """An unread process begins a stream and ends before it writes an entry."""

    def setUp(self):
        super().setUp()
        self.restarted = []
        for position in range(2):
            engine = self.engine(position)
            engine.handler = self.run_and_crash
            engine.on_connect = functools.partial(self.connect_to, position)

    def connect_to(self, position):
        """The engine that is connected to first has started again before."""
        if not self.restarted:
            self.restarted.append(self.restart_unseen(position, False))

    def run_and_crash(self, req):
        self.engines._run(req)
        if not int(req.headers.get("last-event-id", 0)):
            engine_id = req.headers["x-hornbeampier-expect-instance"]
            self.engines._engines[engine_id].kill()

    # Guards against ORDER: an answer of two versions, since nobody is left to
    # say which process began it, and the entry names the version before.
    def test_stream_is_cut_off_rather_than_resumed(self):
        router = self.start_ready_node(self.configuration(maxAttempts=2))
        response = self.stream(router, "a0")
        self.assertFalse(response.complete)
        self.assertEqual(["v2"], self.engines.versions("a0"))

    # Guards against ORDER: the same as its caller takes the stream up, at any
    # VM.
    def test_stream_is_not_taken_up_at_the_version_of_the_entry(self):
        routers = self.start_vms()
        self.begin(routers[0], "a0")
        self.assertEqual(["v2"], self.engines.versions("a0"))
        for router in routers:
            response = self.take_up(router, "b0", "a0")
            self.assert_refused("stream_origin_unknown", response, "b0")

    def take_up_unnamed(self, router, request_id):
        """Takes a stream up without naming its request."""
        return self.stream(router, request_id, **{"Last-Event-Id": "2"})

    # Guards against ORDER: the same by a caller that does not name the stream,
    # also at VMs that sent nothing to the process.
    def test_no_unnamed_stream_is_taken_up_meanwhile(self):
        routers = self.start_vms()
        self.begin(routers[0], "a0")
        for number, router in enumerate(routers):
            response = self.take_up_unnamed(router, f"b{number}")
            self.assert_refused("stream_origin_unknown", response, f"b{number}")

    # Guards against streams that are refused after a restart without a new
    # version, though the entry has come.
    def test_unnamed_streams_are_taken_up_once_the_entry_has_come(self):
        routers = self.start_vms()
        self.begin(routers[0], "a0")
        record = nodes.endpoint_record(
            nodes.ENGINE_SERVICE,
            self.restarted[0].address,
            born=restarted_endpoints.BORN_AGAIN,
        )
        self.store.put_endpoint(self.restarted[0].id, record)
        store_standin.wait_until(
            lambda: all(
                r.catalog.endpoints[self.restarted[0].id].started_ms
                == restarted_endpoints.BORN_AGAIN
                for r in routers
            )
        )
        for number, router in enumerate(routers):
            response = self.take_up_unnamed(router, f"b{number}")
            self.assertEqual(200, response.status, response.body)

    # Guards against a stream that is refused for ever, though the entry of the
    # process that began it has come.
    def test_stream_is_taken_up_once_the_entry_has_come(self):
        routers = self.start_vms()
        self.begin(routers[0], "a0")
        self.engines.start("v2", count=1)
        record = nodes.endpoint_record(
            nodes.ENGINE_SERVICE,
            self.restarted[0].address,
            version="v2",
            born=restarted_endpoints.BORN_AGAIN,
        )
        self.store.put_endpoint(self.restarted[0].id, record)
        self.wait_for_engines(3, *routers)
        for number, router in enumerate(routers):
            response = self.take_up(router, f"b{number}", "a0")
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(["v2"], self.engines.versions(f"b{number}"))
