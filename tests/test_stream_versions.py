"""Streams go on only at the software version of engines that began them."""

import collections
import dataclasses
import json

from tests import nodes
from tests import store_standin

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
VERSIONS = ("v1", "v2")
OTHER_SERVICE = "other-engine-service"
ENGINES_PER_VERSION = 3
STREAMS = 8
EVENTS_BEFORE = 2
EVENTS = 4
ALL_EVENTS = b"".join(
    f"id: {number}\ndata: piece-{number}\n\n".encode()
    for number in range(1, EVENTS + 1)
)


class VersionedEngines:
    """Engines of several software versions that break new streams off.

    Attributes:
        runs: The engines that ran each request, by its id.
    """

    def __init__(self, case):
        self._case = case
        self._versions = {}
        self._engines = {}
        self.runs = collections.defaultdict(list)

    def start(
        self, version, count=ENGINES_PER_VERSION, service=nodes.ENGINE_SERVICE
    ):
        for _ in range(count):
            engine = self._case.start_endpoint(
                service,
                lambda req: self._run(req),
                version=version,
            )
            self._versions[engine.id] = version
            self._engines[engine.id] = engine

    def stop(self, engine_id):
        self._engines[engine_id].stop()
        self._case.store.put_endpoint(engine_id, None)

    def ids(self):
        """Returns the ids of all engines that were started."""
        return self._engines.keys()

    def _run(self, req):
        self.runs[req.id].append(req.headers["x-hornbeampier-expect-instance"])
        req.begin_stream()
        last = int(req.headers.get("last-event-id", 0))
        end = EVENTS if last else EVENTS_BEFORE
        for number in range(last + 1, end + 1):
            req.send_event(number)
        if last:
            req.end_stream()
        else:
            req.close_connection()

    def versions(self, request_id):
        """Returns the software versions that ran a request."""
        return [self._versions[id_] for id_ in self.runs[request_id]]


