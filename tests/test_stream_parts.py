"""What an endpoint has to answer to go on with a stream, and to end one."""

import testtools

from hornbeampier import errors
from hornbeampier.forwarding import sse
from hornbeampier.forwarding import stream_parts
from tests import endpoint_standin
from tests import nodes

TYPE = "Content-Type: text/event-stream"
JSON = "Content-Type: application/json"
CHUNKED = "Transfer-Encoding: chunked"
ERROR = b'{"error":"cannot resume"}\n\n'


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer(*headers, body=b"", status="200 OK"):
    """Returns a handler that sends a response and closes the connection."""

    def handler(req):
        lines = [
            f"HTTP/1.1 {status}",
            endpoint_standin.SEAL,
            f"X-Hornbeampier-Attempt-Id: {req.id}",
            *headers,
        ]
        req.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        req.close_connection()

    return handler


def whole(body, *headers, **more):
    return answer(*headers, f"Content-Length: {len(body)}", body=body, **more)


def events(*numbers, headers=(TYPE,), end=b"0\r\n\r\n"):
    body = b"".join(chunk(event(number)) for number in numbers)
    return answer(*headers, CHUNKED, body=body + end)


class StreamPartTestCase(nodes.NodeTestCase):
    def call(self, *handlers, path="/resume/x", headers=None):
        """Returns the response, if endpoints answer in turn by handlers."""
        waiting = list(handlers)

        def handler(req):
            waiting.pop(0)(req)

        for _ in handlers:
            self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        caller = self.connect(router)
        caller.send("POST", path, headers, body=b"{}")
        return caller.read()


