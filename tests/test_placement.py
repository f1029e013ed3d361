"""Orders to engines: lease, permits, plans, and the planners of two VMs."""

import random
import types

import testtools

from hornbeampier import clock as clocks
from hornbeampier import environment
from hornbeampier import planner
from hornbeampier import wsgi
from hornbeampier.coordination import lease
from hornbeampier.coordination import load_permits
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import registry
from hornbeampier.endpoints import standin_models
from hornbeampier.operators import schema
from hornbeampier.policy import placement
from tests import fakes
from tests import processes

V1 = messages.HeldModel("notes", "v1")
V2 = messages.HeldModel("notes", "v2")
ROUND_MS = 2_000.0
NESTED = b'{"unknown": ' + b"[" * 100_000


def make_cfg(
    version, engines=4, loads_per_minute=60, share=0.25, concurrent_loads=1
):
    text = processes.configuration(
        [(f"engine-{i + 1}", 9101 + i) for i in range(engines)]
    )
    return schema.parse(
        f"{text}\n[[placements]]\nmodel = 'notes'\nversion = '{version}'\n"
        f"availability_zone = 'zone-1'\nendpoints = {engines}\n"
        f"[rollout]\nloads_per_minute = {loads_per_minute}\n"
        f"max_unavailable_share = {share}\n"
        f"concurrent_loads = {concurrent_loads}\n"
    )


class EnginePeer:
    """An engine's order interface without a network."""

    def __init__(self, clock):
        self.memory = standin_models.ModelMemory(clock)
        self.down = False
        self.before_order = None
        self.raw_answer = None

    def call(self, req):
        if self.raw_answer:
            return 200, self.raw_answer
        if self.down:
            raise planner.errors.AttemptError("down", "not_run")
        if req.method == "PUT" and self.before_order:
            hook, self.before_order = self.before_order, None
            hook()
        environ = {
            "REQUEST_METHOD": req.method,
            "wsgi.input": types.SimpleNamespace(read=lambda: req.body),
        }
        answered = []
        try:
            body = self.memory.serve(
                environ, lambda status, headers: answered.append(status)
            )
        except wsgi.DropConnectionError as exc:
            raise planner.errors.AttemptError("lost", "may_have_run") from exc
        return int(answered[0][:3]), body[0]


class Fleet:
    """Planners of several VMs over one log and the same engines."""

    def __init__(self, cfg, vms=2, engines=4, **faults):
        self.clock = clocks.ManualClock(1e6)
        self.log = fakes.MemoryLog(self.clock)
        self.peers = [EnginePeer(self.clock) for _ in range(engines)]
        for peer in self.peers:
            peer.memory.faults = standin_models.ModelFaults(**faults)
            peer.memory.state = messages.ModelState((V1,), (V1,))
        self.cfg = cfg
        self.planners = [self._planner(i) for i in range(vms)]

    def _planner(self, index):
        endpoints = registry.Registry(self.clock)
        endpoints.apply(self.cfg)
        for state, peer in zip(endpoints.all(), self.peers, strict=True):
            state.peer = peer
        env = environment.Environment(
            clock=self.clock, rng=random.Random(index)
        )
        accepted = types.SimpleNamespace(version=7)
        accepted.cfg = self.cfg
        return planner.Planner(
            f"vm-{index}", env, self.log, endpoints, lambda: accepted
        )

    def run(self, rounds, vms=None):
        """Runs rounds of all planners; returns the serving counts seen."""
        counts = []
        for _ in range(rounds):
            for one in vms or self.planners:
                one.round()
            counts.append(sum(bool(p.memory.held) for p in self.peers))
            self.clock.advance(ROUND_MS)
        return counts

    def models(self):
        return {p.memory.state.models for p in self.peers}

    def orders(self):
        return sum(len(p.memory.log) for p in self.peers)


class LeaseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(1e6)
        self.log = fakes.MemoryLog(self.clock)
        self.first = lease.Lease(self.log, "vm-1", self.clock)
        self.second = lease.Lease(self.log, "vm-2", self.clock)

    def test_one_holder_until_the_lease_expires(self):
        self.assertTrue(self.first.try_hold())
        self.assertFalse(self.second.try_hold())
        self.clock.advance(lease.LEASE_MS)
        self.assertFalse(self.first.is_held())
        self.assertTrue(self.second.try_hold())
        self.assertTrue(self.second.fencing > self.first.fencing)
        self.assertFalse(self.first.try_hold())

    def test_of_two_that_race_one_holds(self):
        outcome = []
        self.log.before_append[lease.STREAM] = lambda: outcome.append(
            self.second.try_hold()
        )
        outcome.append(self.first.try_hold())
        self.assertEqual([True, False], outcome)
        self.assertEqual(
            [False, True], [self.first.is_held(), self.second.is_held()]
        )

    def test_unreadable_record_is_passed_over(self):
        for data in (b"x", b"[" * 100_000, NESTED):
            self.log.append(lease.STREAM, data)
        self.assertTrue(self.first.try_hold())

    def test_renewal_keeps_the_fencing_number(self):
        self.first.try_hold()
        fencing = self.first.fencing
        self.clock.advance(lease.LEASE_MS / 2)
        self.assertTrue(self.first.try_hold())
        self.assertEqual(fencing, self.first.fencing)

    def test_lost_append_answer_is_not_taken_for_the_lease(self):
        self.log.lose_answers = 1
        self.assertFalse(self.first.try_hold())
        self.assertFalse(self.first.is_held())
        # The lost append took effect: the next round renews that lease.
        self.assertTrue(self.first.try_hold())

    def test_released_lease_is_free_at_once(self):
        self.first.try_hold()
        self.first.release()
        self.assertTrue(self.second.try_hold())


class LoadPermitsTest(testtools.TestCase):
    def test_unreadable_record_is_passed_over(self):
        log = fakes.MemoryLog(clocks.ManualClock(1e6))
        log.append(load_permits.STREAM, NESTED)
        record = load_permits.PermitRecord("load-1", "engine-1", 0)
        self.assertTrue(load_permits.LoadPermits(log).acquire(record, 1))

    def test_limit_holds_over_two_vms(self):
        clock = clocks.ManualClock(1e6)
        log = fakes.MemoryLog(clock)
        views = [load_permits.LoadPermits(log) for _ in range(2)]

        def ask(index):
            record = load_permits.PermitRecord(f"load-{index}", "engine-1", 0)
            return views[index % 2].acquire(record, per_minute=3)

        self.assertEqual([True] * 3 + [False] * 3, [ask(i) for i in range(6)])
        clock.advance(load_permits.WINDOW_MS)
        self.assertTrue(ask(6))


class PlanTest(testtools.TestCase):
    def test_last_engine_of_a_model_is_never_interrupted(self):
        cfg = make_cfg("v2", engines=1, share=1.0)
        seen = {"engine-1": messages.ModelState((V1,), (V1,))}
        self.assertEqual([], placement.plan(cfg, seen))

    def test_engine_that_does_not_answer_gets_no_order(self):
        cfg = make_cfg("v1", engines=2)
        seen = {"engine-1": messages.ModelState()}
        orders = placement.plan(cfg, seen)
        self.assertEqual(["engine-1"], [o.endpoint.name for o in orders])

    def test_too_many_wanted_engines_are_refused(self):
        text = processes.configuration([("engine-1", 9101)])
        self.assertRaises(
            schema.toml.errors.InvalidFileError,
            schema.parse,
            f"{text}\n[[placements]]\nmodel = 'notes'\nversion = 'v1'\n"
            "availability_zone = 'zone-1'\nendpoints = 2\n",
        )


