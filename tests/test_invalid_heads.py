"""Heads of responses that RFC 9110 and RFC 9112 call invalid.

No caller gets such a response, nor a line of its head: it is refused with 502.
"""

from gevent import server
import testtools

from hornbeampier import errors
from hornbeampier import http_client
from tests import endpoint_standin
from tests import nodes

INVALID_STATUSES = (
    "000",
    "001",
    "099",
    "600",
    "999",
    "20",
    "0200",
    "2000",
    "+20",
    "-20",
    "2x0",
    "OK",
    "٢٠٠",
)
# Valid, though no standard defines all of them.
VALID_STATUSES = ("200", "299", "499", "599")
# The name of a field ends at its colon, and is a token.
INVALID_FIELDS = {
    "a blank within": b"X Name: a",
    "a blank after": b"X-Name : a",
    "a blank before": b" X-Name: a",
    "a tab within": b"X\tName: a",
    "a tab after": b"X-Name\t: a",
    "a tab before": b"\tX-Name: a",
    "a zero byte": b"X-\0Name: a",
    "a bell": b"X-\x07Name: a",
    "a delete": b"X-Name\x7f: a",
    "a form feed": b"\x0cX-Name: a",
    "no name": b": a",
    "no colon": b"X-Name",
    "brackets": b"X(Name): a",
    "a byte above 127": b"X-N\xe4me: a",
    "a length before a blank": b"Content-Length : 3",
    "a length with a zero byte": b"Content-\0Length: 3",
    "a folded length": b"Content-Length:\r\n 3",
}
# Names of those that are folded lines after another field.
FOLDED = ("a blank before", "a tab before", "a folded length")
# Names of those that are also sent in trailers and in interim heads.
OTHER_PLACES = (
    "a blank within",
    "a blank after",
    "a tab within",
    "a zero byte",
    "no name",
    "a byte above 127",
    "a length before a blank",
)
BODY = b"whole"


def head_of(req, *fields, status="200", content_type="text/plain"):
    lines = [
        f"HTTP/1.1 {status} Status",
        endpoint_standin.SEAL,
        f"X-Hornbeampier-Attempt-Id: {req.id}",
        f"Content-Type: {content_type}",
    ]
    encoded = [line.encode() for line in lines]
    return b"\r\n".join([*encoded, *fields]) + b"\r\n\r\n"


