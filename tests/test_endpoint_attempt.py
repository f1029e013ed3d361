"""Interrupted responses, the splitting of events, and callers' headers."""

import errno
import json

import testtools

from hornbeampier import clock as clocks
from hornbeampier import verdict
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import sse
from hornbeampier.http1 import messages
from hornbeampier.platform import headers


class LostResponseTest(testtools.TestCase):
    def lost_response(self, exc):
        return endpoint_attempt.EndpointAttempt(
            None, None, None, clocks.ManualClock()
        )._lost_response(exc)

    def test_deadline_is_not_reported_as_a_lost_connection(self):
        # A request that reaches its deadline is no fault of the endpoint.
        error = self.lost_response(TimeoutError("timed out"))
        self.assertEqual(
            (True, False), (error.timed_out, error.connection_lost)
        )
        self.assertEqual(verdict.Verdict.MAY_HAVE_RUN, error.verdict)

    def test_dead_connection_is_reported_as_lost_and_not_as_a_timeout(self):
        # TCP keep-alive reports a dead connection as a TimeoutError, too.
        error = self.lost_response(TimeoutError(errno.ETIMEDOUT, "timed out"))
        self.assertEqual(
            (False, True), (error.timed_out, error.connection_lost)
        )


class EventSplitterTest(testtools.TestCase):
    def split(self, *blocks):
        splitter = sse.EventSplitter()
        split_events = [e for block in blocks for e in splitter.feed(block)]
        return [(e.id, e.data) for e in split_events], splitter.incomplete

    def test_events_are_split_at_blank_lines_whatever_the_blocks(self):
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\n"
        one_block = self.split(stream)
        bytewise = self.split(*(stream[i : i + 1] for i in range(len(stream))))
        self.assertEqual(one_block, bytewise)
        self.assertEqual(["1", "2", ""], [event[0] for event in one_block[0]])
        self.assertEqual(b"id: 4\n", one_block[1])
        self.assertEqual(
            stream, b"".join(e for _, e in one_block[0]) + one_block[1]
        )


class CallerHeadersTest(testtools.TestCase):
    def decode(self, **fields):
        rows = tuple(
            (f"x-hornbeampier-{name}".replace("_", "-").encode(), value)
            for name, value in fields.items()
        )
        head = messages.RequestHead(b"POST", b"/x", rows)
        return headers.decode_request(head)

    def test_prompt_is_decoded_from_the_headers(self):
        prompt = self.decode(
            token_usage=b"1460,80",
            prompt_prefix=b"5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
            length_hint=b"33",
        ).prompt
        self.assertEqual(
            (1460, 80), (prompt.input_tokens, prompt.max_output_tokens)
        )
        self.assertEqual(33, prompt.expected_output_tokens)
        self.assertEqual([800, 410], [p.tokens for p in prompt.shared_segments])

    def test_unreadable_headers_are_ignored(self):
        caller_headers = self.decode(
            deadline_ms=b"soon", token_usage=b"many", prompt_prefix=b"a"
        )
        self.assertIsNone(caller_headers.timeout_ms)
        self.assertIsNone(caller_headers.prompt)
        for hint in (b"inf", b"nan", b"-1", b"1e999"):
            prompt = self.decode(token_usage=b"1,1", length_hint=hint).prompt
            self.assertIsNone(prompt.expected_output_tokens, hint)
        for value in (b"a", b"a:x", b":", b"\xff:1,,", b"a:\xb2"):
            prompt = self.decode(token_usage=b"1,1", prompt_prefix=value).prompt
            self.assertEqual((), prompt.segments, json.dumps(str(value)))
