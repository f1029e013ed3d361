"""Requests through separate processes: VMs, engines and a service."""

import testtools

from tests import processes


class EndToEndTest(testtools.TestCase):
    def test_requests_are_served_through_every_vm(self):
        with processes.Deployment(vms=3, engines=2, services=1) as deployment:
            for vm in deployment.vms:
                streamed = vm.chat("Hello tokens=5", stream=True)
                self.assertEqual(200, streamed.status)
                self.assertEqual("[DONE]", streamed.events()[-1])
                unstreamed = vm.chat("Hello tokens=5")
                self.assertEqual(streamed.text(), unstreamed.text())
                echoed = vm.call("PUT", "/services/entry/fees/1", b"paid")
                self.assertEqual("paid", echoed.json()["body"])
            self.assertEqual(3, len(deployment.services[0].runs()))
