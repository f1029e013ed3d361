"""Streams and endpoints that start again with other software."""

import json

import gevent

from hornbeampier.routing import stream_origins
from tests import nodes
from tests import store_standin
from tests import test_stream_versions as stream_versions

BORN_AGAIN = 2
# Longer than the time after which a stream counts as stalled.
HALT_S = 2.5
EVENTS_BEFORE = stream_versions.EVENTS_BEFORE


class RestartedEndpointTestCase(stream_versions.CallerTestCase):
    """Two engines of v1; one starts again with v2 while the store is down."""

    def setUp(self):
        super().setUp()
        self.engines.start("v1", count=2)

    def engine(self, position):
        engine_id = list(self.engines.ids())[position]
        return self.engines._engines[engine_id]

    def restart_unseen(self, position, store_down=True):
        """An engine starts again with v2, of which no VM reads.

        If the store is not down, the engine has not written its entry yet.
        """
        self.store.down = store_down
        engine = self.engine(position)
        engine.born = BORN_AGAIN
        self.engines._versions[engine.id] = "v2"
        return engine

    def other_than(self, engine_id):
        return next(
            position
            for position, id_ in enumerate(self.engines.ids())
            if id_ != engine_id
        )

    def run_first_at_restarted(self, req):
        """The first run of a stream is one of a process that started again."""
        if not self.engines.runs[req.id]:
            engine_id = req.headers["x-hornbeampier-expect-instance"]
            self.restart_unseen(list(self.engines.ids()).index(engine_id))
        self.engines._run(req)

    def begin_and_restart_other(self, router):
        """Begins a stream; the engine that did not run it is of v2 then."""
        self.begin(router, "a0")
        first_id = self.engines.runs["a0"][0]
        self.restart_unseen(self.other_than(first_id), store_down=False)
        self.engines._engines[first_id].kill()


class ResumedByRouterTest(RestartedEndpointTestCase):
    def configuration(self, version=1, **fields):
        return super().configuration(version, maxAttempts=2, **fields)

    # Guards against an answer that holds events of two versions: the engine at
    # which it went on had started again, and its new entry had not been read.
    def test_stream_is_cut_off_rather_than_resumed_at_another_process(self):
        router = self.start_ready_node(self.configuration())
        restarted = []

        def run(req):
            if not restarted:
                first_id = req.headers["x-hornbeampier-expect-instance"]
                restarted.append(self.restart_unseen(self.other_than(first_id)))
            self.engines._run(req)

        for position in range(2):
            self.engine(position).handler = run
        response = self.stream(router, "a0")
        self.assertFalse(response.complete)
        self.assertEqual(["v1"], self.engines.versions("a0"))
        self.assertGreater(restarted[0].reports, 0)

    # Guards against a probe of every request: a process is asked once on each
    # connection, and once more if a stream that it began goes on.
    def test_engines_are_asked_once_on_each_connection(self):
        router = self.start_ready_node(self.configuration())
        response = self.stream(router, "a0")
        self.assertEqual(stream_versions.ALL_EVENTS, response.body)
        first, second = self.engines.runs["a0"]
        self.assertEqual(2, self.engines._engines[first].reports)
        self.assertEqual(1, self.engines._engines[second].reports)
        for engine in self.engines._engines.values():
            engine.handler = self.complete
        for number in range(1, stream_versions.STREAMS):
            self.stream(router, f"a{number}")
        # The second still has its connection, and the first has a new one.
        self.assertLessEqual(self.engines._engines[first].reports, 3)
        self.assertEqual(1, self.engines._engines[second].reports)

    def complete(self, req):
        req.begin_stream()
        req.send_event(1)
        req.end_stream()

    # Guards against an answer of two versions: the engine that began it had
    # started again with v2 before, and its new entry had not been read.
    def test_stream_that_began_at_a_restarted_engine_does_not_go_on(self):
        router = self.start_ready_node(self.configuration())
        for position in range(2):
            self.engine(position).handler = self.run_first_at_restarted
        response = self.stream(router, "a0")
        self.assertFalse(response.complete)
        self.assertEqual(1, len(self.engines.runs["a0"]))

    # Guards against an answer of two versions: nobody can say any more which
    # process began it.
    def test_stream_does_not_go_on_if_its_engine_and_the_store_are_gone(self):
        response = self.break_off_and_kill(store_down=True)
        self.assertFalse(response.complete)
        self.assertEqual(1, len(self.engines.runs["a0"]))

    # Guards against streams that are broken off whenever an engine crashes.
    def test_stream_goes_on_if_the_store_has_no_newer_entry(self):
        response = self.break_off_and_kill(store_down=False)
        self.assertEqual(stream_versions.ALL_EVENTS, response.body)

    def break_off_and_kill(self, store_down):
        router = self.start_ready_node(self.configuration())

        def run(req):
            if not self.engines.runs[req.id]:
                engine_id = req.headers["x-hornbeampier-expect-instance"]
                self.store.down = store_down
                self.engines._run(req)
                self.engines._engines[engine_id].kill()
            else:
                self.engines._run(req)

        for position in range(2):
            self.engine(position).handler = run
        return self.stream(router, "a0")

    # Guards against a version that nothing proves: the engine does not answer
    # the question as the protocol has it.
    def test_stream_is_cut_off_if_the_engine_does_not_name_its_process(self):
        router = self.start_ready_node(self.configuration())
        bodies = (b"{}", b'{"born": "1"}', b'{"held": {"born": 1}}', b"[", b"")

        def run(req):
            if "GET /report " in f"{req.request_line}":
                lines = (
                    "HTTP/1.1 200 OK\r\n"
                    f"Content-Length: {len(self.body)}\r\n\r\n"
                )
                req.send(lines.encode() + self.body)
                return
            self.engines._run(req)

        for position in range(2):
            self.engine(position).born = None
            self.engine(position).handler = run
        for number, self.body in enumerate(bodies):
            response = self.stream(router, f"a{number}")
            self.assertFalse(response.complete, self.body)
            self.assertEqual(1, len(self.engines.runs[f"a{number}"]))


