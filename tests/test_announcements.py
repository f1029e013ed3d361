"""What endpoints announce about themselves in their responses."""

import random

from structlog import testing
import testtools

from hornbeampier.http1 import messages
from hornbeampier.platform import announcements as decoder
from hornbeampier.routing import announcements
from hornbeampier.routing import departures
from hornbeampier.routing import endpoint_wait
from tests import routing_fakes as fakes


def response(status=200, **headers):
    rows = tuple(
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    )
    return messages.ResponseHead(status, rows, 0)


class AnnouncementHeadersTest(testtools.TestCase):
    def test_limit_and_leaving_are_read_from_any_status(self):
        for status in (200, 404, 500, 503):
            head = response(status, server_limit="1.5", server_leaving="1")
            announcement = decoder.decode(head)
            self.assertEqual(1.5, announcement.limit_per_s)
            self.assertTrue(announcement.leaving)

    def test_wait_is_read_only_where_the_request_was_turned_away(self):
        waits = {
            status: decoder.decode(response(status, retry_after="0.25")).wait_ms
            for status in (200, 429, 500, 503)
        }
        self.assertEqual({200: None, 429: 250.0, 500: None, 503: 250.0}, waits)

    def test_response_of_another_endpoint_announces_nothing(self):
        head = response(421, server_limit="1", server_leaving="1")
        self.assertIsNone(decoder.decode(head))

    def test_invalid_values_are_dropped_and_described(self):
        for value in ("-1", "many", "nan", "", "1,5", "0x2"):
            announcement = decoder.decode(response(server_limit=value))
            self.assertIsNone(announcement.limit_per_s)
            self.assertIn(repr(value), announcement.invalid[0])
        date = "Fri, 04 Dec 2026 10:00:00 GMT"
        announcement = decoder.decode(response(503, retry_after=date))
        self.assertIsNone(announcement.wait_ms)
        self.assertIn("retry-after", announcement.invalid[0])

    def test_huge_values_are_bounded(self):
        head = response(503, server_limit="1e300", retry_after="inf")
        announcement = decoder.decode(head)
        self.assertEqual(decoder.MAX_LIMIT_PER_S, announcement.limit_per_s)
        self.assertEqual(decoder.MAX_WAIT_MS, announcement.wait_ms)
        self.assertEqual((), announcement.invalid)


class AnnouncementsTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        fixture = fakes.RoutingFixture(2)
        self.clock, self.fleet = fixture.clock, fixture.fleet
        self.catalog = fixture.catalog
        self.announcements = fixture.announcements
        self.endpoint = fixture.states[0].endpoint

    def respond(self, sent_ms=None, **fields):
        """Records the response to a request that was sent at some time."""
        self.announcements.record(
            self.endpoint,
            announcements.Announcement(**fields),
            "id-1",
            self.clock.now() if sent_ms is None else sent_ms,
        )

    def count_sent(self, seconds, step_ms=10.0):
        """Returns how many of many requests may be sent within a time."""
        sent = 0
        for _ in range(round(seconds * 1_000 / step_ms)):
            sent += self.announcements.take(self.endpoint)
            self.clock.advance(step_ms)
        return sent


class AnnouncementLogTest(AnnouncementsTestCase):
    def test_only_changes_are_logged(self):
        with testing.capture_logs() as rows:
            for limit_per_s in (None, 2.0, 2.0, None):
                self.respond(limit_per_s=limit_per_s)
                self.clock.advance(1.0)
        self.assertEqual([2.0, None], [row["limit_per_s"] for row in rows])
        self.assertEqual({"id-1"}, {row["request_id"] for row in rows})

    def test_invalid_values_are_logged_and_change_nothing(self):
        with testing.capture_logs() as rows:
            self.respond(invalid=("server-limit: 'many' is not a number >= 0",))
        self.assertIn("many", rows[0]["invalid"][0])
        self.assertTrue(self.announcements.take(self.endpoint))


