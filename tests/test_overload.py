"""Three VMs before two engines, with more work than these can take."""

import gevent
import testtools

from tests import clusters
from tests import processes

OTHER = ("Authorization", "Bearer key-2")
BULK = ("X-Request-Class", "bulk")


class OverloadTest(testtools.TestCase):
    def test_urgent_requests_are_served_and_no_account_starves(self):
        with clusters.Cluster(engines=2, vms=3, slots=2) as cluster:
            for vm in cluster.vms:
                vm.scheduler.start()
                self.addCleanup(vm.scheduler.stop)
            ended = []
            tasks = [
                self.start(cluster, i, f"burst {i} tokens=120", "burst", ended)
                for i in range(45)
            ]
            processes.wait_until(cluster.runs)
            tasks += [
                self.start(cluster, i, f"other {i} tokens=120", "other", ended)
                for i in range(6)
            ]
            urgent = [
                self.start(cluster, i, f"urgent {i} tokens=5", "urgent", ended)
                for i in range(30)
            ]
            gevent.joinall(urgent, raise_error=True)
            self.assertLess(ended.count("burst"), 45)
            gevent.joinall(tasks, raise_error=True)
            self.assertEqual({200}, {t.value.status for t in tasks + urgent})
            # The six are served with the burst's first requests of each VM.
            last = max(i for i, name in enumerate(ended) if name == "other")
            self.assertGreater(ended[last:].count("burst"), 10)
            self.check_urgent_ran_once(cluster)

    def start(self, cluster, index, text, name, ended):
        headers = {
            "burst": (clusters.KEY, BULK),
            "other": (OTHER, BULK),
            "urgent": (clusters.KEY,),
        }[name]

        def run():
            answer = cluster.vms[index % 3].chat(text, headers=headers)
            ended.append(name)
            return answer

        return gevent.spawn(run)

    def check_urgent_ran_once(self, cluster):
        runs = [run for run in cluster.runs() if run.priority == 1]
        self.assertEqual(30, len({run.request_id for run in runs}))
        self.assertEqual([5] * 30, [run.tokens for run in runs])
