"""What endpoints announce about themselves in their responses."""

from structlog import testing
import testtools

from hornbeampier import clock as clocks
from hornbeampier.http1 import messages
from hornbeampier.platform import announcements as decoder
from hornbeampier.routing import announcements
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


class AnnouncementLogTest(testtools.TestCase):
    def test_only_changes_are_logged(self):
        kept = announcements.Announcements(clocks.ManualClock())
        limited = announcements.Announcement(limit_per_s=2.0)
        with testing.capture_logs() as rows:
            for announcement in (
                announcements.NO_ANNOUNCEMENT,
                limited,
                limited,
                announcements.NO_ANNOUNCEMENT,
            ):
                kept.record(fakes.endpoint("e1"), announcement, "id-1")
        self.assertEqual([2.0, None], [row["limit_per_s"] for row in rows])
        self.assertEqual({"id-1"}, {row["request_id"] for row in rows})
