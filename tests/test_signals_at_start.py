"""Signals that reach a node's process while it starts."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import gevent
import testtools

SIGNAL_S = 0.3


class HangupTest(testtools.TestCase):
    # Guards against a change of the settings ending a VM that is starting.
    def test_hangup_does_not_end_a_process_that_starts(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        # The process waits for the text of its settings.
        path = pathlib.Path(directory.name) / "node.yaml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "hornbeampier", "node"],
            env={**os.environ, "HORNBEAMPIER_SETTINGS": str(path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        with path.open("w"):
            process.send_signal(signal.SIGHUP)
            gevent.sleep(SIGNAL_S)
            self.assertIsNone(process.poll())
