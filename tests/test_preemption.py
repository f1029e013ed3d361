"""Preemption: higher tiers must not wait behind long requests of lower ones.

A preempted request must neither lose nor repeat a part of its response, nor be
preempted again and again.
"""

import dataclasses
import types

import gevent
import testtools

from hornbeampier import attempts
from hornbeampier import permits
from hornbeampier import router
from hornbeampier.policy import preemption
from hornbeampier.policy import queues
from hornbeampier.policy import tickets
from tests import clusters
from tests import processes
from tests import test_tiers
from tests.test_tiers import BULK
from tests.test_tiers import URGENT


class PreemptionTest(testtools.TestCase):
    def test_overdue_request_preempts_one_lower_tier_request(self):
        running = preemption.RunningRequests()
        endpoint = types.SimpleNamespace(name="engine-1")
        grant = tickets.Grant(
            test_tiers.make_info(BULK), endpoint, (), 0.0, resumable=True
        )
        running.add(grant)
        queue = queues.TargetQueue()
        ticket = test_tiers.make_ticket(URGENT)
        # A quarter of the first-token target, `scheduler.PREEMPT_FRACTION`.
        ticket.preempt_from_ms = 275.0
        queue.push(ticket)
        self.assertEqual([], queue.overdue(274.0))
        self.assertEqual([ticket], queue.overdue(275.0))
        self.assertTrue(running.preempt(["engine-1"], URGENT.tier))
        self.assertEqual(1, running.preempted_count(["engine-1"]))
        self.assertFalse(running.preempt(["engine-1"], URGENT.tier))

    def test_request_that_missed_its_target_still_preempts_lower_tiers(self):
        queue = queues.TargetQueue()
        ticket = test_tiers.make_ticket(URGENT)
        ticket.preempt_from_ms = 275.0
        ticket.latest_start_ms = 900.0
        queue.push(ticket)
        queue.candidates(1_000.0)
        self.assertEqual([ticket], queue.overdue(1_000.0))

    def test_each_request_is_preempted_at_most_once(self):
        info = test_tiers.make_info(BULK)
        self.assertTrue(preemption.is_preemptible(info))
        preempted_once = dataclasses.replace(info, preemptions=1)
        self.assertFalse(preemption.is_preemptible(preempted_once))

    def test_request_that_may_run_only_once_is_not_preempted(self):
        info = test_tiers.make_info(BULK)
        for permit in (
            permits.UNRESTRICTED,
            permits.UnrestrictedPermit(retry_safe=False),
        ):
            progress = attempts.Progress(texts=["a"], permit=permit)
            self.assertEqual(
                permit.retry_safe, router._is_preemptible(info, progress)
            )

    def test_preempted_request_precedes_the_others_of_its_class(self):
        queue = queues.TargetQueue()
        queue.push(test_tiers.make_ticket(BULK))
        resumed = test_tiers.make_ticket(BULK)
        resumed.info = dataclasses.replace(resumed.info, preemptions=1)
        queue.push(resumed)
        self.assertIs(resumed, test_tiers.dispatch_next(queue, 1)[0])

    def test_preempted_response_is_complete_and_resumes_where_it_stopped(self):
        with clusters.Cluster(engines=1, slots=1) as cluster:
            bulk_headers = (clusters.AUTH_HEADER, ("X-Request-Class", "bulk"))
            text = "a long list tokens=400"
            first = gevent.spawn(cluster.vm.chat, text, headers=bulk_headers)
            processes.wait_until(
                lambda: cluster.runs() and cluster.runs()[0].tokens
            )
            second = cluster.vm.chat("a question tokens=3")
            self.assertFalse(first.ready())
            self.assertEqual(
                clusters.expected_text("a question tokens=3", 3), second.text()
            )
            self.assertEqual(
                clusters.expected_text(text, 400), first.get().text()
            )
            begun, urgent, resumed = cluster.runs()
            self.assertEqual(begun.request_id, resumed.request_id)
            self.assertNotEqual(begun.request_id, urgent.request_id)
            self.assertTrue(0 < resumed.start <= begun.tokens)
