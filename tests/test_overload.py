"""Overload: urgent requests and small accounts must not wait for a burst.

Three VMs send more requests to two engines than these have slots for.
"""

import gevent
import testtools

from tests import clusters
from tests import processes

OTHER_ACCOUNT = ("Authorization", "Bearer key-2")
BULK = ("X-Request-Class", "bulk")


class OverloadTest(testtools.TestCase):
    def test_urgent_requests_are_served_and_no_account_starves(self):
        with clusters.Cluster(engines=2, vms=3, slots=2) as cluster:
            for vm in cluster.vms:
                vm.scheduler.start()
                self.addCleanup(vm.scheduler.stop)
            finished_names = []
            tasks = [
                self.start(
                    cluster, i, f"burst {i} tokens=120", "burst", finished_names
                )
                for i in range(45)
            ]
            processes.wait_until(cluster.runs)
            tasks += [
                self.start(
                    cluster, i, f"other {i} tokens=120", "other", finished_names
                )
                for i in range(6)
            ]
            urgent = [
                self.start(
                    cluster, i, f"urgent {i} tokens=5", "urgent", finished_names
                )
                for i in range(30)
            ]
            gevent.joinall(urgent, raise_error=True)
            self.assertLess(finished_names.count("burst"), 45)
            gevent.joinall(tasks, raise_error=True)
            self.assertEqual({200}, {t.value.status for t in tasks + urgent})
            # The other account's six requests are served along with the first
            # requests of the burst on each VM, so many of the burst end later.
            last = max(
                i for i, name in enumerate(finished_names) if name == "other"
            )
            self.assertGreater(finished_names[last:].count("burst"), 10)
            self.check_urgent_ran_once(cluster)

    def start(self, cluster, index, text, name, finished_names):
        headers = {
            "burst": (clusters.AUTH_HEADER, BULK),
            "other": (OTHER_ACCOUNT, BULK),
            "urgent": (clusters.AUTH_HEADER,),
        }[name]

        def run():
            response = cluster.vms[index % 3].chat(text, headers=headers)
            finished_names.append(name)
            return response

        return gevent.spawn(run)

    def check_urgent_ran_once(self, cluster):
        runs = [run for run in cluster.runs() if run.priority == 1]
        self.assertEqual(30, len({run.request_id for run in runs}))
        self.assertEqual([5] * 30, [run.tokens for run in runs])