class LimitTest(AnnouncementsTestCase):
    def test_endpoint_gets_no_more_than_it_accepts(self):
        self.respond(limit_per_s=2.0)
        self.assertIn(self.count_sent(10.0), (20, 21, 22))

    def test_limit_ends_when_a_response_names_none(self):
        self.respond(limit_per_s=1.0)
        self.clock.advance(100.0)
        self.respond()
        self.assertFalse(self.announcements.is_limited(self.endpoint))
        self.assertEqual(100, self.count_sent(1.0))

    def test_response_to_an_earlier_request_does_not_end_the_limit(self):
        # It may have been made before the endpoint was in need.
        self.clock.advance(1_000.0)
        self.respond(limit_per_s=1.0)
        self.clock.advance(100.0)
        self.respond(sent_ms=900.0)
        self.assertTrue(self.announcements.is_limited(self.endpoint))

    def test_limit_of_zero_allows_a_request_from_time_to_time(self):
        self.respond(limit_per_s=0.0)
        self.assertIn(self.count_sent(60.0, 100.0), (3, 4))

    def test_limit_holds_for_the_process_and_not_for_its_address(self):
        self.respond(limit_per_s=0.0)
        restarted = fakes.endpoint(self.endpoint.id, started_ms=2)
        self.assertFalse(self.announcements.is_limited(restarted))
        moved = fakes.endpoint(self.endpoint.id, host="10.0.0.9")
        self.assertTrue(self.announcements.is_limited(moved))

    def test_new_entry_of_the_same_process_does_not_end_the_limit(self):
        self.respond(limit_per_s=0.0)
        self.announcements.take(self.endpoint)
        self.catalog.remove_endpoint(self.endpoint.id)
        self.catalog.apply_endpoint(self.endpoint)
        ids = [s.id for s in self.fleet.candidates(fakes.SERVICE)]
        self.assertNotIn(self.endpoint.id, ids)

    def test_endpoint_above_its_limit_is_no_candidate(self):
        self.respond(limit_per_s=1.0)
        self.assertEqual(2, len(self.fleet.candidates(fakes.SERVICE)))
        self.announcements.take(self.endpoint)
        self.assertEqual(1, len(self.fleet.candidates(fakes.SERVICE)))
        opens_in_ms = self.fleet.opens_in_ms(fakes.SERVICE, {"e1"})
        self.assertAlmostEqual(1_000.0, opens_in_ms)


class LeavingTest(AnnouncementsTestCase):
    def test_endpoint_that_announces_its_leaving_gets_nothing_more(self):
        self.respond(leaving=True)
        self.assertFalse(self.announcements.take(self.endpoint))
        ids = [s.id for s in self.fleet.serving(fakes.SERVICE)]
        self.assertEqual(["e1"], ids)

    def test_leaving_outlasts_an_entry_that_says_otherwise(self):
        self.respond(leaving=True)
        self.catalog.remove_endpoint(self.endpoint.id)
        self.catalog.apply_endpoint(self.endpoint)
        self.assertEqual(1, len(self.fleet.serving(fakes.SERVICE)))

    def restart(self):
        """Returns the entry of a new process, which is read now."""
        restarted = fakes.endpoint(self.endpoint.id, started_ms=2)
        self.catalog.apply_endpoint(restarted)
        return restarted

    # Guards against DRAIN: a new entry making an endpoint eligible, although
    # it may be the process with this entry that announced that it leaves.
    def test_new_entry_does_not_prove_that_the_endpoint_serves(self):
        self.respond(leaving=True)
        restarted = self.restart()
        self.assertEqual(1, len(self.fleet.serving(fakes.SERVICE)))
        self.assertFalse(self.announcements.take(restarted))
        self.assertEqual([restarted], self.fleet.in_doubt())

    def test_restarted_endpoint_serves_after_a_health_check(self):
        self.respond(leaving=True)
        restarted = self.restart()
        self.clock.advance(1.0)
        self.announcements.record_serving(restarted, self.clock.now())
        self.assertEqual(2, len(self.fleet.serving(fakes.SERVICE)))
        self.assertTrue(self.announcements.take(restarted))
        self.assertEqual([], self.fleet.in_doubt())

    def test_health_check_from_before_the_announcement_proves_nothing(self):
        asked_ms = self.clock.now()
        self.clock.advance(1.0)
        self.respond(leaving=True)
        restarted = self.restart()
        self.announcements.record_serving(restarted, asked_ms)
        self.assertTrue(self.announcements.is_leaving(restarted))

    def test_process_that_announced_it_itself_is_not_in_doubt(self):
        self.respond(leaving=True)
        self.endpoint = self.restart()
        self.respond(leaving=True)
        self.clock.advance(1.0)
        self.announcements.record_serving(self.endpoint, self.clock.now())
        self.assertEqual([], self.fleet.in_doubt())
        self.assertTrue(self.announcements.is_leaving(self.endpoint))

    def test_returned_endpoint_may_leave_again(self):
        self.respond(leaving=True)
        restarted = self.restart()
        self.clock.advance(1.0)
        self.announcements.record_serving(restarted, self.clock.now())
        self.clock.advance(1.0)
        self.respond(leaving=True)
        self.assertTrue(self.announcements.is_leaving(restarted))


