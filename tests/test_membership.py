"""Gossip membership: who is live, who was, and who is not brought back."""

import testtools

from hornbeampier import clock as clocks
from hornbeampier.peers import membership
from hornbeampier.peers import messages

OTHER = "10.0.0.2"


class MembershipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.members = membership.Membership("10.0.0.1", [OTHER], self.clock)

    def lose(self):
        self.members.record_received(OTHER)
        self.clock.advance(membership.MEMBER_TIMEOUT_MS + 1)

    def report(self, host=OTHER, silent_ms=0):
        report = messages.MemberReport(host, 3, silent_ms)
        self.members.record_reports([report])

    def test_silent_vm_is_not_live_but_keeps_its_retry_budget(self):
        self.lose()
        self.assertEqual([], self.members.live())
        self.assertEqual(1, self.members.known_count())
        self.clock.advance(membership.RETENTION_MS + 1)
        self.assertEqual(0, self.members.known_count())

    def test_unreachable_peers_still_count_for_the_retry_budget(self):
        for number in range(8):
            self.members.record_received(f"10.0.1.{number}")
        self.clock.advance(membership.MEMBER_TIMEOUT_MS + 1)
        live, known = self.members.live(), self.members.known_count()
        self.assertEqual((0, 8), (len(live), known))

    def test_report_without_its_silence_does_not_bring_a_vm_back(self):
        self.lose()
        self.assertEqual([], self.members.live())
        self.members.record_reported([OTHER])
        self.assertEqual([], self.members.live())

    def test_vms_cannot_keep_a_dead_one_by_reporting_it_to_each_other(self):
        other = membership.Membership("10.0.0.3", [], self.clock)
        self.members.record_received("10.0.0.4")
        for _ in range(60):
            self.clock.advance(250.0)
            other.record_reports(self.members.reports())
            self.members.record_reports(other.reports())
        self.assertEqual([], self.members.live())
        self.assertEqual([], other.live())

    def test_report_of_a_vm_that_was_just_heard_brings_it_back(self):
        self.lose()
        self.report(silent_ms=200)
        self.assertEqual([OTHER], self.members.live())
        self.assertEqual(3, self.members.members()[0].zone)

    def test_older_report_does_not_age_a_member(self):
        self.members.record_received(OTHER)
        self.report(silent_ms=5_000)
        self.clock.advance(membership.MEMBER_TIMEOUT_MS - 1)
        self.assertEqual([OTHER], self.members.live())

    def test_own_host_is_no_member(self):
        self.report("10.0.0.1")
        self.members.record_reported(["10.0.0.1"])
        self.assertEqual([], self.members.live())

    def test_seeds_are_contacted_until_they_are_members(self):
        self.assertEqual([OTHER], self.members.due_seeds())
        self.clock.advance(membership.FIRST_SEED_INTERVAL_MS)
        self.assertEqual([OTHER], self.members.due_seeds())
        self.members.record_received(OTHER)
        self.clock.advance(membership.MAX_SEED_INTERVAL_MS)
        self.assertEqual([], self.members.due_seeds())

    def test_vm_that_is_gone_for_good_is_not_known(self):
        self.members.record_received("10.0.0.2")
        self.assertTrue(self.members.knows("10.0.0.2"))
        self.clock.advance(membership.MEMBER_TIMEOUT_MS + 1)
        self.assertEqual([], self.members.live())
        self.assertTrue(self.members.knows("10.0.0.2"))
        self.clock.advance(membership.RETENTION_MS + 1)
        self.assertFalse(self.members.knows("10.0.0.2"))
