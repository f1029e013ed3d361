"""Two claims must never hold an idempotency key at once, whatever fails."""

import random

import gevent
from gevent import event
from gevent import socket
import msgspec
import testtools

from hornbeampier import clock
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import request_info
from hornbeampier import verdict
from hornbeampier.callers import connection
from hornbeampier.callers import idempotency
from hornbeampier.coordination import claim_index
from hornbeampier.coordination import claim_records
from hornbeampier.coordination import claim_writer
from hornbeampier.coordination import claims
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import records
from hornbeampier.operators import schema
from tests import fakes

RAN = verdict.Verdict.RAN
HOUR_MS = 3_600_000.0
CLAIM_TIMEOUT_MS = 50.0
CLAIM = claim_records.Claim
RELEASE = claim_records.Release
OUTCOME = claim_records.Outcome


class Stream:
    """Applies entries to an index as records of the log."""

    def __init__(self):
        self.index = claim_index.ClaimIndex()
        self.records = []

    def add(self, *entries, at_ms=0.0):
        """Applies one record; returns which of its claims hold their key."""
        batch = claim_records.ClaimBatch("vm", entries)
        data = msgspec.json.encode(batch).decode()
        record = records.LogRecord(len(self.records), at_ms, data)
        self.records.append(record)
        return [decision.held for decision in self.index.apply(record)]

    def claim(self, claim_id, key="key", at_ms=0.0):
        """Applies a claim; returns whether it holds the key."""
        return self.add(CLAIM(key, claim_id, "print", 0), at_ms=at_ms)[0]


class ClaimIndexTest(testtools.TestCase):
    def test_first_claim_holds_the_key_until_it_is_released(self):
        stream = Stream()
        held = [stream.claim("a"), stream.claim("b"), stream.claim("a")]
        stream.add(RELEASE("key", "a"))
        held += [stream.claim("a"), stream.claim("c"), stream.claim("b")]
        self.assertEqual([True, False, True, False, True, False], held)

    def test_claim_whose_release_came_first_does_not_hold_the_key(self):
        stream = Stream()
        stream.add(RELEASE("key", "late"))
        self.assertFalse(stream.claim("late"))
        self.assertTrue(stream.claim("next"))

    def test_only_the_first_outcome_of_the_holder_counts(self):
        stream = Stream()
        stream.claim("a")
        response = claim_records.StoredResponse(200, "text/plain", b"\xff")
        stream.add(OUTCOME("key", "b", RAN, response))
        self.assertIsNone(stream.index.find("key").run_verdict)
        stream.add(OUTCOME("key", "a", RAN, response))
        stream.add(OUTCOME("key", "a", verdict.Verdict.MAY_HAVE_RUN))
        holder = stream.index.find("key")
        self.assertEqual((RAN, 2), (holder.run_verdict, holder.response_offset))

    def test_key_expires_after_its_retention(self):
        stream = Stream()
        stream.claim("a")
        self.assertFalse(stream.claim("b", at_ms=23 * HOUR_MS))
        self.assertFalse(stream.claim("c", at_ms=46 * HOUR_MS))
        stream.add(RELEASE("other", "x"), at_ms=47 * HOUR_MS)
        self.assertEqual(2, stream.index.size)
        self.assertTrue(stream.claim("d", at_ms=72 * HOUR_MS))
        self.assertEqual(1, stream.index.size)

    def test_only_one_claim_holds_a_key_at_any_time(self):
        """Applies random records; a second index must agree with the first."""
        for seed in range(200):
            rng = random.Random(seed)
            stream, holder = Stream(), None
            for _ in range(60):
                claim_id = f"claim-{rng.randrange(8)}"
                if rng.random() < 0.6:
                    if stream.claim(claim_id):
                        self.assertIn(holder, (None, claim_id))
                        holder = claim_id
                else:
                    stream.add(RELEASE("key", claim_id))
                    holder = None if holder == claim_id else holder
            second_index = claim_index.ClaimIndex()
            for record in stream.records:
                second_index.apply(record)
            self.assertEqual(
                stream.index.find("key"), second_index.find("key"), seed
            )

    def test_malformed_records_change_nothing(self):
        index = claim_index.ClaimIndex()
        nested = '{"x":' + "[" * 100_000
        for data in ("", "{}", "[1]", '{"vm":1,"entries":[]}', "\x00", nested):
            self.assertEqual([], index.apply(records.LogRecord(0, 0, data)))
        self.assertEqual(0, index.size)


class ClaimsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.log = fakes.MemoryLog(self.clock)
        self.env = environment.Environment(
            clock=self.clock, rng=random.Random(1)
        )
        self.writer = claim_writer.ClaimWriter("vm-1", self.log, self.clock)
        self.claims = claims.Claims(
            self.log, self.env, self.writer, CLAIM_TIMEOUT_MS
        )
        self.claims.read_once()

    def _claim(self, *steps, key="key"):
        """Runs `steps` while a claim is pending; returns its greenlet."""
        task = gevent.spawn(self.claims.claim, key, "print")
        gevent.sleep(0)
        for step in steps:
            step()
        task.join()
        return task

    def _entries(self):
        stream = self.log.platform.read(claim_records.STREAM, 0, 500, 0)
        batches = [claim_records.decode(r.data) for r in stream.records]
        return [[type(e) for e in batch.entries] for batch in batches]

    def test_concurrent_claims_share_an_append(self):
        tasks = [
            gevent.spawn(self.claims.claim, f"key-{i}", "") for i in range(5)
        ]
        gevent.sleep(0)
        self.writer.append_batch()
        self.claims.read_once()
        gevent.joinall(tasks)
        self.assertEqual(5, len({task.value for task in tasks} - {None}))
        self.assertEqual([[CLAIM] * 5], self._entries())

    def test_claim_that_times_out_after_its_append_is_released(self):
        task = self._claim(self.writer.append_batch)
        self.assertIsInstance(task.exception, claims.ClaimsUnavailableError)
        self.writer.append_batch()
        self.assertEqual([[CLAIM], [RELEASE]], self._entries())

    def test_release_is_retried_until_the_log_confirms_it(self):
        self._claim(self.writer.append_batch)
        self.log.down = True
        self.assertFalse(self.writer.append_batch())
        self.log.down, self.log.lose_answers = False, 1
        self.assertFalse(self.writer.append_batch())
        self.assertTrue(self.writer.append_batch())
        self.assertEqual([[CLAIM], [RELEASE], [RELEASE]], self._entries())

    def test_claim_that_times_out_before_its_append_is_withdrawn(self):
        task = self._claim()
        self.assertIsInstance(task.exception, claims.ClaimsUnavailableError)
        self.writer.append_batch()
        self.assertEqual([], self._entries())

    def test_refused_append_fails_the_claim_at_once(self):
        self.log.down = True
        task = self._claim(self.writer.append_batch)
        self.assertIsInstance(task.exception, claims.ClaimsUnavailableError)
        self.assertEqual(0, self.writer.backlog)

    def test_claims_waiting_while_the_log_is_trimmed_fail(self):
        self.log.append(claim_records.STREAM, b"other")
        self.log.append(claim_records.STREAM, b"other")
        self.log.platform.trim(claim_records.STREAM, 1)
        task = self._claim(
            self.writer.append_batch,
            self.claims.read_once,
            self.claims.read_once,
        )
        self.assertIsInstance(task.exception, claims.ClaimsUnavailableError)
        self.assertTrue(self.claims.available)
        self.writer.append_batch()
        self.claims.read_once()
        task = self._claim(self.writer.append_batch, self.claims.read_once)
        self.assertIsNotNone(task.value)

    def test_no_claim_before_the_stream_is_read_to_its_end(self):
        for _ in range(platform_log.READ_LIMIT):
            self.log.append(claim_records.STREAM, b"other")
        self.claims = claims.Claims(self.log, self.env, self.writer, 50)
        self.claims.read_once()
        self._claim(self.writer.append_batch)
        self.assertEqual(0, self.writer.appends)
        self.claims.read_once()
        self._claim(self.writer.append_batch)
        self.assertEqual(1, self.writer.appends)

    def test_first_read_is_not_a_long_poll(self):
        waits_ms = []
        read = self.log.read

        def record_wait(stream, offset, wait_ms=0, limit=500):
            waits_ms.append(wait_ms)
            gevent.sleep(0)
            return read(stream, offset, wait_ms, limit)

        self.patch(self.log, "read", record_wait)
        new_claims = claims.Claims(self.log, self.env, self.writer, 50)
        new_claims.start()
        while len(waits_ms) < 2:
            gevent.sleep(0)
        new_claims.stop()
        self.assertEqual([0, claims.LONG_POLL_MS], waits_ms[:2])

    def test_no_claim_above_the_limit_of_keys(self):
        self.patch(claims, "MAX_KEYS", 1)
        self._claim(self.writer.append_batch, self.claims.read_once)
        task = self._claim(
            self.writer.append_batch, self.claims.read_once, key="key-2"
        )
        self.assertIsInstance(task.exception, claims.ClaimsUnavailableError)

    def test_claim_confirmed_after_the_deadline_is_not_dispatched(self):
        info = request_info.RequestInfo("req", "", None, None, 0, 100, "")
        permit = idempotency.KeyedPermit(
            self.claims, self.env, info, "key", "print"
        )
        task = gevent.spawn(permit.before_dispatch)
        gevent.sleep(0)
        self.writer.append_batch()
        self.clock.advance(101)
        self.claims.read_once()
        task.join()
        self.assertEqual(errors.RefusalCode.WAIT_TIMEOUT, task.exception.code)
        permit.finish(None)
        self.writer.append_batch()
        self.assertEqual([[CLAIM], [RELEASE]], self._entries())

    def test_append_rate_is_limited_after_a_burst(self):
        self.clock.advance(HOUR_MS)
        self.patch(self.clock, "sleep", self.clock.advance)
        started_ms = self.clock.now()
        task = gevent.spawn(self.writer.run)
        for _ in range(claim_writer.APPEND_BURST + 4):
            self.claims.record_outcome("key", "claim", RAN)
            gevent.sleep(0)
        task.kill()
        self.assertEqual(claim_writer.APPEND_BURST + 4, self.writer.appends)
        self.assertEqual(
            3 * claim_writer.APPEND_INTERVAL_MS, self.clock.now() - started_ms
        )

    def test_drain_waits_until_the_outcome_is_appended(self):
        self.claims.record_outcome("key", "claim", RAN)
        task = gevent.spawn(self.writer.run)
        self.writer.drain()
        task.kill()
        self.assertEqual([[OUTCOME]], self._entries())

    def test_old_claim_without_an_outcome_is_reported_as_may_have_run(self):
        guard = idempotency.IdempotencyGuard(self.claims, self.env)
        account = schema.ClientAccount(
            name="account",
            key_sha256=("0" * 64,),
            classes=("urgent",),
            default_class="urgent",
        )
        info = request_info.RequestInfo(
            "req", "", None, account, 0, HOUR_MS, ""
        )

        def run_forever(start, permit):
            permit.before_dispatch()
            yield event.Event().wait()

        def serve():
            return list(guard.serve(info, "key", (), None, run_forever))

        task = gevent.spawn(serve)
        gevent.sleep(0)
        self.writer.append_batch()
        self.claims.read_once()
        gevent.sleep(0)
        exc = self.assertRaises(errors.RefusalError, serve)
        self.assertEqual(errors.RefusalCode.IN_PROGRESS, exc.code)
        self.clock.advance(idempotency.IN_PROGRESS_MS)
        exc = self.assertRaises(errors.RefusalError, serve)
        self.assertEqual(errors.RefusalCode.MAY_HAVE_RUN, exc.code)
        task.kill()


class CallerWatchTest(testtools.TestCase):
    def test_stopped_watch_does_not_raise(self):
        own_end, caller_end = socket.socketpair()
        self.addCleanup(own_end.close)
        with connection.watch(own_end) as watch:
            watch.abort()
        gevent.sleep(0)
        caller_end.close()

    def test_watch_raises_when_the_caller_disconnects(self):
        own_end, caller_end = socket.socketpair()
        self.addCleanup(own_end.close)
        with testtools.ExpectedException(connection.CallerGoneError):
            with connection.watch(own_end):
                caller_end.close()
                gevent.sleep(5)
