"""Three VMs before two engines, with more work than these can take."""

import gevent
import testtools

from tests import processes
from tests import sites

OTHER = ("Authorization", "Bearer key-2")
BULK = ("X-Request-Class", "bulk")


class OverloadTest(testtools.TestCase):
    def test_urgent_requests_are_served_and_no_account_starves(self):
        with sites.Site(engines=2, vms=3, slots=2) as site:
            for vm in site.vms:
                vm.scheduler.start()
                self.addCleanup(vm.scheduler.stop)
            ended = []
            tasks = [
                self.start(site, i, f"burst {i} tokens=120", "burst", ended)
                for i in range(45)
            ]
            processes.wait_until(site.runs)
            tasks += [
                self.start(site, i, f"other {i} tokens=120", "other", ended)
                for i in range(6)
            ]
            urgent = [
                self.start(site, i, f"urgent {i} tokens=5", "urgent", ended)
                for i in range(30)
            ]
            gevent.joinall(urgent, raise_error=True)
            self.assertLess(ended.count("burst"), 45)
            gevent.joinall(tasks, raise_error=True)
            self.assertEqual({200}, {t.value.status for t in tasks + urgent})
            # The six are served with the burst's first requests of each VM.
            last = max(i for i, name in enumerate(ended) if name == "other")
            self.assertGreater(ended[last:].count("burst"), 10)
            self.check_urgent_ran_once(site)

    def start(self, site, index, text, name, ended):
        headers = {
            "burst": (sites.KEY, BULK),
            "other": (OTHER, BULK),
            "urgent": (sites.KEY,),
        }[name]

        def run():
            answer = site.vms[index % 3].chat(text, headers=headers)
            ended.append(name)
            return answer

        return gevent.spawn(run)

    def check_urgent_ran_once(self, site):
        runs = [run for run in site.runs() if run.priority == 1]
        self.assertEqual(30, len({run.request_id for run in runs}))
        self.assertEqual([5] * 30, [run.tokens for run in runs])
