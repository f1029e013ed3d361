"""`hornbeampier dev`, and that the README shows its output."""

import pathlib
import re
import shlex

import testtools

from tests import calls
from tests import processes

README = pathlib.Path(__file__).parent.parent / "README.md"
CHANGING = re.compile(r"(127\.0\.0\.1:)\d+|^\S+(?= ready)|  \S+(?= status)")


def scrub(text):
    return CHANGING.sub(r"\1", text)


class DevTest(testtools.TestCase):
    def test_printed_command_streams_an_answer(self):
        dev = processes.Process("dev", "--port", 0)
        self.addCleanup(dev.close)
        dev.wait_started()
        shown = dev.read_until("Stop it with Ctrl-C.")
        self.assertIn(scrub(shown), scrub(README.read_text()))
        words = shlex.split(shown[shown.index("curl") :].partition("\n\n")[0])
        headers = [
            words[i + 1].split(": ") for i, w in enumerate(words) if w == "-H"
        ]
        port, path = re.search(r":(\d+)(/\S+)", words[2]).groups()
        answer = calls.call(
            int(port), "POST", path, words[-1].encode(), headers
        )
        self.assertEqual((200, "[DONE]"), (answer.status, answer.events()[-1]))
        dev.interrupt()
        self.assertEqual(0, dev.wait())
