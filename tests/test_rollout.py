"""A rollout of a new model version while requests are served."""

import gevent
import testtools

from tests import calls
from tests import processes

ROLLOUT = """
[[placements]]
model = "notes"
version = "{version}"
availability_zone = "zone-1"
endpoints = 3
[rollout]
loads_per_minute = 60
"""


class RolloutTest(testtools.TestCase):
    def test_holder_is_killed_in_a_rollout_and_no_request_is_refused(self):
        with processes.Deployment(vms=2, engines=3) as deployment:
            for engine in deployment.engines:
                self.call(engine, "POST", "/models/faults", b'{"load_ms": 300}')
            self.publish(deployment, "v1")
            self.wait_held(deployment, "v1")
            live, holder = sorted(
                deployment.vms, key=lambda vm: len(self.orders(vm))
            )
            self.assertEqual(3, len(self.orders(holder)))
            self.assertEqual([], self.orders(live))
            answers = []
            load = gevent.spawn(self.send, live, answers)
            self.publish(deployment, "v2")
            processes.wait_until(lambda: self.orders(holder)[3:])
            holder.process.kill()
            self.wait_held(deployment, "v2")
            load.kill()
            self.assertEqual({200}, set(answers))
            fencing = [order["fencing"] for order in self.orders(live)]
            self.assertLess(self.orders(holder)[0]["fencing"], min(fencing))

    def publish(self, deployment, version):
        text = deployment.configuration() + ROLLOUT.format(version=version)
        self.assertEqual(0, deployment.publish(text).exit_code)

    def send(self, vm, answers):
        while True:
            answers.append(vm.chat("tokens=10").status)

    def call(self, engine, method, path, body=b""):
        return calls.call(engine.port, method, path, body).json()

    def wait_held(self, deployment, version):
        def holds(engine):
            models = self.call(engine, "GET", "/models")["models"]
            return [held["version"] for held in models] == [version]

        processes.wait_until(lambda: all(map(holds, deployment.engines)))

    def orders(self, vm):
        lines = vm.process.log_lines("placed")
        return [line for line in lines if line["outcome"] == "ordered"]
