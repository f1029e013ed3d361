"""Callers of a soak, which keep their connections until these are closed."""

import dataclasses
import random

import gevent

from tests import nodes
from tests.soak import endpoints
from tests.soak import records

DEADLINE_MS = 5_000
# A request that took this part of its deadline may have been ended by it.
LATE_FRACTION = 0.8
MAX_PAUSE_S = 0.15
KINDS = ("safe", "unsafe", "stream", "resume")
RETRY_S = 0.05
# How often a caller takes up a stream that was interrupted.
MAX_TAKE_UPS = 2
# How long a caller waits for VMs that start.
RESTART_WAIT_MS = 2_500.0
# With several software versions, callers lose the connection of this fraction
# of their streams, after at most this time.
LOST_FRACTION = 0.3
MAX_LOST_S = 0.2


class Caller:
    """One caller with one connection at a time."""

    def __init__(self, name, world, rng):
        self._name = name
        self._world = world
        self._rng = random.Random(rng.random())
        self._conn = None
        self._process = None
        self._number = 0

    def run(self):
        """Calls until the world ends."""
        while not self._world.is_over:
            gevent.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
            if self._conn is None and not self._connect():
                gevent.sleep(RETRY_S)
                continue
            if not self._call():
                self._conn.close()
                self._conn = None

    def _connect(self):
        """Connects to a VM that the load balancer offers."""
        self._process = self._world.pick_vm(self._rng)
        if self._process is None:
            return False
        try:
            self._conn = nodes.Caller(self._process.callers)
        except OSError:
            return False
        return True

    def _connect_again(self):
        """Connects; waits for VMs that start if all are killed at times."""
        end_ms = self._world.clock.now() + RESTART_WAIT_MS
        while not self._connect():
            is_over = self._world.clock.now() >= end_ms
            if is_over or not self._world.has_routes:
                return False
            gevent.sleep(RETRY_S)
        return True

    def _call(self):
        """Sends a request; returns whether the connection may be kept."""
        self._number += 1
        kind = self._rng.choice(KINDS)
        name = self._process.name
        outcome = records.Outcome(
            f"{name}/{self._name}-{self._number}",
            kind,
            name,
            self._world.clock.now(),
        )
        key = nodes.KEY
        if self._rng.random() < 0.1:
            key = self._world.revoked_key
            outcome.key_state = self._world.key_state(key)
        self._world.ledger.outcomes.append(outcome)
        loss = None
        if kind == "resume" and self._world.has_versions:
            loss = self._plan_loss(outcome)
        may_keep = self._exchange(outcome, key)
        if loss is not None:
            # The connection may be used for the next request.
            loss.kill()
        if not may_keep and kind == "resume":
            self._take_up(outcome, key)
        return may_keep

    def _plan_loss(self, outcome):
        """Returns the task that loses the connection later, or None."""
        if self._rng.random() >= LOST_FRACTION:
            return None
        self._world.ledger.spoiled.add(outcome.request_id)
        return gevent.spawn_later(
            self._rng.uniform(0.0, MAX_LOST_S), self._conn.close
        )

    def _take_up(self, begun, key):
        """Goes on with a stream that was interrupted, at any VM."""
        outcome = begun
        for number in range(MAX_TAKE_UPS):
            is_whole = outcome.last_event == records.STREAM_EVENTS
            if not outcome.last_event or is_whole or outcome.late:
                return
            self._conn.close()
            if not self._connect_again():
                return
            outcome = dataclasses.replace(
                outcome,
                request_id=f"{self._process.name}/{begun.request_id}-{number}",
                vm=self._process.name,
                status=None,
                body=b"",
                complete=False,
                key_state=self._world.key_state(key),
                taken_up=outcome,
                after=outcome.last_event,
                could_go_on=self._world.serves_twice(outcome.versions),
            )
            self._world.ledger.outcomes.append(outcome)
            self._exchange(outcome, key, begun)

    def _exchange(self, outcome, key, begun=None):
        is_stream = outcome.kind in ("stream", "resume")
        headers = {
            "X-Hornbeampier-Attempt-Id": outcome.request_id,
            "X-Hornbeampier-Deadline-Ms": str(DEADLINE_MS),
        }
        if begun is not None:
            headers["Resumes"] = begun.request_id
            headers["Last-Event-Id"] = str(outcome.after)
        body = endpoints.STREAM_BODY if is_stream else b"plain"
        try:
            self._conn.send(
                "POST", f"/{outcome.kind}/x", headers, body=body, key=key
            )
            with gevent.Timeout(DEADLINE_MS / 1_000 + 2.0):
                response = self._conn.read()
        except (OSError, gevent.Timeout):
            self._end(outcome)
            return False
        outcome.status = response.status
        outcome.body = response.body
        outcome.complete = response.complete
        self._end(outcome)
        return (
            response.complete and response.headers.get("connection") != "close"
        )

    def _end(self, outcome):
        took_ms = self._world.clock.now() - outcome.sent_ms
        outcome.late = (
            took_ms > LATE_FRACTION * DEADLINE_MS
            or took_ms >= nodes.ROUTE_TIMEOUT_MS
        )
