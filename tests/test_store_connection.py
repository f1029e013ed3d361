"""Responses of the platform's store that come late or twice."""

import gevent
from gevent import server
import testtools

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import connection
from hornbeampier.platform import settings

HOST = "127.0.0.1"
MAX_BYTES = 65_536
TIMEOUT_MS = 400.0
LATE_S = 0.6


class StoreConnectionTest(testtools.TestCase):
    def start(self, respond):
        """Starts a store that calls `respond` for each request."""
        self.conns = []

        def serve(sock, _):
            self.conns.append(sock)
            while data := sock.recv(65_536):
                respond(sock, data.split(b" ")[1])

        listener = server.StreamServer((HOST, 0), serve)
        listener.start()
        self.addCleanup(listener.stop, timeout=0)
        self.clock = clocks.SystemClock()
        self.store = connection.ServiceConnection(
            settings.Address(HOST, listener.server_port), self.clock
        )
        self.addCleanup(self.store.close)

    def call(self, target):
        return self.store.call(
            b"GET", target, self.clock.now() + TIMEOUT_MS, MAX_BYTES
        ).body

    def response(self, body):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )

    # Guards against a call that gets the response to the call before it, whose
    # time had run out.
    def test_late_response_is_not_that_of_the_next_call(self):
        def respond(sock, target):
            if target == b"/1":
                gevent.sleep(LATE_S)
            sock.sendall(self.response(target))

        self.start(respond)
        self.assertRaises(errors.PlatformError, self.call, "/1")
        self.assertEqual(b"/2", self.call("/2"))
        gevent.sleep(2 * LATE_S)
        self.assertEqual(b"/3", self.call("/3"))

    # Guards against a call that gets a second copy of an earlier response, in
    # the same segment or after it.
    def test_second_copy_is_not_the_response_to_the_next_call(self):
        def respond(sock, target):
            copy = self.response(target)
            sock.sendall(2 * copy)
            sock.sendall(copy)

        self.start(respond)
        for number in range(5):
            target = f"/{number}"
            self.assertEqual(target.encode(), self.call(target))
            gevent.sleep(0.01)
        self.assertEqual(5, len(self.conns))
