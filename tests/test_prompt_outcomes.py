"""What logs and metrics tell of prompts by their size."""

import contextlib

from structlog import testing
import testtools

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import node_metrics
from hornbeampier import verdict
from hornbeampier.forwarding import prompt_outcomes
from hornbeampier.forwarding import streams
from hornbeampier.http1 import caller_watch
from hornbeampier.http1 import messages
from hornbeampier.ingress import caller_handler
from hornbeampier.routing import catalog
from hornbeampier.routing import load_shedding
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import prompt_sizes
from tests import log_levels
from tests import routing_fakes as fakes

ROUTE = fakes.route("draft")
# What ends a request early.
ENDS = (Exception, caller_watch.CallerGoneError)
REFUSED = load_shedding.RefusedPrompt(
    endpoint_id="e1",
    kind=prompt_kinds.PromptKind.BATCH,
    tokens=45_000,
    own_ms=900.4,
    ahead_ms=700.0,
    limit_ms=1_440.0,
    prefill_utilization=0.281,
    speed_factor=1.0,
)


class PromptSizesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sizes = prompt_sizes.PromptSizes()

    def rank(self, tokens, route=ROUTE):
        return self.sizes.rank(fakes.request(fakes.prompt(tokens), route))

    def test_sizes_are_compared_within_a_route(self):
        for tokens in range(1_000, 101_000, 1_000):
            self.rank(tokens)
            self.rank(5, fakes.route("caption"))
        self.assertEqual(prompt_sizes.SizeBand.LARGEST, self.rank(95_000))
        self.assertEqual(prompt_sizes.SizeBand.LARGE, self.rank(80_000))
        self.assertEqual(prompt_sizes.SizeBand.OTHER, self.rank(50_000))

    def test_first_prompts_have_no_rank(self):
        self.assertEqual(prompt_sizes.SizeBand.UNRANKED, self.rank(50_000))

    def test_routes_without_prompts_are_forgotten(self):
        for number in range(2 * prompt_sizes.MAX_ROUTES):
            self.rank(1_000, fakes.route(f"route-{number}"))
        self.assertEqual(prompt_sizes.MAX_ROUTES, len(self.sizes._samples))

    def test_old_sizes_are_forgotten(self):
        for _ in range(300):
            self.rank(50_000)
        for _ in range(2 * prompt_sizes.SAMPLE_COUNT):
            self.rank(1_000)
        self.assertEqual(prompt_sizes.SizeBand.LARGEST, self.rank(2_000))


class PromptOutcomesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = node_metrics.NodeMetrics()
        self.outcomes = prompt_outcomes.PromptOutcomes(self.metrics)

    def count(self, exc=None, prompt=None):
        req = fakes.request(prompt or fakes.prompt(1_000), ROUTE)
        with contextlib.suppress(*ENDS), self.outcomes.count(req):
            if exc is not None:
                raise exc
        return self.metrics.render(1).decode()

    def test_served_refused_left_and_cut_prompts_are_told_apart(self):
        refused = load_shedding.OverloadError(REFUSED, 200.0)
        cut = errors.RefusalError(
            504,
            errors.RefusalCode.ENDPOINT_TIMEOUT,
            "",
            verdict.Verdict.MAY_HAVE_RUN,
        )
        cases = (
            (None, "served"),
            (refused, "refused"),
            (cut, "cut"),
            (streams.InterruptedStreamError(""), "cut"),
            (caller_watch.CallerGoneError(), "left"),
        )
        for exc, outcome in cases:
            self.assertIn(f'outcome="{outcome}"', self.count(exc))
        line = 'outcome="cut",route="draft",size="unranked"} 2'
        self.assertIn(line, self.count())

    def test_requests_without_a_prompt_are_not_counted(self):
        with self.outcomes.count(fakes.request(None, ROUTE)):
            pass
        text = self.metrics.render(1).decode()
        self.assertNotIn("hornbeampier_prompts_total{", text)


class _Connection:
    """A connection whose requests have no body."""

    def read_body(self, *limits):
        del limits
        return b""

    def watch_caller(self):
        return contextlib.nullcontext()

    def respond(self, status, headers, body):
        self.status = status


class _Accepted:
    limits = caller_handler.INITIAL_LIMITS
    deadline_ms = 10_000.0

    def with_body(self, body):
        del body
        return fakes.request(fakes.prompt(REFUSED.tokens), ROUTE)


class _Admission:
    def wait_for_start(self):
        pass

    def check(self, head, arrived_ms):
        del head, arrived_ms
        return _Accepted()


class _Forwarder:
    def forward(self, req, conn, check_time):
        del req, conn, check_time
        raise load_shedding.OverloadError(REFUSED, 200.0)


class RefusalLogTest(testtools.TestCase):
    def test_refused_prompt_is_logged_with_its_size_and_its_own_wait(self):
        log_levels.log_all(self)
        handler = caller_handler.CallerHandler(
            catalog.Catalog(),
            _Admission(),
            _Forwarder(),
            node_metrics.NodeMetrics(),
            clocks.ManualClock(),
        )
        head = messages.RequestHead(b"POST", b"/draft/x", ())
        conn = _Connection()
        with testing.capture_logs() as rows:
            handler.handle(conn, head)
        row = next(row for row in rows if row["event"] == "refused")
        self.assertEqual(503, conn.status)
        self.assertEqual(
            ("batch", 45_000, 900, 700, 1_440),
            tuple(
                row[field]
                for field in (
                    "kind",
                    "prompt_tokens",
                    "own_ms",
                    "ahead_ms",
                    "limit_ms",
                )
            ),
        )
