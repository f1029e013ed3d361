"""Streams that callers take up after a configuration moved their path."""

import dataclasses

import gevent

from hornbeampier.platform import names
from tests import nodes
from tests import store_standin
from tests import test_stream_versions as stream_versions

OLD = nodes.ENGINE_SERVICE
NEW = stream_versions.OTHER_SERVICE
STREAMS = 4
# Longest time in which a configuration, or a record, reaches all VMs.
SPREAD_S = 1.0


class MovedRouteTest(stream_versions.CallerTestCase):
    """Streams of v1 begin at the old service; v2 alone serves at the new."""

    def setUp(self):
        super().setUp()
        self.engines.start("v1", service=OLD)
        self.engines.start("v2", service=NEW)

    def routes(self, version, **services):
        """Returns a configuration; the keys are path prefixes."""
        prefixes = {"root": "/", "resume": "/resume/", "other": "/other/"}
        cfg = self.configuration(version)
        cfg["routes"] = [
            nodes.route(
                name,
                prefixes[name],
                "streaming",
                service,
                streamResume=True,
                maxAttempts=1,
            )
            for name, service in services.items()
        ]
        return cfg

    def begin_streams(self, cfg):
        vms = self.start_vms(cfg=cfg)
        self.wait_for_engines(2 * stream_versions.ENGINES_PER_VERSION, *vms)
        for number in range(STREAMS):
            self.begin(vms[0], f"a{number}")
        return vms

    def configure(self, cfg, *vms):
        self.store.put_configuration(cfg)
        for vm in vms:
            store_standin.wait_until(
                lambda v=vm: v.catalog.version == cfg["version"]
            )

    def restart_all(self, *vms):
        """Kills VMs at once and starts them again; returns them."""
        for vm in vms:
            vm.stop()
        started = []
        for vm in vms:
            fields = {
                field.name: getattr(vm.cfg, field.name)
                for field in dataclasses.fields(vm.cfg)
            }
            started.append(self.start_node(**fields))
        for vm in started:
            store_standin.wait_until(vm.is_ready)
        return started

    def assert_all_refused(self, vm):
        joined, codes = [], set()
        for number in range(STREAMS):
            response = self.take_up(vm, f"b{number}", f"a{number}")
            if response.status == 200:
                joined.append(self.engines.versions(f"b{number}"))
            else:
                codes.add(response.status)
        self.assertEqual([], joined)
        self.assertEqual({503}, codes)

    def assert_all_go_on(self, vm):
        for number in range(STREAMS):
            response = self.take_up(vm, f"b{number}", f"a{number}")
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(["v1"], self.engines.versions(f"b{number}"))

    # Guards against streams that go on at the service of a longer prefix, which
    # took over their path after they had begun.
    def test_no_stream_is_joined_if_a_longer_prefix_comes_and_one_vm_goes(self):
        first, second, _ = vms = self.begin_streams(self.routes(1, root=OLD))
        self.configure(self.routes(2, root=OLD, resume=NEW), *vms)
        first.stop()
        self.assert_all_refused(second)

    # Guards against streams that go on at the service of a shorter prefix, as
    # the route at which they began is gone.
    def test_no_stream_is_joined_if_a_longer_prefix_goes_and_one_vm_goes(self):
        cfg = self.routes(1, root=NEW, resume=OLD)
        first, second, _ = vms = self.begin_streams(cfg)
        self.configure(self.routes(2, root=NEW), *vms)
        first.stop()
        self.assert_all_refused(second)

    # Guards against routes that are forgotten while no configuration has them.
    def test_no_stream_is_joined_if_a_route_is_removed_and_comes_back(self):
        cfg = self.routes(1, resume=OLD, other=NEW)
        first, second, _ = vms = self.begin_streams(cfg)
        self.configure(self.routes(2, other=NEW), *vms)
        self.configure(self.routes(3, resume=NEW, other=NEW), *vms)
        first.stop()
        self.assert_all_refused(second)

    # Guards against streams that go on at the service to which their route
    # moved, as no VM is left that has seen it move.
    def test_no_stream_is_joined_if_a_route_moves_and_all_vms_go(self):
        vms = self.begin_streams(self.routes(1, resume=OLD))
        self.configure(self.routes(2, resume=NEW), *vms)
        gevent.sleep(SPREAD_S)
        self.assert_all_refused(self.restart_all(*vms)[1])

    # Guards against a store without old configurations being taken for proof
    # that there were none.
    def test_no_stream_is_joined_if_old_configurations_are_deleted(self):
        vms = self.begin_streams(self.routes(1, resume=OLD))
        self.configure(self.routes(2, resume=NEW), *vms)
        self.store.compact(names.OPERATOR_TOPIC, retained=1)
        self.assert_all_refused(self.restart_all(*vms)[1])

    # Guards against streams that no VM has a record of, as only one service was
    # possible when they began.
    def test_streams_go_on_after_one_vm_goes_if_their_route_was_split(self):
        first, second, third = vms = self.begin_streams(
            self.routes(1, resume=OLD)
        )
        cfg = self.routes(2, resume=OLD)
        cfg["routes"][0]["split"] = [
            {"service": OLD, "weight": 1},
            {"service": NEW, "weight": 9},
        ]
        self.configure(cfg, *vms)
        store_standin.wait_until(
            lambda: len(third._origins._streams) == STREAMS
        )
        first.stop()
        self.assert_all_go_on(second)

    # Guards against streams that are refused although their path never moved.
    def test_streams_go_on_after_one_vm_goes_if_other_paths_moved(self):
        cfg = self.routes(1, root=NEW, resume=OLD, other=NEW)
        first, second, _ = vms = self.begin_streams(cfg)
        self.configure(self.routes(2, root=NEW, resume=OLD, other=OLD), *vms)
        first.stop()
        self.assert_all_go_on(second)

    # Guards against streams that are refused although the store's log shows
    # that their path never moved.
    def test_streams_go_on_after_all_vms_go_if_other_paths_moved(self):
        cfg = self.routes(1, root=NEW, resume=OLD, other=NEW)
        vms = self.begin_streams(cfg)
        self.configure(self.routes(2, root=NEW, resume=OLD, other=OLD), *vms)
        self.assert_all_go_on(self.restart_all(*vms)[1])

    # Guards against a restarted VM that refuses streams though its peers have
    # followed the configurations.
    def test_restarted_vm_learns_from_its_peers_that_no_path_moved(self):
        cfg = self.routes(1, root=NEW, resume=OLD)
        vms = self.begin_streams(cfg)
        self.configure(self.routes(2, root=NEW, resume=OLD, other=NEW), *vms)
        # The peers have to cover the longest stream by themselves.
        self.store.compact(names.OPERATOR_TOPIC, retained=1)
        self.assert_all_go_on(self.restart_all(vms[0])[0])

    # Guards against a restarted VM that knows only the configuration of now.
    def test_restarted_vm_learns_from_its_peers_that_a_path_moved(self):
        vms = self.begin_streams(self.routes(1, root=OLD))
        self.configure(self.routes(2, root=OLD, resume=NEW), *vms)
        self.store.compact(names.OPERATOR_TOPIC, retained=1)
        self.assert_all_refused(self.restart_all(vms[0])[0])