class ContinuationTest(StreamPartTestCase):
    def take_up(self, handler):
        """Returns the response to a stream that broke off after event 2."""
        return self.call(events(1, 2, end=b""), handler)

    def assert_broken_off(self, handler):
        response = self.take_up(handler)
        self.assertEqual(200, response.status)
        self.assertEqual(event(1) + event(2), response.body)
        self.assertFalse(response.complete)

    def assert_complete(self, handler, last=2):
        response = self.take_up(handler)
        whole = b"".join(event(number) for number in range(1, last + 1))
        self.assertEqual(whole, response.body)
        self.assertTrue(response.complete)

    # Guards against ORDER and MIXED: an error's text in the middle of a stream,
    # which then ends as complete.
    def test_text_of_an_error_does_not_go_on_with_a_stream(self):
        self.assert_broken_off(whole(ERROR, JSON))

    def test_created_json_does_not_go_on_with_a_stream(self):
        self.assert_broken_off(whole(ERROR, JSON, status="201 Created"))

    def test_page_does_not_go_on_with_a_stream(self):
        body = b"<html>sorry</html>\n\n"
        self.assert_broken_off(whole(body, "Content-Type: text/html"))

    def test_partial_content_does_not_go_on_with_a_stream(self):
        body = b"data: rest\n\n"
        self.assert_broken_off(
            whole(body, "Content-Type: text/plain", status="206 Partial")
        )

    # Guards against ORDER: a stream that ends as complete before its end, as an
    # endpoint had nothing to say.
    def test_no_content_does_not_end_a_stream(self):
        self.assert_broken_off(answer(status="204 No Content"))

    def test_empty_answer_without_a_type_does_not_end_a_stream(self):
        self.assert_broken_off(whole(b""))

    def test_answer_that_is_closed_after_its_head_does_not_end_a_stream(self):
        self.assert_broken_off(answer(TYPE))

    def test_stream_that_begins_again_and_stops_does_not_end_a_stream(self):
        self.assert_broken_off(events(1))

    # Guards against MIXED: the head of another response in a stream.
    def test_head_of_another_response_is_not_passed_on(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        self.assert_broken_off(
            answer(TYPE, CHUNKED, body=chunk(head) + b"0\r\n\r\n")
        )

    def test_error_event_is_not_passed_on(self):
        body = chunk(b"event: error\ndata: cannot resume\n\n")
        self.assert_broken_off(answer(TYPE, CHUNKED, body=body + b"0\r\n\r\n"))

    def test_events_without_ids_are_not_passed_on(self):
        body = chunk(b"data: piece-3\n\n")
        self.assert_broken_off(answer(TYPE, CHUNKED, body=body + b"0\r\n\r\n"))

    # Guards against ORDER: a piece that is missing where a stream goes on.
    def test_stream_that_goes_on_too_late_is_not_passed_on(self):
        self.assert_broken_off(events(4))

    # Guards against ORDER: events that were passed on and are asked for again.
    def test_events_before_a_bad_one_are_passed_on_once(self):
        body = chunk(event(3) + b"data: no id\n\n") + b"0\r\n\r\n"
        response = self.take_up(answer(TYPE, CHUNKED, body=body))
        self.assertEqual(event(1) + event(2) + event(3), response.body)
        self.assertFalse(response.complete)

    def test_rest_of_a_stream_completes_it(self):
        self.assert_complete(events(3, 4), last=4)

    def test_rest_after_repeated_events_completes_it(self):
        self.assert_complete(events(1, 2, 3), last=3)

    def test_rest_without_a_type_completes_it(self):
        self.assert_complete(events(3, headers=()), last=3)

    def test_rest_of_a_type_with_parameters_completes_it(self):
        headers = (f"{TYPE}; charset=utf-8",)
        self.assert_complete(events(3, headers=headers), last=3)

    # A stream that has lost only its end: the rest is empty.
    def test_empty_stream_of_events_ends_a_stream(self):
        self.assert_complete(events())

    def test_stream_that_is_repeated_to_its_end_ends_it(self):
        self.assert_complete(events(1, 2))


class FirstPartTest(StreamPartTestCase):
    # Guards against ORDER: half of an answer that passes for all of it.
    def test_half_of_another_answer_is_not_complete(self):
        half = answer(JSON, "Content-Length: 99", body=ERROR)
        response = self.call(half, path="/stream/x")
        self.assertEqual(502, response.status)

    def test_another_answer_is_passed_on_whole(self):
        body = b'{"answer": "no stream"}'
        response = self.call(whole(body, JSON), path="/stream/x")
        self.assertEqual((200, body), (response.status, response.body))
        self.assertTrue(response.complete)

    # Guards against ORDER: a stream that ends as complete before its first
    # event, as its endpoint stopped after the head.
    def test_stream_that_is_closed_after_its_head_is_not_complete(self):
        response = self.call(answer(TYPE), path="/stream/x")
        self.assertEqual(502, response.status)

    def test_empty_stream_is_complete(self):
        response = self.call(events(), path="/stream/x")
        self.assertEqual((200, b""), (response.status, response.body))
        self.assertTrue(response.complete)


class TakenUpTest(StreamPartTestCase):
    """The caller takes the stream up itself, after event 2."""

    def take_up(self, handler):
        return self.call(
            handler, headers={"Last-Event-Id": "2", "Resumes": "earlier"}
        )

    # Guards against ORDER: events that the caller has already.
    def test_repeated_events_are_not_passed_on(self):
        response = self.take_up(events(1, 2, 3))
        self.assertEqual(event(3), response.body)
        self.assertTrue(response.complete)

    # Guards against UNASKED: an id whose bytes are changed on the way.
    def test_id_of_the_callers_event_is_passed_on_as_it_is(self):
        received = []

        def handler(req):
            received.append(req.headers["last-event-id"])
            events(3)(req)

        self.call(handler, headers={"Last-Event-Id": "\xe9-2"})
        self.assertEqual(["\xc3\xa9-2"], received)

    # Guards against ORDER: an endpoint that begins again and stops.
    def test_stream_that_stops_before_the_callers_event_is_not_complete(self):
        response = self.take_up(events(1))
        self.assertNotEqual((200, True), (response.status, response.complete))


class EventIdsTest(testtools.TestCase):
    def ids(self, *passed_on, after=""):
        ids = stream_parts.EventIds(after)
        for event_id in passed_on:
            ids.record(event_id)
        return ids

    def test_ids_may_count_by_any_step(self):
        ids = self.ids("4", "8")
        self.assertTrue(ids.follows("12"))
        self.assertFalse(ids.follows("16"))

    def test_any_later_id_follows_uneven_ids(self):
        ids = self.ids("1", "5")
        self.assertTrue(ids.follows("7"))
        self.assertFalse(ids.follows("5"))

    def test_any_other_id_follows_one_that_is_no_number(self):
        ids = self.ids("a")
        self.assertTrue(ids.follows("b"))
        self.assertFalse(ids.follows("a"))

    def test_step_of_a_stream_that_a_caller_takes_up_is_not_known(self):
        self.assertTrue(self.ids(after="7").follows("9"))


class EventFormTest(testtools.TestCase):
    def check(self, data):
        part = stream_parts.StreamPart(self.ids, is_continuation=True)
        (one,) = sse.EventSplitter().feed(data)
        return part.accept(one)

    def setUp(self):
        super().setUp()
        self.ids = stream_parts.EventIds("")
        self.ids.record("1")

    def test_fields_of_events_are_known(self):
        for line in (
            b"data: x",
            b"data",
            b": comment",
            b"event: piece",
            b"retry: 5",
            b"x-hornbeampier-weight-versions: 7",
        ):
            self.ids = stream_parts.EventIds("1")
            self.assertTrue(self.check(line + b"\nid: 2\n\n"))

    def test_comment_needs_no_id(self):
        self.assertTrue(self.check(b": keep-alive\n\n"))

    def test_unknown_lines_are_no_event(self):
        for line in (b"HTTP/1.1 200 OK", b'{"id": 2}', b"content-length: 5"):
            self.assertRaises(
                errors.AttemptError, self.check, line + b"\nid: 2\n\n"
            )