class ResumedByCallerTest(RestartedEndpointTestCase):
    # Guards against a stream of v2 that goes on at v1: its record names v1, as
    # the new entry of the engine that began it had not been read.
    def test_stream_that_began_at_a_restarted_engine_is_not_taken_up(self):
        first, second, _ = self.start_vms()
        for position in range(2):
            self.engine(position).handler = self.run_first_at_restarted
        self.begin(first, "a0")
        key = stream_origins.digest_id("a0")
        store_standin.wait_until(
            lambda: second._origins._streams.find(key) is not None
        )
        for router in (first, second):
            response = self.take_up(router, "b0", "a0")
            self.assert_refused("stream_origin_unknown", response, "b0")

    # Guards against calls of engines that have said that they leave, or have
    # gone, and against streams that are refused because of that.
    def test_engine_that_leaves_is_not_asked(self):
        self.engines.start("v1", 1)
        router, *_ = self.start_vms()
        self.begin(router, "a0")
        engine_id = self.engines.runs["a0"][0]
        engine = self.engines._engines[engine_id]
        reports = engine.reports
        record = nodes.endpoint_record(
            nodes.ENGINE_SERVICE, engine.address, state="draining"
        )
        for number, value in enumerate((record, None)):
            self.store.put_endpoint(engine_id, value)
            store_standin.wait_until(
                lambda: not self.may_serve(router, engine_id)
            )
            response = self.take_up(router, f"b{number}", "a0")
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(reports, engine.reports)

    def may_serve(self, router, engine_id):
        endpoint = router.catalog.endpoints.get(engine_id)
        return endpoint is not None and not endpoint.leaving

    # Guards against records that are refused once their engine has gone.
    def test_stream_of_an_engine_that_has_gone_is_taken_up(self):
        first, second, _ = self.start_vms()
        self.begin(first, "a0")
        self.engines.start("v2", 1)
        self.wait_for_engines(3, first, second)
        self.engines._engines[self.engines.runs["a0"][0]].kill()
        for number, router in enumerate((first, second)):
            response = self.take_up(router, f"b{number}", "a0")
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(["v1"], self.engines.versions(f"b{number}"))

    # Guards against a stream that goes on at another version: the engine at
    # which it was taken up had started again, and its entry had not been read.
    def test_stream_is_refused_rather_than_taken_up_at_another_process(self):
        router = self.start_ready_node(self.configuration())
        self.begin_and_restart_other(router)
        response = self.take_up(router, "b0", "a0")
        self.assertEqual(503, response.status)
        self.assertEqual(
            "stream_origin_gone", json.loads(response.body)["error"]
        )
        self.assertIn("retry-after", response.headers)
        self.assertEqual([], self.engines.runs["b0"])

    # Guards against streams that are refused although an engine of their
    # version is left beside the one that started again.
    def test_stream_goes_on_at_an_engine_whose_process_is_proved(self):
        self.engines.start("v1", count=1)
        router = self.start_ready_node(self.configuration())
        store_standin.wait_until(lambda: len(router.catalog.endpoints) == 3)
        self.begin_and_restart_other(router)
        for number in range(stream_versions.STREAMS):
            response = self.take_up(router, f"b{number}", "a0")
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(["v1"], self.engines.versions(f"b{number}"))

    # An entry without a start time is one of a platform whose endpoints never
    # start again under their ids.
    def test_stream_goes_on_where_entries_do_not_name_processes(self):
        for engine_id in self.engines.ids():
            engine = self.engines._engines[engine_id]
            record = nodes.endpoint_record(
                nodes.ENGINE_SERVICE, engine.address, sequence=2
            )
            del record["born"]
            self.store.put_endpoint(engine_id, record)
            engine.born = None
        router = self.start_ready_node(self.configuration())
        self.begin(router, "a0")
        self.engines._engines[self.engines.runs["a0"][0]].kill()
        response = self.take_up(router, "b0", "a0")
        self.assertEqual(200, response.status, response.body)


class StalledEngineTest(RestartedEndpointTestCase):
    """The engine that began a stream halts, and sends no report either."""

    def configuration(self, version=1, **fields):
        return super().configuration(
            version, maxAttempts=2, gapAimMs=100, **fields
        )

    def halt(self, req):
        if req.request_line.startswith("GET /report "):
            gevent.sleep(HALT_S)
            return
        engine_id = req.headers["x-hornbeampier-expect-instance"]
        self.engines.runs[req.id].append(engine_id)
        self.store.down = True
        req.begin_stream()
        req.send_event(1)
        gevent.sleep(HALT_S)
        for number in range(2, stream_versions.EVENTS + 1):
            req.send_event(number)
        req.end_stream()

    # Guards against a stream that is broken off although its engine goes on:
    # while the store is down, nothing proves where it could go on elsewhere.
    def test_stream_is_awaited_if_nothing_proves_where_it_may_go_on(self):
        for position in range(2):
            self.engine(position).born = None
            self.engine(position).handler = self.halt
        router = self.start_ready_node(self.configuration())
        response = self.stream(router, "a0")
        self.assertEqual(stream_versions.ALL_EVENTS, response.body)
        self.assertTrue(response.complete)