class StreamVersionTestCase(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.engines = VersionedEngines(self)

    def stream(self, router, request_id, **headers):
        """Sends a prompt whose segments no other has."""
        caller = self.connect(router)
        fields = {
            "X-Hornbeampier-Attempt-Id": request_id,
            "X-Hornbeampier-Model": "m",
            "X-Hornbeampier-Token-Usage": "1000,50",
            "X-Hornbeampier-Prompt-Prefix": f"{request_id}:600,own:400",
            **headers,
        }
        caller.send("POST", "/resume/x", fields, body=b"{}")
        return caller.read()


class ResumedByRouterTest(StreamVersionTestCase):
    # Guards against responses that hold events of two software versions: the
    # router resumed an interrupted stream at the engine with the least load.
    def test_interrupted_streams_go_on_at_their_software_version(self):
        for version in VERSIONS:
            self.engines.start(version)
        router = self.start_ready_node()
        for number in range(STREAMS):
            response = self.stream(router, f"a{number}")
            self.assertEqual(ALL_EVENTS, response.body)
            begun, resumed = self.engines.versions(f"a{number}")
            self.assertEqual(begun, resumed)

    def test_stream_is_cut_off_if_no_engine_of_its_version_is_left(self):
        self.engines.start("v1", count=1)
        router = self.start_ready_node()
        self.engines.start("v2", count=1)
        store_standin.wait_until(lambda: len(router.catalog.endpoints) == 2)
        versions = set()
        for number in range(STREAMS):
            response = self.stream(router, f"a{number}")
            self.assertFalse(response.complete)
            self.assertEqual(1, len(self.engines.runs[f"a{number}"]))
            versions.update(self.engines.versions(f"a{number}"))
        self.assertEqual(set(VERSIONS), versions)


class CallerTestCase(StreamVersionTestCase):
    """Streams that break off and that their callers take up."""

    def configuration(self, version=1, **fields):
        """A configuration with which the router does not resume streams."""
        route = {
            "service": nodes.ENGINE_SERVICE,
            "streamResume": True,
            "maxAttempts": 1,
            **fields,
        }
        service = route.pop("service")
        cfg = nodes.configuration(
            version,
            [nodes.route("resume", "/resume/", "streaming", service, **route)],
        )
        other = {**cfg["services"][-1], "name": OTHER_SERVICE}
        return {**cfg, "services": [*cfg["services"], other]}

    def start_vms(self, hosts=HOSTS, cfg=None):
        return super().start_vms(hosts, cfg or self.configuration())

    def begin(self, router, request_id):
        response = self.stream(router, request_id)
        self.assertFalse(response.complete)
        return response

    def take_up(
        self, router, request_id, resumes, remaining_ms=nodes.ROUTE_TIMEOUT_MS
    ):
        fields = {
            "Last-Event-Id": str(EVENTS_BEFORE),
            "X-Hornbeampier-Deadline-Ms": str(remaining_ms),
        }
        if resumes:
            fields["Resumes"] = resumes
        return self.stream(router, request_id, **fields)

    def stop_engine_of(self, request_id, *routers):
        engine_id = self.engines.runs[request_id][0]
        self.engines.stop(engine_id)
        for router in routers:
            store_standin.wait_until(
                lambda r=router: engine_id not in r.catalog.endpoints
            )

    def wait_for_engines(self, count, *routers):
        for router in routers:
            store_standin.wait_until(
                lambda r=router: len(r.catalog.endpoints) == count
            )

    def assert_refused(self, code, response, request_id):
        self.assertEqual(503, response.status)
        self.assertEqual(code, json.loads(response.body)["error"])
        self.assertEqual([], self.engines.runs[request_id])

    def assert_taken_up(self, router, count=STREAMS):
        """Streams `a0`, `a1`, ... go on as they began, at another engine."""
        for number in range(count):
            self.stop_engine_of(f"a{number}", router)
            resumed = self.take_up(router, f"b{number}", f"a{number}")
            self.assertEqual(200, resumed.status, resumed.body)
            self.assertEqual(
                self.engines.versions(f"a{number}"),
                self.engines.versions(f"b{number}"),
            )

    def restart(self, router):
        """Starts a VM again with the same settings."""
        fields = {
            field.name: getattr(router.cfg, field.name)
            for field in dataclasses.fields(router.cfg)
        }
        return self.start_ready_node(self.configuration(), **fields)


class ResumedByCallerTest(CallerTestCase):
    # Guards against streams that callers take up at another VM, where they went
    # on at another software version than the one that began them.
    def test_streams_taken_up_at_another_vm_keep_their_software_version(self):
        for version in VERSIONS:
            self.engines.start(version, STREAMS + 1)
        first, second, _ = self.start_vms()
        for number in range(STREAMS):
            self.begin(first, f"a{number}")
        self.assert_taken_up(second)

    def test_streams_whose_vm_is_gone_keep_their_software_version(self):
        for version in VERSIONS:
            self.engines.start(version, STREAMS + 1)
        first, second, _ = self.start_vms()
        for number in range(STREAMS):
            self.begin(first, f"a{number}")
        first.stop()
        self.assert_taken_up(second)

    # The VM that began a stream told no other, as one version alone served.
    def test_streams_that_began_before_the_second_version_are_taken_up(self):
        self.engines.start("v1", STREAMS + 1)
        first, second, third = self.start_vms()
        for number in range(STREAMS):
            self.begin(first, f"a{number}")
        self.engines.start("v2", STREAMS + 1)
        self.wait_for_engines(2 * STREAMS + 2, first, second, third)
        store_standin.wait_until(
            lambda: len(third._origins._streams) == STREAMS
        )
        first.stop()
        self.assert_taken_up(second)

    def test_vm_that_has_just_started_learns_where_a_stream_began(self):
        for version in VERSIONS:
            self.engines.start(version, STREAMS + 1)
        first, second, third = self.start_vms()
        for number in range(STREAMS):
            self.begin(first, f"a{number}")
        first.stop()
        third.stop()
        started = self.restart(third)
        self.assert_taken_up(started)

    def test_stream_is_refused_if_nobody_knows_where_it_began(self):
        for version in VERSIONS:
            self.engines.start(version)
        first, *_ = self.start_vms()
        response = self.take_up(first, "b0", "no-such-stream")
        self.assert_refused("stream_origin_unknown", response, "b0")
        response = self.take_up(first, "b1", None)
        self.assert_refused("stream_origin_unknown", response, "b1")

    def test_stream_is_taken_up_without_a_record_while_one_version_serves(self):
        self.engines.start("v1")
        first, *_ = self.start_vms()
        self.assertEqual(200, self.take_up(first, "b0", "unrecorded").status)
        self.assertEqual(200, self.take_up(first, "b1", None).status)

    # A new version may serve by now, and have begun streams at other VMs.
    def test_vm_out_of_touch_does_not_take_its_version_for_the_only_one(self):
        self.engines.start("v1")
        first, second, third = self.start_vms()
        second.stop()
        third.stop()
        self.store.down = True
        store_standin.wait_until(lambda: not first._is_in_touch())
        response = self.take_up(first, "b0", "a0")
        self.assert_refused("stream_origin_unknown", response, "b0")
        self.assertIn("retry-after", response.headers)

    # The last engine of the version that began the stream has just left.
    def test_version_that_has_left_counts_while_its_streams_last(self):
        self.engines.start("v1", 1)
        first, second, _ = self.start_vms()
        self.begin(first, "a0")
        self.engines.start("v2", 2)
        self.wait_for_engines(3, first, second)
        self.stop_engine_of("a0", first, second)
        response = self.take_up(second, "b0", "a0")
        self.assert_refused("stream_origin_gone", response, "b0")
        response = self.take_up(second, "b1", "no-such-stream")
        self.assert_refused("stream_origin_unknown", response, "b1")

    def test_vm_that_has_just_started_knows_the_version_that_has_left(self):
        self.engines.start("v1", 1)
        first, second, third = self.start_vms()
        self.begin(first, "a0")
        self.engines.start("v2", 2)
        self.wait_for_engines(3, first, second, third)
        self.stop_engine_of("a0", first, second, third)
        first.stop()
        third.stop()
        started = self.restart(third)
        response = self.take_up(started, "b0", "a0")
        self.assert_refused("stream_origin_gone", response, "b0")

    # Guards against streams that go on at another service, as the attempt's id
    # decides to which of a route's services a request goes.
    def test_streams_of_a_split_route_keep_their_service(self):
        split = [
            {"service": nodes.ENGINE_SERVICE, "weight": 50},
            {"service": OTHER_SERVICE, "weight": 50},
        ]
        cfg = self.configuration(service=None, split=split)
        self.engines.start("of-one", STREAMS + 1)
        self.engines.start("of-other", STREAMS + 1, OTHER_SERVICE)
        first, second, _ = self.start_vms(HOSTS, cfg)
        for number in range(STREAMS):
            self.begin(first, f"a{number}")
        self.assert_taken_up(second)

    def test_stream_is_refused_if_its_route_has_left_its_service(self):
        self.engines.start("of-one", 2)
        self.engines.start("of-other", 2, OTHER_SERVICE)
        first, second, _ = self.start_vms()
        self.begin(first, "a0")
        self.store.put_configuration(
            self.configuration(2, service=OTHER_SERVICE)
        )
        for router in (first, second):
            store_standin.wait_until(lambda r=router: r.catalog.version == 2)
        # The second VM learns it from the first one, and later by itself.
        response = self.take_up(second, "b0", "a0")
        self.assert_refused("stream_origin_gone", response, "b0")
