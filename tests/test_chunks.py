"""Bodies in chunks: decoded as h11 decodes them, cheaply and within bounds."""

import contextlib
import random

import gevent
from gevent import socket
import h11
import testtools

from hornbeampier import clock as clocks
from hornbeampier import wsgi
from hornbeampier.callers import connection
from hornbeampier.http1 import chunks
from hornbeampier.http1 import client
from tests import crowds
from tests import fakes
from tests import nodes
from tests import processes

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_FRAMING_BYTES = 4_096
END = b"0\r\n\r\n"


def decode(data, sizes=None):
    """Decodes `data` in parts of the given sizes; None if it is malformed."""
    decoder = chunks.ChunkDecoder(MAX_FRAMING_BYTES)
    body = b""
    try:
        for part in split(data, sizes):
            body += decoder.feed(part)
            if decoder.is_complete:
                break
    except chunks.MalformedChunksError:
        return None
    return body if decoder.is_complete else None


def split(data, sizes):
    position = 0
    for size in sizes or [len(data)]:
        yield data[position : position + size]
        position += size
    if data[position:]:
        yield data[position:]


def decode_with_h11(data):
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(HEAD + data)
    body = b""
    try:
        while not isinstance(event := conn.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return None
    return body


def random_body(rng):
    """Returns a body in chunks that may be malformed in one place."""
    data = b""
    for _ in range(rng.randrange(4)):
        block = rng.randbytes(rng.randrange(1, 20))
        extension = rng.choice([b"", b"", b";a", b";a=b", b';a="b"'])
        data += b"%x%s\r\n%s\r\n" % (len(block), extension, block)
    data += b"0\r\n" + rng.choice([b"", b"", b"A: b\r\n"]) + b"\r\n"
    if rng.random() < 0.5:
        position = rng.randrange(len(data))
        noise = rng.choice([b"", b"\r", b"\n", b" ", b"x", b"0", b"-", b"\0"])
        data = data[:position] + noise + data[position + rng.randrange(2) :]
    return data


class ChunkDecoderTest(testtools.TestCase):
    # Guards against bodies that two parsers read in two ways.
    def test_whatever_is_accepted_is_read_as_h11_reads_it(self):
        rng = random.Random(49)
        accepted = 0
        for _ in range(5_000):
            data = random_body(rng)
            sizes = [rng.randrange(1, 9) for _ in range(rng.randrange(30))]
            body = decode(data, sizes)
            self.assertEqual(decode(data), body, data)
            if body is not None:
                accepted += 1
                self.assertEqual(decode_with_h11(data), body, data)
        self.assertGreater(accepted, 2_000)

    # Guards against a body that takes up what follows it.
    def test_input_after_the_body_is_not_part_of_it(self):
        for more in (
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nother",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
            b"no request",
        ):
            decoder = chunks.ChunkDecoder(MAX_FRAMING_BYTES)
            self.assertEqual(b"abc", decoder.feed(b"3\r\nabc\r\n" + END + more))
            self.assertTrue(decoder.is_complete)
            self.assertTrue(decoder.has_more)

    def test_connection_stays_usable_after_a_body_without_more(self):
        decoder = chunks.ChunkDecoder(MAX_FRAMING_BYTES)
        decoder.feed(b"3\r\nabc\r\n" + END)
        self.assertFalse(decoder.has_more)

    # Guards against framing without an end.
    def test_framing_without_an_end_is_refused(self):
        for start, part in (
            (b"1;x=", b"y"),
            (b"0\r\nA: ", b"b"),
            (b"0\r\n", b"A: b\r\n"),
        ):
            decoder = chunks.ChunkDecoder(MAX_FRAMING_BYTES)
            decoder.feed(start)
            self.assertRaises(
                chunks.MalformedChunksError, self.feed_on, decoder, part
            )

    def feed_on(self, decoder, part):
        for _ in range(100):
            decoder.feed(part * 1_000)


class ResponseInSmallChunksTest(testtools.TestCase):
    """An endpoint that sends its response in chunks of one byte."""

    CHUNKS = 2_000

    # Guards against responses that hold up everybody else.
    def test_other_tasks_run_while_a_response_is_read(self):
        class Endpoint:
            data = (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"1\r\nx\r\n" * self.CHUNKS
                + END
            )

            def settimeout(self, timeout):
                del timeout

            def sendall(self, data):
                del data

            def recv(self, size):
                part, self.data = self.data[:size], self.data[size:]
                return part

        turns = 0

        def count_turns():
            nonlocal turns
            while True:
                turns += 1
                gevent.sleep(0)

        task = gevent.spawn(count_turns)
        self.addCleanup(task.kill)
        conn = client.ClientConnection(Endpoint(), clocks.ManualClock())
        head = client.messages.RequestHead(b"GET", b"/", ((b"host", b"x"),))
        response = conn.call(head, 1_000.0, 65_536)
        self.assertEqual(self.CHUNKS, len(response.body))
        self.assertGreater(turns, self.CHUNKS // 200)


class FollowingInputTest(nodes.NodeTestCase):
    """Clients that send more at once with a body in chunks."""

    MORE = b"GET / HTTP/1.1\r\nHost: site.example\r\n\r\n" * 1_000

    def talk(self, address, request):
        """Sends a request and more; returns all that was received.

        Raises:
            ConnectionResetError: The connection was reset, so that a client
                could have lost the response.
        """
        sock = socket.create_connection(address, timeout=crowds.PATIENCE_S)
        self.addCleanup(sock.close)

        def send():
            with contextlib.suppress(OSError):
                sock.sendall(request + b"1\r\nx\r\n" + END + self.MORE)

        gevent.spawn(send)
        received = b""
        while data := sock.recv(crowds.RECEIVE_BYTES):
            received += data
        return received

    def check(self, received):
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:80])
        self.assertEqual(1, received.count(b"HTTP/1.1 "))

    # Guards against a response that is lost, as its connection is reset.
    def test_response_of_a_node_arrives_if_more_follows_its_request(self):
        self.start_endpoint(nodes.PLAIN_SERVICE, lambda req: req.respond())
        router = self.start_ready_node()
        fields = {
            "Host": "site.example",
            "Authorization": f"Token {nodes.KEY}",
            "X-Hornbeampier-Attempt-Id": "first",
            "X-Hornbeampier-Deadline-Ms": 4_000,
            "Transfer-Encoding": "chunked",
        }
        address = (router.cfg.callers.host, router.cfg.callers.port)
        self.check(self.talk(address, crowds.head("/unsafe/x", fields)))

    # Guards against a response that is lost, as its connection is reset.
    def test_response_of_serve_arrives_if_more_follows_its_request(self):
        def app(environ, start_response):
            body = environ["wsgi.input"].read_body(100)
            return wsgi.json_response(start_response, 200, len(body))

        server = connection.CallerServer(
            processes.HOST, 0, app, 10, fakes.memory_budget()
        )
        server.start()
        self.addCleanup(server.stop)
        fields = {"Host": "site.example", "Transfer-Encoding": "chunked"}
        address = (processes.HOST, server.port)
        self.check(self.talk(address, crowds.head("/x", fields)))
