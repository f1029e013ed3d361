"""A node's log lines, the history of a request from them, and its metrics."""

import io
import json
import os
import pathlib
import tempfile

from structlog import testing
import testtools

from hornbeampier import clock as clocks
from hornbeampier import commands
from hornbeampier import environment
from hornbeampier import explain
from hornbeampier import log_stream
from hornbeampier import status
from tests import nodes


class LogStreamTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.clock = clocks.ManualClock()
        self.stream = log_stream.LogStream(self.writer, self.clock)
        self.stream.start()

    def test_number_of_suppressed_lines_is_logged(self):
        for _ in range(int(log_stream.BURST_LINES) + 25):
            self.stream.write("x\n")
        self.clock.advance(1_000.0)
        self.stream.write("last\n")
        self.stream.stop()
        lines = os.read(self.reader, 65_536).decode().splitlines()
        suppressed = json.loads(lines[-2])
        self.assertEqual(25, suppressed["count"])
        self.assertEqual("last", lines[-1])

    def test_stalled_reader_does_not_block_writers(self):
        for _ in range(1_000):
            self.stream.write("x" * 1_000 + "\n")
        self.stream.stop()
        self.assertTrue(self.stream._queue)


class ExplainTest(nodes.NodeTestCase):
    def logged_events(self, handler, path="/unsafe/x"):
        self.start_endpoint(nodes.PLAIN_SERVICE, handler)
        router = self.start_ready_node()
        own_id = {"X-Hornbeampier-Attempt-Id": "me"}
        with testing.capture_logs() as rows:
            self.call(router, "POST", path, headers=own_id)
        lines = [f"vm-1 {json.dumps(row, default=str)}" for row in rows]
        return [step.event for step in explain.find_steps(lines, "me")]

    def test_lost_response_shows_the_failed_attempt_and_refusal(self):
        events = self.logged_events(lambda req: req.close_connection())
        self.assertEqual(["routed", "attempt_failed", "refused"], events)

    def test_served_request_shows_its_route_and_response(self):
        events = self.logged_events(lambda req: req.respond())
        self.assertEqual(["routed", "served"], events)

    def test_unknown_request_id_is_an_error(self):
        path = pathlib.Path(self.write_file("not a log line\n"))
        env = environment.Environment(stdout=io.StringIO())
        env.stderr = io.StringIO()
        result = commands.explain(env, "nobody", [path])
        self.assertEqual(status.ExitStatus.ERROR, result)
        self.assertIn(
            "no log line has request id nobody", env.stderr.getvalue()
        )

    def write_file(self, text):
        path = pathlib.Path(tempfile.mkdtemp()) / "vm.log"
        path.write_text(text)
        self.addCleanup(path.unlink)
        return path


class MetricsTest(nodes.NodeTestCase):
    def test_responses_and_configuration_version_are_exported(self):
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        router = self.start_ready_node()
        self.call(router)
        self.call(router, path="/none/x")
        caller = nodes.Caller(router._metrics_address)
        self.addCleanup(caller.close)
        caller.send("GET", "/metrics")
        text = caller.read().body.decode()
        self.assertIn('route="safe",status="200"', text)
        self.assertIn('code="not_found"', text)
        self.assertIn("hornbeampier_configuration_version 1", text)
