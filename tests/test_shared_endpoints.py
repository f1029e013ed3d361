"""Targets that share endpoints: no target may starve another one.

Tiers and guaranteed shares have to hold across the targets of an endpoint.
"""

import dataclasses
import random

import gevent
from gevent import event
import testtools

from hornbeampier import clock
from hornbeampier.endpoints import registry
from hornbeampier.operators import schema
from hornbeampier.policy import choice
from hornbeampier.policy import scheduler
from tests import processes
from tests import test_tiers

MIDDLE = """
[[classes]]
name = "middle"
tier = 2
max_wait_ms = 10000

[[models]]
name = "guidance"
"""
CFG = schema.parse(
    processes.configuration([("engine-1", 9101)], slots=1)
    .replace('serves = ["notes"]', 'serves = ["notes", "guidance"]')
    .replace("tier = 2", "tier = 3")
    + MIDDLE
)
_, BULK, MIDDLE_CLASS = CFG.classes


class SharedEndpointTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clk = clock.ManualClock()
        endpoints = registry.Registry(clk)
        endpoints.apply(CFG)
        peers = test_tiers.NoPeers()
        self.scheduler = scheduler.Scheduler(
            endpoints,
            choice.EndpointChooser(peers, random.Random(1)),
            peers,
            clk,
        )
        self.scheduler.apply(CFG)
        self.granted_classes = []
        self.finish_all = event.Event()
        self.tasks = []
        self.addCleanup(lambda: gevent.killall(self.tasks))

    def start(self, request_class, target, count=1):
        info = dataclasses.replace(
            test_tiers.make_info(request_class), target=target
        )
        for _ in range(count):
            self.tasks.append(gevent.spawn(self.run_one, info))
            gevent.sleep(0)

    def run_one(self, info):
        grant = self.scheduler.acquire(info)
        self.granted_classes.append(info.request_class.name)
        self.finish_all.wait()
        self.scheduler.release(grant)

    def finish(self):
        self.finish_all.set()
        gevent.joinall(self.tasks, timeout=10)

    def test_higher_tier_of_another_target_goes_first(self):
        self.start(BULK, "notes", count=3)
        self.start(MIDDLE_CLASS, "guidance")
        self.finish()
        self.assertEqual(
            ["bulk", "middle", "bulk", "bulk"], self.granted_classes
        )

    def test_lowest_class_keeps_its_share_against_another_target(self):
        self.start(MIDDLE_CLASS, "guidance", count=60)
        self.start(BULK, "notes")
        self.finish()
        self.assertEqual(61, len(self.granted_classes))
        self.assertLess(self.granted_classes.index("bulk"), 40)
