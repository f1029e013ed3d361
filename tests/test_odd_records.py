"""Generated entries, configurations and responses on a complete node.

Whatever comes from outside, each caller gets a response, and no part of the
node raises an error that nobody expects.
"""

import itertools
import json

import hypothesis
from hypothesis import strategies
from structlog import testing
import testtools

from hornbeampier import errors
from hornbeampier.peers import messages as gossip_messages
from hornbeampier.platform import cache_lists
from hornbeampier.platform import duty_store
from hornbeampier.platform import names
from hornbeampier.replication import messages
from tests import nodes

EXAMPLES = 300
# Log events of errors that nobody expected.
FAULTS = {"internal_error", "record_skipped", "task_failed", "read_failed"}
LONG = int("9" * 400)
integers = strategies.just(LONG) | strategies.sampled_from(
    (0, -1, 1, 7, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, -(2**63))
)
floats = strategies.sampled_from((0.0, -0.5, 0.5, 40.0, 1e12, 1e17, 1e308))
# Those that are valid and shorter end connections at once.
timeouts = strategies.sampled_from((0.0, -0.5, 400.0, 1e12, 1e17, 1e308))
texts = strategies.sampled_from(
    ("", "a", "\0", "a\r\nb: c", "\udc00", "\ud83d\ude00", "/", "x" * 5_000)
)
nested = strategies.sampled_from(([[[]]], {"a": {"b": [1]}}, "[" * 50_000))
odd_types = texts | nested | strategies.none()
# Not flattened, so that either half is as likely.
values = strategies.booleans().flatmap(
    lambda is_integer: integers if is_integer else floats | odd_types
)
addresses = strategies.sampled_from(
    ("127.0.0.9:9", "127.0.0.9:0", "a..b:80", "[::1]:9", "::1:9", ":9", "9")
)


