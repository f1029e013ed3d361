"""Streams go on only at the software version of engines that began them."""

import collections

from tests import nodes
from tests import store_standin

VERSIONS = ("v1", "v2")
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

    def start(self, version, count=ENGINES_PER_VERSION):
        for _ in range(count):
            engine = self._case.start_endpoint(
                nodes.ENGINE_SERVICE,
                lambda req: self._run(req),
                version=version,
            )
            self._versions[engine.id] = version
            self._engines[engine.id] = engine

    def stop(self, engine_id):
        self._engines[engine_id].stop()
        self._case.store.put_endpoint(engine_id, None)

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


class ResumedByCallerTest(StreamVersionTestCase):
    # Guards against streams that callers take up at another VM, where they went
    # on at another software version than the one that began them.
    def test_streams_taken_up_at_another_vm_keep_their_software_version(self):
        for version in VERSIONS:
            self.engines.start(version, STREAMS + 1)
        # The router may not resume these streams itself.
        cfg = nodes.configuration(
            routes=[
                nodes.route(
                    "resume",
                    "/resume/",
                    "streaming",
                    nodes.ENGINE_SERVICE,
                    streamResume=True,
                    maxAttempts=1,
                )
            ]
        )
        first, second = self.start_vms(["127.0.0.1", "127.0.0.2"], cfg)
        for number in range(STREAMS):
            begun = self.stream(first, f"a{number}")
            self.assertFalse(begun.complete)
            engine_id = self.engines.runs[f"a{number}"][0]
            self.engines.stop(engine_id)
            store_standin.wait_until(
                lambda id_=engine_id: id_ not in second.catalog.endpoints
            )
            resumed = self.stream(
                second,
                f"b{number}",
                **{
                    "Resumes": f"a{number}",
                    "Last-Event-Id": str(EVENTS_BEFORE),
                },
            )
            self.assertEqual(ALL_EVENTS, begun.body + resumed.body)
            self.assertEqual(
                self.engines.versions(f"a{number}"),
                self.engines.versions(f"b{number}"),
            )
