"""HTTP exchanges with other processes."""

import gevent
import testtools

from hornbeampier import exchange


class SendTest(testtools.TestCase):
    def test_timeout_of_the_caller_is_not_taken_for_a_refused_connection(self):
        peer = exchange.HttpPeer("127.0.0.1", 9, read_timeout_ms=1_000)
        peer._pool.get_socket = lambda: gevent.sleep(60)
        req = exchange.OutgoingRequest("GET", "/")
        with gevent.Timeout(0.01) as timeout:
            raised = self.assertRaises(gevent.Timeout, peer.send, req)
        self.assertIs(timeout, raised)
