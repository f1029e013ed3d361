"""Plain services: a silent one must not keep its caller waiting."""

import testtools

from tests import embedded
from tests import processes


class ServiceTimeoutTest(testtools.TestCase):
    def test_service_that_is_silent_too_long_ends_in_a_timeout(self):
        def change(text):
            limit = 'request_class = "urgent"\ntimeout_ms = 50\n'
            return text.replace('request_class = "urgent"\n', limit, 1)

        with embedded.Embedded(services=1, change=change) as site:
            site.services[0].app.control.delay_ms = 30_000
            response = site.vms[0].call("POST", "/services/entry/pieces", b"x")
            self.assertEqual(
                (504, "endpoint_timeout", "may_have_run"),
                embedded.refusal(response),
            )
            site.services[0].app.control.delay_ms = 0
            processes.wait_until(lambda: len(site.services[0].app.runs) == 1)
