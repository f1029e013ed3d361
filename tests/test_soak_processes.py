"""The processes of a soak, which faults end and start beside each other."""

from unittest import mock

import gevent
import testtools

from tests.soak import processes

START_S = 0.2


class SlowStartTest(testtools.TestCase):
    """Starting a process lets other tasks run, for long on a busy machine."""

    def setUp(self):
        super().setUp()
        self.started = []
        self.patch(processes.subprocess, "Popen", self.start_slowly)
        self.vm = processes.NodeProcess(0, "127.0.0.8", [], 1)
        self.addCleanup(self.vm.close)
        self.vm.start()
        self.started[0].poll.return_value = -9
        start = gevent.spawn(self.vm.start)
        self.addCleanup(start.join)
        gevent.sleep(START_S / 2)

    def start_slowly(self, *args, **kwargs):
        gevent.sleep(START_S)
        process = mock.Mock()
        process.poll.return_value = None
        self.started.append(process)
        return process

    # Guards against a second process of a VM, which no fault and not the end
    # of the soak ends: the first one cannot have its port.
    def test_process_that_is_starting_has_not_ended(self):
        self.assertFalse(self.vm.has_ended())
        gevent.sleep(START_S)
        self.assertFalse(self.vm.has_ended())

    def test_signal_reaches_the_process_that_is_starting(self):
        self.vm.signal(15)
        self.started[1].send_signal.assert_called_once_with(15)
