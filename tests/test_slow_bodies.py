"""Callers that send the body of a request a byte now and then."""

import gevent

from tests import nodes


class SlowBodyTest(nodes.NodeTestCase):
    def test_body_that_trickles_in_ends_at_the_deadline(self):
        endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.respond()
        )
        router = self.start_ready_node()
        caller = self.connect(router)
        headers = {
            "Content-Length": "100",
            "X-Hornbeampier-Deadline-Ms": "800",
        }
        caller.send("POST", "/unsafe/x", headers)
        reader = gevent.spawn(caller.read)
        for _ in range(30):
            if reader.ready():
                break
            caller.sock.sendall(b"x")
            gevent.sleep(0.1)
        self.assertTrue(reader.ready())
        self.assertEqual(408, reader.get().status)
        self.assertEqual([], endpoint.received)