class InvalidHeadCase(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.endpoints = [
            self.start_endpoint(service, lambda req: self.handler(req))
            for service in (nodes.PLAIN_SERVICE, nodes.ENGINE_SERVICE)
        ]
        self.router = self.start_ready_node()

    def statuses(self, path, *parts_of_requests):
        """Returns the status that a caller gets for each response.

        Args:
            path: The path of the requests.
            parts_of_requests: Functions that return the response's bytes.
        """
        statuses = []
        for make_response in parts_of_requests:

            def respond(req, make_response=make_response):
                req.send(make_response(req))
                req.close_connection()

            self.handler = respond
            statuses.append(self.call(self.router, "POST", path).status)
        return statuses


class StatusTest(InvalidHeadCase):
    def check(self, path, content_type, texts, expected):
        def make(text):
            return lambda req: (
                head_of(
                    req,
                    b"Content-Length: 5",
                    status=text,
                    content_type=content_type,
                )
                + BODY
            )

        received = self.statuses(path, *map(make, texts))
        self.assertEqual(
            list(zip(texts, expected, strict=True)),
            list(zip(texts, received, strict=True)),
        )

    # Guards against a status that is none reaching callers as a response.
    def test_invalid_status_of_a_body_is_refused(self):
        refused = [502] * len(INVALID_STATUSES)
        for path in ("/unsafe/x", "/safe/x"):
            self.check(path, "text/plain", INVALID_STATUSES, refused)

    # The same for a response that would be a stream.
    def test_invalid_status_of_a_stream_is_refused(self):
        refused = [502] * len(INVALID_STATUSES)
        for path in ("/stream/x", "/resume/x"):
            self.check(path, "text/event-stream", INVALID_STATUSES, refused)

    # Guards against sound responses that are refused.
    def test_unknown_status_is_passed_on(self):
        expected = [int(text) for text in VALID_STATUSES]
        self.check("/unsafe/x", "text/plain", VALID_STATUSES, expected)


class FieldNameTest(InvalidHeadCase):
    def check(self, names, make_response):
        """Checks that a response with each line is refused.

        `make_response` returns the response to a request with a line.
        """

        def make(name):
            return lambda req: make_response(req, INVALID_FIELDS[name])

        for path in ("/unsafe/x", "/stream/x"):
            received = self.statuses(path, *map(make, names))
            self.assertEqual(
                [(name, 502) for name in names],
                list(zip(names, received, strict=True)),
            )

    # Guards against lines that are no fields reaching callers, and against
    # bodies of another length than the endpoint's.
    def test_invalid_name_is_refused(self):
        self.check(
            INVALID_FIELDS,
            lambda req, line: head_of(req, b"Content-Length: 5", line) + BODY,
        )

    # The same where the end of the connection ends the body.
    def test_invalid_name_without_a_length_is_refused(self):
        names = [name for name in INVALID_FIELDS if name not in FOLDED]
        self.check(names, lambda req, line: head_of(req, line) + BODY)

    # The same in the other places that hold fields.
    def test_invalid_name_in_the_first_line_is_refused(self):
        def respond(req, line):
            head = head_of(req, b"Content-Length: 5")
            return head.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1) + BODY

        self.check(INVALID_FIELDS, respond)

    def test_invalid_name_in_a_trailer_is_refused(self):
        def respond(req, line):
            head = head_of(req, b"Transfer-Encoding: chunked")
            return head + b"5\r\nwhole\r\n0\r\n" + line + b"\r\n\r\n"

        self.check(OTHER_PLACES, respond)

    def test_invalid_name_in_an_interim_head_is_refused(self):
        def respond(req, line):
            interim = b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n\r\n"
            return interim + head_of(req, b"Content-Length: 5") + BODY

        self.check(OTHER_PLACES, respond)

    # Guards against a value that is joined from two lines reaching callers, and
    # against a body cut to a length that was folded.
    def test_folded_line_is_refused(self):
        self.check(FOLDED, lambda req, line: head_of(req, line) + BODY)

    # The same in the heads before the final one, and after them.
    def test_folded_line_in_an_interim_head_is_refused(self):
        def respond(req, line):
            interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n"
            head = head_of(req, b"Content-Length: 5")
            return interim + line + b"\r\n\r\n" + head + BODY

        self.check(FOLDED, respond)

    def test_folded_line_after_an_interim_head_is_refused(self):
        def respond(req, line):
            interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            return interim + head_of(req, line) + BODY

        self.check(FOLDED, respond)

    # Guards against sound responses that are refused for what their body holds.
    def test_line_of_a_body_may_begin_with_a_blank(self):
        def respond(req):
            head = head_of(req, b"Content-Length: 7")
            return head + b"\n a\r\n\tb"

        self.assertEqual([200], self.statuses("/unsafe/x", respond))


class HttpClientTest(testtools.TestCase):
    """The client of `serve`."""

    def call(self, head):
        def handle(sock, _):
            sock.recv(65_536)
            sock.sendall(head + b"\r\nContent-Length: 5\r\n\r\n" + BODY)
            sock.close()

        standin = server.StreamServer((nodes.HOST, 0), handle)
        standin.start()
        self.addCleanup(standin.stop)
        client = http_client.HttpClient(nodes.HOST, standin.server_port, 2_000)
        return client.call(http_client.OutgoingRequest("GET", "/"))

    def passed_on(self, heads):
        """Returns the names of the heads that are not refused."""
        passed = []
        for name, head in heads.items():
            try:
                self.call(head)
            except errors.AttemptError:
                continue
            passed.append(name)
        return passed

    # Guards against a status that is none reaching callers as a response.
    def test_invalid_status_is_refused(self):
        heads = {
            text: f"HTTP/1.1 {text} Status".encode()
            for text in INVALID_STATUSES
        }
        self.assertEqual([], self.passed_on(heads))

    # Guards against sound responses that are refused.
    def test_unknown_status_is_passed_on(self):
        for text in VALID_STATUSES:
            status, body = self.call(f"HTTP/1.1 {text} Status".encode())
            self.assertEqual((int(text), BODY), (status, body))

    # Guards against lines that are no fields reaching callers.
    def test_invalid_name_is_refused(self):
        heads = {
            name: b"HTTP/1.1 200 OK\r\nX-A: b\r\n" + line
            for name, line in INVALID_FIELDS.items()
        }
        self.assertEqual([], self.passed_on(heads))
