"""Plain services: a silent one must not keep its caller waiting."""

import testtools

from tests import embedded
from tests import processes


class ServiceTimeoutTest(testtools.TestCase):
    def test_service_that_is_silent_too_long_ends_in_a_timeout(self):
        def edit_configuration(text):
            limit = 'request_class = "urgent"\ntimeout_ms = 50\n'
            return text.replace('request_class = "urgent"\n', limit, 1)

        with embedded.EmbeddedDeployment(
            services=1, edit_configuration=edit_configuration
        ) as deployment:
            deployment.services[0].app.control.delay_ms = 30_000
            response = deployment.vms[0].call(
                "POST", "/services/entry/pieces", b"x"
            )
            self.assertEqual(
                (504, "endpoint_timeout", "may_have_run"),
                embedded.refusal_fields(response),
            )
            deployment.services[0].app.control.delay_ms = 0
            processes.wait_until(
                lambda: len(deployment.services[0].app.runs) == 1
            )