class PeerNoticeTest(AnnouncementsTestCase):
    def notify(self, is_leaving, started_ms, age_ms):
        process_id = (self.endpoint.id, started_ms)
        notice = departures.DepartureNotice(
            process_id, is_leaving, self.clock.now() - age_ms
        )
        self.announcements.record_peer(
            announcements.Notice(process_id, departure=notice)
        )

    def is_leaving(self):
        return self.announcements.is_leaving(self.endpoint)

    def test_later_health_check_of_a_peer_voids_the_announcement(self):
        self.respond(leaving=True)
        self.clock.advance(departures.PEER_MARGIN_MS + 100.0)
        self.notify(False, started_ms=2, age_ms=50.0)
        self.assertFalse(self.is_leaving())

    # Guards against DRAIN: a datagram that was on its way for a while voiding
    # what was announced after the health check.
    def test_health_check_shortly_after_the_announcement_does_not(self):
        self.respond(leaving=True)
        self.clock.advance(departures.PEER_MARGIN_MS - 1.0)
        self.notify(False, started_ms=2, age_ms=0.0)
        self.assertTrue(self.is_leaving())

    # Guards against DRAIN: a datagram that was on its way for a while voiding
    # what is heard afterwards and was announced after the health check.
    def test_delayed_health_check_does_not_void_a_later_announcement(self):
        self.respond(leaving=True)
        self.clock.advance(departures.PEER_MARGIN_MS + 100.0)
        # The check was sent 1.5 s ago, and its age is that of the sending.
        self.notify(False, started_ms=2, age_ms=0.0)
        self.assertFalse(self.is_leaving())
        self.notify(True, started_ms=2, age_ms=1_000.0)
        self.assertTrue(self.is_leaving())

    def test_late_notice_of_a_void_announcement_changes_nothing(self):
        self.respond(leaving=True)
        self.clock.advance(1_000.0)
        self.announcements.record_serving(
            fakes.endpoint(self.endpoint.id, started_ms=2), self.clock.now()
        )
        self.clock.advance(500.0)
        self.notify(True, started_ms=1, age_ms=1_500.0)
        self.assertFalse(self.is_leaving())
        self.notify(True, started_ms=1, age_ms=0.0)
        self.assertTrue(self.is_leaving())

    def test_peers_learn_of_the_return_in_place_of_the_departure(self):
        self.respond(leaving=True)
        self.clock.advance(1_000.0)
        restarted = fakes.endpoint(self.endpoint.id, started_ms=2)
        self.announcements.record_serving(restarted, self.clock.now())
        [notice] = self.announcements.to_gossip()
        self.assertEqual(
            (restarted.process_id, False),
            (notice.process_id, notice.departure.is_leaving),
        )


