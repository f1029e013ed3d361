"""Requests whose paths are long: what a look-up of their route costs."""

import random
import tracemalloc

import testtools

from hornbeampier import clock as clocks
from hornbeampier.routing import domain
from hornbeampier.routing import route_history
from hornbeampier.routing import route_table
from tests import nodes
from tests import origin_network
from tests import routing_fakes as fakes

HOST = "site.example"
# Nearly what a head may hold.
PATH_BYTES = 16_000
# A look-up may hold, and copy, as much as the head that asked for it.
MAX_BYTES = 2 * PATH_BYTES
# Nearly what a head of the nodes in tests may hold.
NODE_PATH_BYTES = 3_500
# All of a request, with both of its connections and its endpoint's side.
MAX_NODE_BYTES = 200 * NODE_PATH_BYTES
LONG_PATHS = {
    "slashes": "/" * PATH_BYTES,
    "segments": "/a" * (PATH_BYTES // 2),
    "one segment": "/" + "a" * (PATH_BYTES - 1),
    "below a route": "/stream/" + "/" * (PATH_BYTES - 8),
    "no slash": "a" * PATH_BYTES,
}
SEEDS = range(200)
SEGMENTS = ("", "a", "b", "ab", "%2F", "A")
HOSTS = ("a.example", "B.example")


class MeteredPath(str):
    """A path that counts the bytes copied from it."""

    def __init__(self, text):
        del text
        self.copied_bytes = 0

    def __getitem__(self, place):
        piece = super().__getitem__(place)
        self.copied_bytes += len(piece)
        return piece


def stream_route(prefix, service="s1", host=HOST):
    return fakes.route(
        f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        traffic_split=(domain.WeightedService(service, 1.0),),
        resumable=True,
    )


def answer_with_an_event(req):
    req.begin_stream()
    req.send_event(1)
    req.end_stream()


def shorter_prefixes(path):
    """Returns the prefixes that end with a slash, longest first."""
    ends = (end for end, char in enumerate(path, 1) if char == "/")
    return [path[:end] for end in ends][::-1]


def random_path(rng):
    segments = [rng.choice(SEGMENTS) for _ in range(rng.randrange(6))]
    return "/" + "/".join(segments) + rng.choice(("", "/", "a"))


def random_routes(rng):
    return [
        stream_route(
            random_path(rng).rpartition("/")[0] + "/",
            rng.choice(("s1", "s2")),
            rng.choice(HOSTS),
        )
        for _ in range(rng.randrange(8))
    ]


class LongPathTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.history = route_history.RouteHistory(clocks.ManualClock())
        # Rows that have moved take part in each look-up.
        for version, service in enumerate(("s1", "s2", "s3")):
            routes = [
                stream_route("/stream/", service),
                stream_route(f"/{service}/"),
                stream_route("/"),
            ]
            cfg = origin_network.configuration(*routes, version=version)
            self.history.apply(cfg)
        self.routes = routes
        self.table = route_table.RouteTable(routes)

    def check(self, look_up):
        for name, text in LONG_PATHS.items():
            path = MeteredPath(text)
            look_up(path)
            self.assertLessEqual(path.copied_bytes, MAX_BYTES, name)
            tracemalloc.start()
            look_up(text)
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertLessEqual(peak_bytes, MAX_BYTES, name)

    # Guards against a request that ends its VM: a path of 16,000 slashes made
    # the history of routes hold 128 MB.
    def test_history_holds_and_copies_no_more_than_the_path(self):
        self.check(
            lambda path: self.history.services(route_table.Location(HOST, path))
        )

    # Guards against paths that take a VM's processor time on every route.
    def test_route_table_holds_and_copies_no_more_than_the_path(self):
        self.check(lambda path: self.table.match(HOST, path))

    # Guards against a configuration that moves a route with a long prefix.
    def test_moved_long_prefix_costs_no_more_than_the_configuration(self):
        for version, service in ((3, "s1"), (4, "s2")):
            prefix = MeteredPath("/" * PATH_BYTES)
            cfg = origin_network.configuration(
                *self.routes, stream_route(prefix, service), version=version
            )
            self.history.apply(cfg)
            self.assertLessEqual(prefix.copied_bytes, MAX_BYTES)


class UnchangedResultTest(testtools.TestCase):
    # Guards against another result than that of trying all prefixes.
    def test_route_is_that_of_the_longest_prefix_that_begins_the_path(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            routes = random_routes(rng)
            table = route_table.RouteTable(routes)
            rows = {(r.host.lower(), r.path_prefix): r for r in routes}
            for _ in range(20):
                host, path = rng.choice(HOSTS).upper(), random_path(rng)
                keys = [(host.lower(), p) for p in shorter_prefixes(path)]
                expected = next((rows[k] for k in keys if k in rows), None)
                self.assertEqual(expected, table.match(host, path), seed)

    # Guards against a stream whose earlier service a moved row hides.
    def test_services_are_those_of_all_configurations(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            history = route_history.RouteHistory(clocks.ManualClock())
            tables = []
            for version in range(rng.randrange(1, 5)):
                cfg = origin_network.configuration(
                    *random_routes(rng), version=version
                )
                history.apply(cfg)
                tables.append(route_table.RouteTable(cfg.routes))
            for _ in range(20):
                host, path = rng.choice(HOSTS), random_path(rng)
                matches = [table.match(host, path) for table in tables]
                expected = {s for r in matches if r for s in r.services}
                location = route_table.Location(host, path)
                self.assertEqual(expected, history.services(location), seed)


class LongPathNodeTest(nodes.NodeTestCase):
    # Guards against one request whose path ends the process that serves it.
    def test_resumable_stream_of_a_long_path_is_served(self):
        self.start_endpoint(nodes.ENGINE_SERVICE, answer_with_an_event)
        router = self.start_ready_node()
        path = "/resume/" + "/" * NODE_PATH_BYTES
        self.call(router, "POST", "/resume/x", body=b"b")
        tracemalloc.start()
        response = self.call(router, "POST", path, body=b"b")
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertLess(peak_bytes, MAX_NODE_BYTES)
