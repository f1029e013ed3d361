"""docs/OPERATIONS.md explains all log events, refusals, metrics and exit codes.

The README lists the commands, apart from `version`.
"""

import pathlib
import re

import testtools

from hornbeampier import cli
from hornbeampier import errors
from hornbeampier import metrics
from hornbeampier import status

ROOT = pathlib.Path(__file__).parent.parent
EVENT = re.compile(
    r"_log\.(?:debug|info|warning|error|exception)\(\s*\"(\w+)\""
)
METRIC = re.compile(r"^# TYPE (\w+)", re.MULTILINE)


class OperationsPageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.page = (ROOT / "docs" / "OPERATIONS.md").read_text()

    def assert_documented(self, names, text):
        self.assertEqual([], [n for n in names if f"`{n}`" not in text])

    def test_every_log_event_is_explained(self):
        sources = (ROOT / "hornbeampier").rglob("*.py")
        events = {e for s in sources for e in EVENT.findall(s.read_text())}
        self.assertIn("routed", events)
        self.assert_documented(sorted(events), self.page)

    def test_every_refusal_and_metric_is_explained(self):
        self.assert_documented([c.value for c in errors.RefusalCode], self.page)
        text = metrics.Metrics().render().decode()
        self.assert_documented(METRIC.findall(text), self.page)

    def test_every_exit_code_and_command_is_explained(self):
        codes = set(
            re.findall(r"\| (\d) \||[cC]ode (\d)| and (\d) a", self.page)
        )
        documented = {int(c) for row in codes for c in row if c}
        self.assertEqual({s.value for s in status.ExitStatus}, documented)
        readme = (ROOT / "README.md").read_text()
        commands = cli.app.registered_commands
        names = {c.name or c.callback.__name__ for c in commands}
        documented_commands = set(
            re.findall(r"\| `hornbeampier ([\w-]+)", readme)
        )
        self.assertEqual(names - {"version"}, documented_commands - {"standin"})