def fuzz(strategy, check):
    """Calls `check` with generated values, the same in each run."""

    @hypothesis.settings(
        max_examples=EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def run(value):
        check(value)

    run()


def few(fields):
    """Returns one or two of some fields, by name, with generated values."""
    return strategies.lists(
        strategies.sampled_from(sorted(fields)),
        min_size=1,
        max_size=2,
        unique=True,
    ).flatmap(
        lambda keys: strategies.fixed_dictionaries({k: fields[k] for k in keys})
    )


def to_json(value):
    """Encodes a value; text for nesting is not quoted."""
    return json.dumps(value).replace('"' + "[" * 50_000 + '"', "[" * 50_000)


ENTRY_FIELDS = {
    "service": texts | values,
    "address": addresses | values,
    "zone": values,
    "version": values,
    "slots": integers | integers | values,
    "state": strategies.sampled_from(("ready", "draining", "gone")) | values,
    "coldLeftMs": values,
    "sequence": integers | integers | values,
    "born": integers | integers | values,
    "spot": values,
    "leaves_ms": values,
    "other": values,
}
ROUTE_FIELDS = {
    "name": values,
    "host": values,
    "kind": values,
    "timeoutMs": floats | values,
    "sloMs": floats | values,
    "priority": integers | values,
    "maxAttempts": integers | values,
    "gapAimMs": floats | values,
    "split": strategies.lists(
        strategies.fixed_dictionaries(
            {
                "service": strategies.just(nodes.PLAIN_SERVICE) | texts,
                "weight": floats | integers,
            }
        ),
        max_size=3,
    ),
}
LIMIT_FIELDS = {
    "headerBytes": integers | values,
    "maxBodyBytes": integers | values,
    "headerTimeoutMs": timeouts | odd_types,
    "idleTimeoutMs": timeouts | odd_types,
}
ENGINE_FIELDS = {
    "slots": integers | values,
    "kvTokens": integers | values,
    "kvBytes": floats | values,
    "linkMbps": floats | values,
    "stride": floats | values,
}
OTHER_FIELDS = {
    "version": values,
    "services": values,
    "tenants": values,
    "other": values,
}


class NodeTest(nodes.NodeTestCase):
    def setUp(self):
        super().setUp()
        self.offsets = itertools.count(1_000)
        self.endpoints = [
            self.start_endpoint(nodes.PLAIN_SERVICE, self.respond),
            self.start_endpoint(nodes.ENGINE_SERVICE, self.respond),
        ]
        self.router = self.start_ready_node()

    def respond(self, attempt):
        attempt.respond()

    def apply(self, topic, key, value):
        """Applies a record, as if it had just been read."""
        offset = next(self.offsets)
        record = messages.Record(key, value, offset, era=1)
        batch = messages.Batch((record,), offset + 1, era=1)
        self.router._replicas[topic].apply_batch(batch)

    def calls(self, paths):
        """Returns the statuses; there must be a response and no fault."""
        with testing.capture_logs() as rows:
            statuses = [
                self.call(self.router, "POST", path, headers=PROMPT).status
                for path in paths
            ]
        faults = [row for row in rows if row["event"] in FAULTS]
        self.assertEqual([], faults)
        return statuses


PROMPT = {
    "X-Hornbeampier-Model": "m",
    "X-Hornbeampier-Token-Usage": "900,50",
    "X-Hornbeampier-Prompt-Prefix": "a1:400,b2:500",
}


class EntryTest(NodeTest):
    # Guards against RESET and LOST: an odd entry cost requests of callers.
    def test_generated_entries_cost_no_request(self):
        base = nodes.endpoint_record(nodes.PLAIN_SERVICE, "127.0.0.9:9")
        numbers = itertools.count()

        def check(fields):
            endpoint_id = f"i-odd-{next(numbers)}"
            value = to_json({**base, **fields}).encode()
            self.apply(names.ENDPOINT_TOPIC, endpoint_id, value)
            self.assertEqual([200, 200], self.calls(["/safe/x", "/unsafe/x"]))
            self.apply(names.ENDPOINT_TOPIC, endpoint_id, None)

        fuzz(few(ENTRY_FIELDS), check)


class ConfigurationTest(NodeTest):
    # Guards against RESET: what the configuration allows may be refused, but
    # each caller gets a response.
    def test_generated_configurations_cost_no_response(self):
        versions = itertools.count(2)
        applied = []

        def check(fields):
            route_fields, limits, engine, other = fields
            version = next(versions)
            cfg = nodes.configuration(version)
            cfg["routes"][0] |= route_fields
            cfg["limits"] |= limits
            cfg["services"][1]["engine"] |= engine
            value = to_json({**cfg, **other}).encode()
            self.apply(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, value)
            applied.append(self.router.catalog.version == version)
            self.calls(["/safe/x", "/resume/x"])
            sound = json.dumps(nodes.configuration(version)).encode()
            self.router.catalog.cfg = None
            self.apply(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, sound)
            self.assertEqual([200], self.calls(["/safe/x"]))

        parts = (ROUTE_FIELDS, LIMIT_FIELDS, ENGINE_FIELDS, OTHER_FIELDS)
        none = strategies.just({})
        odd_parts = [
            strategies.tuples(*(few(p) if p is part else none for p in parts))
            for part in parts
        ]
        fuzz(strategies.one_of(odd_parts), check)
        self.assertGreater(sum(applied), EXAMPLES / 10)


statuses = strategies.sampled_from(
    ("200 OK", "204 No", "301 X", "404 X", "421 X", "429 X", "500 X", "503 X")
    + ("599 X", "999 X", "099 X", "101 X", "20 X", "x")
)
header_values = strategies.sampled_from(
    ("", "0", "-1", "1e308", "nan", "inf", "9" * 400, "9" * 5_000, "1,2,3")
    + ("1,2,3,1e308", "timeout=1e308", "timeout=nan", "timeout=" + "9" * 400)
    + ("close", "\x01", "a\0b", "chunked", "gzip", "id-0", "5, 5")
)
HEADER_NAMES = (
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Keep-Alive",
    "Retry-After",
    "Server-Limit",
    "Content-Encoding",
    "X-Hornbeampier-Server-Load",
    "X-Hornbeampier-Not-Executed",
    "X-Hornbeampier-Attempt-Id",
    "X-Hornbeampier-Weight-Versions",
    "X-Hornbeampier-Instance-Id",
    "Store-Era",
    "Trailer",
    "Upgrade",
)
response_headers = strategies.lists(
    strategies.tuples(strategies.sampled_from(HEADER_NAMES), header_values),
    max_size=3,
)
event_ids = strategies.sampled_from(
    ("1", "2", "-1", "", "9" * 400, "9" * 5_000, "\u0663", "\u00b2", "a\0")
)


class ResponseTest(NodeTest):
    """Each response comes from another process of the endpoint."""

    def setUp(self):
        super().setUp()
        self.starts = itertools.count(2)
        self.output = b""

    def respond(self, attempt):
        attempt.send(self.output.replace(b"ID", attempt.id.encode()))
        attempt.close_connection()

    def restart(self, endpoint, service):
        """Ends what the node knows of the endpoint's process."""
        entry = nodes.endpoint_record(
            service, endpoint.address, born=next(self.starts)
        )
        value = json.dumps(entry).encode()
        self.apply(names.ENDPOINT_TOPIC, endpoint.id, value)

    # Guards against RESET: an odd head of a response is the endpoint's fault,
    # and the caller gets a response all the same.
    def test_generated_response_heads_cost_no_response(self):
        def check(head):
            status, fields = head
            lines = [f"HTTP/1.1 {status}", "X-Hornbeampier-Server-Seal: s"]
            lines += [f"{name}: {value}" for name, value in fields]
            text = "\r\n".join(lines) + "\r\n\r\ndone"
            self.output = text.encode("latin-1")
            for endpoint in self.endpoints[:1]:
                self.restart(endpoint, nodes.PLAIN_SERVICE)
            self.calls(["/safe/x", "/unsafe/x"])

        fuzz(strategies.tuples(statuses, response_headers), check)

    # Guards against RESET before the first event, and against streams that are
    # cut though their endpoint completed them.
    def test_generated_event_ids_break_no_stream(self):
        def check(ids):
            events = "".join(f"id: {i}\ndata: x\n\n" for i in ids).encode()
            self.output = (
                b"HTTP/1.1 200 OK\r\nX-Hornbeampier-Server-Seal: s\r\n"
                b"X-Hornbeampier-Attempt-Id: ID\r\n"
                b"Content-Length: %d\r\n\r\n" % len(events) + events
            )
            self.restart(self.endpoints[1], nodes.ENGINE_SERVICE)
            with testing.capture_logs() as rows:
                response = self.call(self.router, "POST", "/resume/x")
            self.assertEqual([], [r for r in rows if r["event"] in FAULTS])
            self.assertEqual((200, True), (response.status, response.complete))

        fuzz(strategies.lists(event_ids, max_size=4), check)


class OwnRecordTest(testtools.TestCase):
    # Guards against VMs that no longer gossip: segments that an engine lists
    # are passed on to the peers.
    def test_generated_cache_lists_are_unreadable_or_can_be_gossiped(self):
        def check(rows):
            body = to_json({"held": rows}).encode()
            try:
                segments = cache_lists.decode(body)
            except errors.PlatformError:
                return
            placements = tuple(
                gossip_messages.Placement("e", s.id, s.tokens) for s in segments
            )
            message = gossip_messages.StateMessage(
                "vm", 1, 1, True, False, {}, {}, placements=placements
            )
            gossip_messages.decode(gossip_messages.encode(message))

        row = strategies.tuples(texts, texts | values, integers, texts)
        fuzz(strategies.lists(row, max_size=2), check)

    # Guards against a lease that nobody keeps: a record that cannot be read
    # counts as that of another VM.
    def test_generated_holders_are_held_by_another_vm_or_fit_a_record(self):
        def check(fields):
            value = {"vm": "vm-1", "process": 1, "era": 1, **fields}
            holder = duty_store._decode_holder(to_json(value).encode())
            self.assertLess(abs(holder.process), 2**63)
            self.assertLess(abs(holder.era), 2**63)
            holder.vm.encode()

        keys = dict.fromkeys(("vm", "process", "era", "released"), values)
        fuzz(few(keys), check)
