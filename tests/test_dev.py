"""`hornbeampier dev` works as its output and the README say.

It is the first thing that a newcomer runs.
"""

import pathlib
import re
import shlex

import testtools

from tests import calls
from tests import processes

README = pathlib.Path(__file__).parent.parent / "README.md"
RUN_SPECIFIC = re.compile(r"(127\.0\.0\.1:)\d+|^\S+(?= ready)|  \S+(?= status)")


def scrub(text):
    return RUN_SPECIFIC.sub(r"\1", text)


class DevTest(testtools.TestCase):
    def test_printed_command_gets_a_response_and_is_in_the_readme(self):
        dev = processes.Process("dev", "--port", 0)
        self.addCleanup(dev.close)
        dev.wait_started()
        output = dev.read_until("Stop it with Ctrl-C.")
        self.assertIn(scrub(output), scrub(README.read_text()))
        curl_args = shlex.split(
            output[output.index("curl") :].partition("\n\n")[0]
        )
        headers = [
            curl_args[i + 1].split(": ")
            for i, arg in enumerate(curl_args)
            if arg == "-H"
        ]
        port, path = re.search(r":(\d+)(/\S+)", curl_args[2]).groups()
        response = calls.call(
            int(port), "POST", path, curl_args[-1].encode(), headers
        )
        self.assertEqual(
            (200, "[DONE]"), (response.status, response.events()[-1])
        )
        dev.interrupt()
        self.assertEqual(0, dev.wait())