class PlannerTest(testtools.TestCase):
    def test_unreadable_state_of_an_engine_counts_as_unseen(self):
        fleet = Fleet(make_cfg("v2", share=0.5))
        fleet.peers[0].raw_answer = NESTED
        fleet.run(12)
        held = [p.memory.state.models for p in fleet.peers]
        self.assertEqual([(V1,), (V2,), (V2,), (V2,)], held)

    def test_rollout_keeps_the_stated_share_serving(self):
        fleet = Fleet(make_cfg("v2"), load_ms=3_000)
        counts = fleet.run(12)
        self.assertEqual({(V2,)}, fleet.models())
        self.assertEqual(3, min(counts))
        self.assertEqual(4, fleet.orders())

    def test_loads_at_a_time_are_limited_apart_from_the_share(self):
        for share, concurrent in ((0.75, 1), (0.25, 4)):
            cfg = make_cfg("v2", share=share, concurrent_loads=concurrent)
            fleet = Fleet(cfg, load_ms=3_000)
            self.assertEqual(3, min(fleet.run(12)))
            self.assertEqual({(V2,)}, fleet.models())

    def test_engine_that_crashes_while_loading_is_ordered_again(self):
        fleet = Fleet(make_cfg("v2"), load_ms=3_000)
        fleet.run(1)
        fleet.peers[0].memory.state = messages.ModelState()
        counts = fleet.run(14)
        self.assertEqual({(V2,)}, fleet.models())
        self.assertEqual(3, min(counts))

    def test_slow_weight_store_never_takes_a_second_engine_away(self):
        fleet = Fleet(make_cfg("v2"), load_ms=60_000)
        counts = fleet.run(130)
        self.assertEqual({(V2,)}, fleet.models())
        self.assertEqual(3, min(counts))

    def test_lost_order_answer_is_resolved_by_looking_again(self):
        fleet = Fleet(make_cfg("v2"), lose_order_answers=1)
        fleet.run(12)
        self.assertEqual({(V2,)}, fleet.models())
        self.assertEqual(4, fleet.orders())

    def test_log_outage_pauses_planning_and_nothing_else(self):
        fleet = Fleet(make_cfg("v2"))
        fleet.log.down = True
        fleet.run(3)
        self.assertEqual(0, fleet.orders())
        fleet.log.down = False
        fleet.run(12)
        self.assertEqual({(V2,)}, fleet.models())

    def test_weight_store_limit_paces_the_rollout(self):
        fleet = Fleet(make_cfg("v2", loads_per_minute=2))
        fleet.run(25)
        self.assertEqual(2, fleet.orders())
        fleet.run(10)
        self.assertEqual({(V2,)}, fleet.models())

    def test_holder_whose_lease_lapsed_in_a_slow_append_sends_nothing(self):
        fleet = Fleet(make_cfg("v2"))
        fleet.log.before_append[load_permits.STREAM] = lambda: (
            fleet.clock.advance(lease.LEASE_MS)
        )
        fleet.planners[0].round()
        self.assertEqual(0, fleet.orders())

    def test_frozen_holder_is_refused_by_engines_that_check(self):
        fleet = self._freeze_past_lease(checks_fencing=True)
        self.assertEqual([True], self._stale_orders(fleet, taken=False))

    def test_frozen_holder_is_corrected_on_engines_that_do_not_check(self):
        fleet = self._freeze_past_lease(checks_fencing=False)
        self.assertEqual([True], self._stale_orders(fleet, taken=True))

    def _freeze_past_lease(self, checks_fencing):
        """Lets the holder sleep between its last check and its order."""
        fleet = Fleet(make_cfg("v1"), checks_fencing=checks_fencing)
        stale, live = fleet.planners
        for peer in fleet.peers:
            peer.memory.state = messages.ModelState((V2,), (V2,))

        def freeze():
            fleet.clock.advance(lease.LEASE_MS * 2)
            # The configuration moves on while the holder is paused.
            live._accepted().cfg = make_cfg("v2")
            live.round()
            fleet.peers[0].memory.state = messages.ModelState(
                (V2,), (V2,), False, live._lease.fencing
            )

        fleet.peers[0].before_order = freeze
        stale.round()
        fleet.stale_taken = bool(fleet.peers[0].memory.log)
        fleet.run(6, [live, stale])
        return fleet

    def _stale_orders(self, fleet, taken):
        self.assertEqual(taken, fleet.stale_taken)
        return [fleet.models() == {(V2,)}]
