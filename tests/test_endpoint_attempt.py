"""What an attempt that lost its response says."""

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
    def lost(self, exc):
        return endpoint_attempt.EndpointAttempt(
            None, None, clocks.ManualClock()
        )._lost(exc)

    def test_deadline_is_no_fault_of_the_endpoint(self):
        found = self.lost(TimeoutError("timed out"))
        self.assertEqual((True, False), (found.timed_out, found.crashed))
        self.assertEqual(verdict.Verdict.MAY_HAVE_RUN, found.verdict)

    def test_connection_that_went_silent_is_lost(self):
        # What TCP keep-alive reports, also as a TimeoutError.
        found = self.lost(TimeoutError(errno.ETIMEDOUT, "timed out"))
        self.assertEqual((False, True), (found.timed_out, found.crashed))


class EventSplitterTest(testtools.TestCase):
    def split(self, *blocks):
        splitter = sse.EventSplitter()
        found = [e for block in blocks for e in splitter.feed(block)]
        return [(e.id, e.data) for e in found], splitter.rest

    def test_events_are_cut_at_blank_lines_only(self):
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\n"
        whole = self.split(stream)
        pieces = self.split(*(stream[i : i + 1] for i in range(len(stream))))
        self.assertEqual(whole, pieces)
        self.assertEqual(["1", "2", ""], [found[0] for found in whole[0]])
        self.assertEqual(b"id: 4\n", whole[1])
        self.assertEqual(stream, b"".join(e for _, e in whole[0]) + whole[1])


class CallerHeadersTest(testtools.TestCase):
    def decode(self, **fields):
        rows = tuple(
            (f"x-hornbeampier-{name}".replace("_", "-").encode(), value)
            for name, value in fields.items()
        )
        head = messages.RequestHead(b"POST", b"/x", rows)
        return headers.decode_request(head)

    def test_prompt_of_a_generation(self):
        found = self.decode(
            token_usage=b"1460,80",
            prompt_prefix=b"5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
            length_hint=b"33",
        ).prompt
        self.assertEqual(
            (1460, 80), (found.input_tokens, found.max_output_tokens)
        )
        self.assertEqual(33, found.expected_output_tokens)
        self.assertEqual([800, 410], [p.tokens for p in found.shared_segments])

    def test_unreadable_headers_say_nothing(self):
        found = self.decode(
            deadline_ms=b"soon", token_usage=b"many", prompt_prefix=b"a"
        )
        self.assertIsNone(found.deadline_ms)
        self.assertIsNone(found.prompt)
        for hint in (b"inf", b"nan", b"-1", b"1e999"):
            prompt = self.decode(token_usage=b"1,1", length_hint=hint).prompt
            self.assertIsNone(prompt.expected_output_tokens, hint)
        for parts in (b"a", b"a:x", b":", b"\xff:1,,", b"a:\xb2"):
            prompt = self.decode(token_usage=b"1,1", prompt_prefix=parts).prompt
            self.assertEqual((), prompt.segments, json.dumps(str(parts)))
