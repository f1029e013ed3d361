"""Faults of the stand-ins must look like connections that were closed."""

import json

import testtools

from hornbeampier import errors
from tests import calls
from tests import embedded


class DroppedConnectionsTest(testtools.TestCase):
    def _assert_dropped(self, port, method, path, body):
        exc = self.assertRaises(
            errors.AttemptError, calls.call, port, method, path, body
        )
        self.assertTrue(exc.connection_lost)

    def test_drops_reach_the_client_as_closed_connections(self):
        crash = {"messages": [{"role": "user", "content": "crash"}]}
        with embedded.EmbeddedDeployment(
            0, engines=1, services=1
        ) as deployment:
            engine, service = deployment.engines[0], deployment.services[0]
            self._assert_dropped(
                engine.server.port,
                "POST",
                "/v1/chat/completions",
                json.dumps(crash).encode(),
            )
            for fault in ("refuse_before_run", "lose_answers", "cut_answers"):
                setattr(service.app.control, fault, 1)
                self._assert_dropped(service.server.port, "PUT", "/x", b"")
            for fault in ("lose_append_answers", "late_appends"):
                setattr(deployment.platform.faults, fault, 1)
                self._assert_dropped(
                    deployment.platform_server.port,
                    "POST",
                    "/streams/s/records",
                    b"record",
                )
