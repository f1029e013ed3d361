"""How VMs that start learn earlier routes from each other."""

import collections
import random

import msgspec
import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import origin_exchange
from hornbeampier.peers import origin_messages
from hornbeampier.replication import store_readers
from tests import test_route_history as histories

# Numbers of VMs for which the design note states figures.
SIZES = (9, 84, 300)


class Round:
    """VMs that ask some peers each, all at the same moment.

    Attributes:
        shares: Share of the VMs that know all routes, after each round.
        bytes_sent: Bytes of the replies of one VM in a round, at most.
    """

    def __init__(self, size, moved_rows, seed=1):
        self._clock = clocks.ManualClock()
        self._rng = random.Random(seed)
        self._vms = [histories.Vm(self._clock) for _ in range(size)]
        routes = [
            histories.stream_route(
                "site.example", f"/tenant-{n}/chat/", "models-next"
            )
            for n in range(moved_rows)
        ]
        for number, vm in enumerate(self._vms):
            if number < store_readers.READER_COUNT:
                earlier = [
                    histories.stream_route(r.host, r.path_prefix, "models")
                    for r in routes
                ]
                vm.apply(1, *earlier)
                vm.history.record_log((), True, 0)
            vm.apply(2, *routes)
        self.shares = []
        self.bytes_sent = 0

    def is_done(self):
        return bool(self.shares) and self.shares[-1] == 1.0

    def play(self):
        replies = [
            origin_messages.to_routes(vm.history.report()) for vm in self._vms
        ]
        asked = collections.Counter()
        for number, vm in enumerate(self._vms):
            others = [n for n in range(len(self._vms)) if n != number]
            count = min(len(others), origin_exchange.ASKED_COUNT)
            if vm.history.missing_ms(histories.LONGEST_MS) > 0.0:
                for peer in self._rng.sample(others, count):
                    asked[peer] += 1
                    vm.history.merge(origin_messages.of_routes(replies[peer]))
        size = max(len(msgspec.msgpack.encode(r)) for r in replies)
        self.bytes_sent = max(self.bytes_sent, size * max(asked.values()))
        missing_ms = [
            vm.history.missing_ms(histories.LONGEST_MS) for vm in self._vms
        ]
        known = sum(ms <= 0.0 for ms in missing_ms)
        self.shares.append(known / len(self._vms))


class LearningTest(testtools.TestCase):
    """All VMs were killed; the store readers have read the store's log."""

    # Guards against VMs that refuse streams as the ones that they ask do not
    # know more, and against replies that take the share of other traffic.
    def test_all_vms_learn_within_a_few_rounds_of_questions(self):
        for size in SIZES:
            for moved_rows in (1, origin_messages.MAX_ROWS):
                simulation = Round(size, moved_rows)
                while not simulation.is_done():
                    simulation.play()
                self.assertLessEqual(len(simulation.shares), 3)
                self.assertLess(simulation.bytes_sent, 512 * 1024)