class WaitTest(AnnouncementsTestCase):
    def test_endpoint_gets_nothing_for_as_long_as_it_asks(self):
        self.respond(wait_ms=2_000.0)
        self.assertEqual(0, self.count_sent(2.0))

    def test_one_request_tells_whether_the_wait_is_over(self):
        self.respond(wait_ms=1_000.0)
        self.clock.advance(1_300.0)
        self.assertEqual(1, self.count_sent(0.5))
        self.respond()
        self.assertEqual(10, self.count_sent(0.1))

    def test_trial_without_a_response_is_repeated(self):
        self.respond(wait_ms=1_000.0)
        self.clock.advance(1_300.0)
        self.assertEqual(3, self.count_sent(3.0))

    def test_response_to_an_earlier_request_does_not_end_the_wait(self):
        self.respond(wait_ms=1_000.0)
        self.respond(sent_ms=0.0)
        self.assertEqual(0, self.count_sent(1.0))

    def test_shorter_wait_does_not_replace_a_longer_one(self):
        self.respond(wait_ms=2_000.0)
        self.respond(wait_ms=100.0)
        self.assertEqual(0, self.count_sent(2.0))

    # Guards against BUDGET: an endpoint that started again, and wants no
    # requests for a while, got them once its new entry had been read.
    def test_wait_outlasts_the_entry_of_another_process(self):
        self.respond(wait_ms=2_000.0)
        self.endpoint = fakes.endpoint(self.endpoint.id, started_ms=2)
        self.catalog.apply_endpoint(self.endpoint)
        self.assertEqual(0, self.count_sent(2.0))
        self.assertEqual("wait", self.announcements.describe(self.endpoint))

    def test_response_of_another_process_ends_the_wait(self):
        self.respond(wait_ms=1_000.0)
        self.endpoint = fakes.endpoint(self.endpoint.id, started_ms=2)
        self.clock.advance(1_300.0)
        self.assertEqual(1, self.count_sent(0.5))
        self.respond()
        self.assertEqual(10, self.count_sent(0.1))

    def test_vms_do_not_return_at_the_same_moment(self):
        ends = set()
        for seed in range(20):
            wait = endpoint_wait.EndpointWait(self.clock, random.Random(seed))
            wait.extend(1_000.0)
            ends.add(round(wait.opens_in_ms()))
        self.assertGreater(len(ends), 10)


class RetentionTest(AnnouncementsTestCase):
    def test_processes_that_are_gone_are_forgotten(self):
        self.respond(leaving=True)
        self.announcements.expire([self.endpoint.process_id])
        self.clock.advance(announcements.RETENTION_MS + 1.0)
        self.announcements.expire([self.endpoint.process_id])
        self.assertTrue(self.announcements.is_leaving(self.endpoint))
        self.clock.advance(announcements.RETENTION_MS + 1.0)
        self.announcements.expire([])
        self.assertFalse(self.announcements.is_leaving(self.endpoint))

    def test_waits_of_endpoints_that_are_gone_are_forgotten(self):
        self.respond(wait_ms=1.0)
        self.clock.advance(announcements.RETENTION_MS + 1.0)
        self.announcements.expire([])
        self.assertEqual({}, self.announcements._waits)

    def test_number_of_processes_is_bounded(self):
        for number in range(announcements.MAX_PROCESSES + 10):
            self.announcements.record(
                fakes.endpoint(f"x{number}"),
                announcements.Announcement(
                    limit_per_s=1.0, leaving=True, wait_ms=1.0
                ),
                "id-1",
                0.0,
            )
        for kept in (
            self.announcements._processes,
            self.announcements._waits,
            self.announcements._departures,
        ):
            self.assertEqual(announcements.MAX_PROCESSES, len(kept))
