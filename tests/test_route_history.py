"""Earlier routes of locations, against a model with whole configurations."""

import random

import msgspec
import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import origin_messages
from hornbeampier.platform import names
from hornbeampier.replication import configuration_log
from hornbeampier.replication import log_reader
from hornbeampier.replication import messages
from hornbeampier.routing import domain
from hornbeampier.routing import route_history
from hornbeampier.routing import route_table
from tests import era_fakes
from tests import nodes
from tests import origin_network
from tests import routing_fakes as fakes

LONGEST_MS = 5_000.0
RETENTION_MS = LONGEST_MS + route_history.CONFIGURATION_LAG_MS
SEEDS = range(100)
STEPS = 25
HOSTS = ("a.example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/", "/x/y/z/", "/w/")
SERVICES = ("s1", "s2", "s3")
SEMANTICS = (
    domain.RequestSemantics.STREAM,
    domain.RequestSemantics.STREAM,
    domain.RequestSemantics.IDEMPOTENT,
)
LOCATIONS = [
    route_table.Location(host, f"{prefix}leaf")
    for host in (*HOSTS, "A.example")
    for prefix in PREFIXES
]


def stream_route(host, prefix, *services, **fields):
    weighted = tuple(domain.WeightedService(s, 1.0) for s in services)
    return fakes.route(
        f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        traffic_split=weighted,
        resumable=True,
        timeout_ms=LONGEST_MS,
        **fields,
    )


def random_routes(rng, routes):
    """Returns routes of which one came, went, moved or was split."""
    changed = {(r.host, r.path_prefix): r for r in routes}
    key = (rng.choice(HOSTS), rng.choice(PREFIXES))
    if key in changed and rng.random() < 0.4:
        del changed[key]
    else:
        services = rng.sample(SERVICES, rng.choice((1, 1, 2)))
        changed[key] = stream_route(
            *key, *services, semantics=rng.choice(SEMANTICS)
        )
    return tuple(changed.values())


class Model:
    """All configurations, with the time at which each ended."""

    def __init__(self, clock):
        self._clock = clock
        self._tables = []

    def apply(self, cfg):
        now_ms = self._clock.now()
        if self._tables:
            self._tables[-1][1] = now_ms
        self._tables.append([route_table.RouteTable(cfg.routes), None])

    def services(self, location):
        oldest_ms = self._clock.now() - RETENTION_MS
        services = set()
        for table, ended_ms in self._tables:
            route = table.match(location.host, location.path)
            is_live = ended_ms is None or ended_ms > oldest_ms
            if route and is_live and route.semantics is SEMANTICS[0]:
                services |= route.services
        return services


class Vm:
    def __init__(self, clock, contiguous=True):
        self.contiguous = contiguous
        self.history = route_history.RouteHistory(clock)
        self.history.is_contiguous = lambda: self.contiguous
        self.history.coverage.observe()

    def apply(self, version, *routes):
        cfg = origin_network.configuration(*routes, version=version)
        return self.history.apply(cfg)

    def learn_from(self, peer):
        """Takes over what a peer knows, as it is sent in a reply."""
        reply = origin_messages.LookupReply(
            1, None, (), 0, origin_messages.to_routes(peer.history.report())
        )
        decoded = origin_messages.decode(origin_messages.encode(reply))
        self.history.merge(origin_messages.of_routes(decoded.routes))

    def services(self, host, path):
        return self.history.services(route_table.Location(host, path))


class RouteHistoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()

    def play(self, seed):
        """Applies configurations; yields the VM, its routes and the model."""
        rng = random.Random(seed)
        vm, model, routes = Vm(self.clock), Model(self.clock), ()
        for version in range(1, STEPS):
            routes = random_routes(rng, routes)
            cfg = origin_network.configuration(*routes, version=version)
            vm.history.apply(cfg)
            model.apply(cfg)
            for _ in range(rng.randrange(12)):
                self.clock.advance(250.0)
                vm.history.coverage.observe()
                vm.history.expire(LONGEST_MS)
            yield vm, cfg, model

    # Guards against locations that lose an earlier service, whichever way their
    # route, or one of another prefix, came, went, moved or was split.
    def test_services_are_those_of_all_configurations_while_streams_last(self):
        for seed in SEEDS:
            for vm, _, model in self.play(seed):
                for location in LOCATIONS:
                    self.assertEqual(
                        model.services(location),
                        vm.history.services(location),
                        (seed, location),
                    )

    # Guards against a VM that starts and knows less than the one that told it.
    def test_vm_that_starts_learns_the_same_from_a_peer(self):
        for seed in SEEDS:
            for vm, cfg, model in self.play(seed):
                started = Vm(self.clock)
                started.history.apply(cfg)
                started.learn_from(vm)
                self.assertEqual(
                    vm.history.missing_ms(LONGEST_MS) <= 0.0,
                    started.history.missing_ms(LONGEST_MS) <= 0.0,
                )
                for location in LOCATIONS:
                    services = started.history.services(location)
                    self.assertEqual(model.services(location), services)

    # Guards against records of streams that no other VM gets, though a
    # configuration moved their location; and against one for each new route.
    def test_only_configurations_that_move_streams_are_reported(self):
        vm = Vm(self.clock)
        root = stream_route("a.example", "/", "s1")
        self.assertFalse(vm.apply(1, root))
        self.assertFalse(vm.apply(2, root, stream_route("b.example", "/", "s")))
        longer = stream_route("a.example", "/x/", "s2")
        self.assertTrue(vm.apply(3, root, longer))
        self.assertTrue(vm.apply(4, root))
        self.assertTrue(vm.apply(5, stream_route("a.example", "/", "s1", "s3")))

    # The newest record of a key hides the ones before it.
    def test_configuration_that_may_have_been_missed_ends_the_proof(self):
        vm = Vm(self.clock)
        vm.apply(1, stream_route("a.example", "/", "s1"))
        vm.history.record_log((), is_complete=True, gap_count=0)
        self.assertLessEqual(vm.history.missing_ms(LONGEST_MS), 0.0)
        vm.contiguous = False
        vm.apply(3, stream_route("a.example", "/", "s2"))
        self.assertEqual(RETENTION_MS, vm.history.missing_ms(LONGEST_MS))
        # A log that was read meanwhile may lack the missed one.
        vm.history.record_log((), is_complete=True, gap_count=0)
        self.assertEqual(RETENTION_MS, vm.history.missing_ms(LONGEST_MS))

    # Guards against a VM that has not heard of a configuration yet by which
    # another VM began a stream.
    def test_vm_with_an_older_configuration_than_a_peer_is_behind(self):
        vm, peer = Vm(self.clock), Vm(self.clock)
        vm.apply(1, stream_route("a.example", "/", "s1"))
        vm.history.record_log((), is_complete=True, gap_count=0)
        peer.apply(2, stream_route("a.example", "/", "s2"))
        self.assertGreater(vm.history.report().covered_ms, 0.0)
        vm.learn_from(peer)
        self.assertTrue(vm.history.is_behind)
        self.assertEqual(0.0, vm.history.report().covered_ms)
        vm.apply(2, stream_route("a.example", "/", "s2"))
        self.assertFalse(vm.history.is_behind)
        self.assertEqual({"s1", "s2"}, vm.services("a.example", "/x"))

    # Guards against a proof by a peer that has not read as far.
    def test_peer_with_an_older_configuration_proves_nothing(self):
        vm, peer = Vm(self.clock), Vm(self.clock)
        peer.apply(1, stream_route("a.example", "/", "s1"))
        peer.history.record_log((), is_complete=True, gap_count=0)
        vm.apply(3, stream_route("a.example", "/", "s1"))
        vm.learn_from(peer)
        self.assertGreater(vm.history.missing_ms(LONGEST_MS), 0.0)

    # Guards against routes that are forgotten too early, as the peers differ in
    # when they took over the next configuration.
    def test_routes_are_kept_for_the_peer_that_left_them_last(self):
        old = stream_route("a.example", "/", "s1")
        new = stream_route("a.example", "/", "s2")
        peer, vm = Vm(self.clock), Vm(self.clock)
        peer.apply(1, old)
        vm.apply(1, old)
        vm.apply(2, new)
        self.clock.advance(2_000.0)
        peer.apply(2, new)
        vm.learn_from(peer)
        self.clock.advance(RETENTION_MS - 1.0)
        vm.history.expire(LONGEST_MS)
        self.assertEqual({"s1", "s2"}, vm.services("a.example", "/x"))

    # Guards against a timeout that only an earlier configuration had.
    def test_peer_tells_for_how_long_streams_last(self):
        vm, peer = Vm(self.clock), Vm(self.clock)
        route = stream_route("a.example", "/", "s1")
        peer.apply(1, route)
        short = fakes.route(
            host="a.example",
            path_prefix="/",
            traffic_split=route.traffic_split,
            resumable=True,
            timeout_ms=1.0,
        )
        peer.apply(2, short)
        vm.apply(2, short)
        vm.learn_from(peer)
        self.assertEqual(LONGEST_MS, vm.history.longest_ms)


class EarlierReply(msgspec.Struct, array_like=True, tag=3):
    """A reply as VMs of the release before know it."""

    number: int
    origin: object
    ages: tuple
    covered_ms: int = 0


class MixedFleetTest(testtools.TestCase):
    # Guards against VMs of the release before that cannot read the reply.
    def test_vm_of_an_earlier_release_reads_a_reply_with_routes(self):
        vm = Vm(clocks.ManualClock())
        vm.apply(1, stream_route("a.example", "/", "s1"))
        vm.apply(2, stream_route("a.example", "/", "s2"))
        routes = origin_messages.to_routes(vm.history.report())
        reply = origin_messages.LookupReply(7, None, (), 5_000, routes)
        decoded = msgspec.msgpack.decode(
            origin_messages.encode(reply), type=EarlierReply
        )
        self.assertEqual(EarlierReply(7, None, (), 5_000), decoded)


class BoundsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()

    def move(self, vm, count, version):
        service = f"s{version}"
        vm.apply(
            version,
            *(
                stream_route("a.example", f"/{n}/", service)
                for n in range(count)
            ),
        )

    # Guards against memory that grows with each configuration, and against a
    # proof by what was dropped.
    def test_number_of_rows_is_bounded(self):
        vm = Vm(self.clock)
        count = route_history.MAX_ROWS // 4
        self.move(vm, count, 0)
        vm.history.record_log((), is_complete=True, gap_count=0)
        for version in range(1, 5):
            self.assertLess(vm.history.missing_ms(LONGEST_MS), 0.0)
            self.move(vm, count, version)
        self.assertLess(vm.history.missing_ms(LONGEST_MS), 0.0)
        self.move(vm, count, 5)
        self.assertGreater(vm.history.missing_ms(LONGEST_MS), 0.0)

    # Guards against datagrams that are too large, and against a proof by a
    # reply that leaves rows out.
    def test_reply_without_all_rows_proves_nothing(self):
        vm, peer = Vm(self.clock), Vm(self.clock)
        for version in (1, 2):
            self.move(peer, origin_messages.MAX_ROWS + 1, version)
        peer.history.record_log((), is_complete=True, gap_count=0)
        self.move(vm, origin_messages.MAX_ROWS + 1, 2)
        vm.learn_from(peer)
        self.assertGreater(vm.history.missing_ms(LONGEST_MS), 0.0)
        report = origin_messages.to_routes(peer.history.report())
        self.assertEqual((), report.earlier)


class ConfigurationLogTest(era_fakes.VmTestCase):
    def read(self, *versions, is_complete=True, era=1):
        """Returns the routes of a VM that has read a log before it starts."""
        clock = clocks.ManualClock()
        history = origin_network.OriginNetwork(1, []).vms["10.0.0.0"].history
        history.routes = route_history.RouteHistory(clock)
        log = configuration_log.ConfigurationLog(
            era_fakes.CONFIG, history, clock
        )
        log.prepare()
        rows = [
            messages.Record(era_fakes.CONFIG, self.value(v), n, era)
            for n, v in enumerate(versions)
        ]
        rows.append(messages.Record("other", b"x", len(rows), era))
        log.record(log_reader.Log(tuple(rows), era, is_complete))
        return history.routes

    def value(self, version):
        service = f"service-{version}"
        return era_fakes.config_value(
            version,
            routes=[nodes.route("r", "/resume/", "streaming", service)],
        )

    # Guards against a VM that starts and knows only the configuration of now.
    def test_log_shows_the_services_of_earlier_configurations(self):
        location = route_table.Location("site.example", "/resume/x")
        routes = self.read(1, 2)
        self.assertEqual({"service-1", "service-2"}, routes.services(location))
        self.assertLess(routes.missing_ms(LONGEST_MS), 0.0)

    # Guards against a log without its beginning, or with losses, as a proof.
    def test_log_that_may_lack_configurations_proves_nothing(self):
        for routes in (self.read(2, is_complete=False), self.read(2, era=2)):
            self.assertGreater(routes.missing_ms(LONGEST_MS), 0.0)

    # Guards against configurations that a snapshot or a peer's batch hides.
    def test_replica_tells_whether_it_saw_all_records(self):
        operator = self.vm.replicas[names.OPERATOR_TOPIC]
        for version in (1, 2):
            self.put_config(version)
        self.store.serve(self.vm)
        self.assertFalse(operator.is_contiguous)
        self.put_config(3)
        self.put_config(4)
        reader = era_fakes.Vm(self.clock)
        reader.replicas[names.OPERATOR_TOPIC].apply_snapshot(
            self.store.snapshot(names.OPERATOR_TOPIC)
        )
        self.store.serve(self.vm)
        self.assertTrue(operator.is_contiguous)
        self.put_config(5)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.assertTrue(operator.is_contiguous)
        self.put_config(6)
        self.put_config(7)
        self.store.serve(reader)
        self.vm.fetch_from(reader)
        self.assertFalse(operator.is_contiguous)

    # Offsets are given out again after the store has returned from a copy.
    def test_records_of_a_later_era_do_not_continue_those_of_an_earlier(self):
        operator = self.vm.replicas[names.OPERATOR_TOPIC]
        self.put_config(1)
        copy = self.store.copy()
        self.put_config(2)
        self.store.serve(self.vm)
        self.store.restore(copy)
        self.put_config(3)
        self.store.serve(self.vm)
        self.assertFalse(operator.is_contiguous)
