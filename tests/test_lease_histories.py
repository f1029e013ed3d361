"""Random histories of a lease with faults, checked against its rules."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from tests import lease_world

# The same histories in each run, so that its verdict does not change.
HISTORIES = hypothesis.settings(
    max_examples=1_000,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
FAULTY_MS = 16_000.0
MAX_FAULT_MS = 5_000.0
# From the last fault until a VM holds the lease: a cooldown or the longest
# backoff, the time until others count as dead, and a takeover.
RECOVERY_MS = 20_000.0
KINDS = (
    "kill",
    "drain",
    "pause",
    "cut",
    "slow",
    "store_down",
    "restore",
    "late_calls",
)


@strategies.composite
def draw_faults(draw):
    """Draws faults of few kinds: most rules matter only if two coincide."""
    kinds = draw(strategies.sets(strategies.sampled_from(KINDS), max_size=3))
    if not kinds:
        return []
    fault = strategies.builds(
        lease_world.Fault,
        at_ms=strategies.floats(4_000.0, FAULTY_MS),
        kind=strategies.sampled_from(sorted(kinds)),
        vm=strategies.sampled_from([None, None, None, 0, 1, 2, 3, 4]),
        duration_ms=strategies.floats(10.0, MAX_FAULT_MS),
    )
    return draw(strategies.lists(fault, min_size=1, max_size=10))


class LeaseHistoryTest(testtools.TestCase):
    def check_tokens(self, world):
        """Tokens rise with each change of the holder, and none is shared."""
        users = {}
        newest = None
        for call in world.begun:
            user = users.setdefault(call.token, (call.vm, call.process))
            self.assertEqual(user, (call.vm, call.process))
            if newest is not None:
                self.assertGreaterEqual(call.token, newest.token)
            newest = call

    def check_turns(self, world):
        """A VM acts again after another one only after the lease time."""
        turns = [
            list(calls)
            for _, calls in itertools.groupby(world.begun, lambda c: c.vm)
        ]
        for before, after in zip(turns, turns[2:], strict=False):
            if before[-1].vm == after[0].vm:
                pause_ms = after[0].at_ms - before[-1].at_ms
                self.assertGreaterEqual(pause_ms, lease_world.LEASE_MS)

    def check_executed(self, world):
        """The API never executes a call with a lower token than before.

        With a fence it refuses such calls; without one, the lease has to
        outwait them.
        """
        self.assertEqual(sorted(world.executed), world.executed)

    def check_recovery(self, world):
        """After the last fault, one VM holds the lease again."""
        end_ms = world.faulty_until_ms + RECOVERY_MS
        world.run_until(end_ms)
        holders = [v for v in world.vms if v.is_up and v.lease.term()]
        self.assertEqual(1, len(holders))

    # Guards against two VMs that act at once, against tokens that are issued
    # twice or used after a refusal, and against a lease that stays free.
    @HISTORIES
    @hypothesis.given(
        strategies.integers(0, 2**32),
        draw_faults(),
        strategies.integers(2, 5),
        strategies.booleans(),
    )
    def test_rules_hold_in_all_histories(self, seed, faults, count, fence):
        world = lease_world.World(seed, faults, count, fence)
        self.check_recovery(world)
        self.check_tokens(world)
        self.check_turns(world)
        self.check_executed(world)
