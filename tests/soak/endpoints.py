"""Endpoints of a soak, which announce, lose, copy, break and stall."""

import contextlib
import itertools
import random

import gevent

from tests import announcing_endpoint
from tests import crashing_engines
from tests import endpoint_standin
from tests import nodes
from tests.soak import proxies
from tests.soak import records

PLAIN_RUN_S = 0.01
EVENT_GAP_S = 0.02
SLOW_FACTOR = 15
# Fraction of the responses that a faulty endpoint spoils.
SPOILED = 0.3
STALL_S = 3.0
# Body of the requests that are answered by a stream.
STREAM_BODY = b"stream"
# A stream's events are delayed one after the other.
MAX_IN_PROXY_MS = 3_000.0
# Time in which the proxy passes bytes on that it does not delay.
PASS_MS = 50.0
# Prefix of the ids of segments that crash engines.
POISON = "bad"
_numbers = itertools.count(1)


class SoakEndpoint:
    """An endpoint, whose process may start again under its id.

    Attributes:
        announcing: What its process announces, and the check of what reaches
            it.
        ended: The same of its earlier processes.
        born: Start of its process in its entries.
        writes_entries: Whether it writes its entry again and again.
        has_length: Whether its streams have framing, so that they do not end
            with their connection.
        faults: Names of its present faults.
        proxy: What VMs connect to.
        was_cut: Whether VMs may have missed what it announced.
        version: Version of its software.
        departure: The check of what reaches it after its entry has gone.
        is_departing: Whether it leaves without an announcement.
        event_gap_s: Time between two events of a stream.
    """

    def __init__(
        self, service, ledger, clock, rng, on_poison, version, departure
    ):
        self.service = service
        self.version = version
        self.event_gap_s = EVENT_GAP_S
        self._on_poison = on_poison
        self.was_cut = False
        self.id = f"i-{next(_numbers)}"
        self.announcing = announcing_endpoint.AnnouncingEndpoint(clock)
        self.ended = []
        self.born = 1
        self.writes_entries = True
        self.has_length = True
        self.faults = set()
        self.sequence = 0
        self.state = "ready"
        self.departure = departure
        self.is_departing = False
        self._ledger = ledger
        self._rng = random.Random(rng.random())
        self._open = set()
        self._clock = clock
        self._ended_ms = {}
        self._standin = endpoint_standin.EndpointStandin(self._handle)
        host, _, port = self._standin.address.partition(":")
        self.proxy = proxies.Proxy((host, int(port)))

    @property
    def is_changing(self):
        """Whether it leaves, or has started again without a new entry."""
        is_leaving = self.is_departing or self.announcing.leaving
        return is_leaving or not self.writes_entries

    def entry(self):
        """Returns its next entry in the store."""
        self.sequence += 1
        return nodes.endpoint_record(
            self.service,
            self.proxy.address,
            sequence=self.sequence,
            state=self.state,
            version=self.version,
            born=self.born,
        )

    def stop(self):
        """Ends the process; its connections are closed."""
        self.spoil_open_requests()
        self.proxy.stop()
        self._standin.stop()
        self._close_connections()

    def restart(self, leaving=False):
        """Ends the process and starts another one under its id and address.

        Args:
            leaving: Whether the new process announces that it leaves.
        """
        self.spoil_open_requests()
        self._close_connections()
        self.proxy.reset()
        self.ended.append(self.announcing)
        self.announcing = announcing_endpoint.AnnouncingEndpoint(self._clock)
        self.announcing.leaving = leaving
        self.born += 1
        self._standin.born = self.born
        self.sequence = 0

    def _close_connections(self):
        for req in self._standin.received:
            with contextlib.suppress(OSError):
                req.close_connection()

    def spoil_open_requests(self):
        """Records that the responses to open requests may be lost.

        Those that have just ended may still be in the proxy, longer if it
        delays bytes. If they have no length, the end of the process may show
        before theirs.
        """
        self._ledger.spoiled.update(self._open)
        oldest_ms = self._clock.now() - MAX_IN_PROXY_MS
        is_delaying = self.proxy.delay_s or self.proxy.delayed_ms > oldest_ms
        if self.has_length and not is_delaying:
            oldest_ms = self._clock.now() - PASS_MS
        self._ledger.spoiled.update(
            id_ for id_, at_ms in self._ended_ms.items() if at_ms >= oldest_ms
        )

    def _handle(self, req):
        if req.headers.get("x-hornbeampier-expect-instance") != self.id:
            req.respond(b"", "421 Misdirected Request", seal=False)
            return
        if req.request_line.startswith("GET /kv-list"):
            req.respond(b'{"held": []}')
            return
        if req.request_line.startswith("GET /health"):
            self._check_health(req)
            return
        vm = announcing_endpoint.vm_of(req.id)
        prefix = req.headers.get(crashing_engines.PREFIX_HEADER, "")
        if prefix.startswith(POISON):
            self._ledger.spoiled.add(req.id)
            self._on_poison(self, prefix.partition(":")[0], vm)
            return
        self.announcing.arrive(vm)
        self.departure.arrive(vm, self.proxy.delay_s * 1_000.0)
        headers = [f"{k}: {v}" for k, v in self.announcing.announce(req.id)]
        if self.announcing.wait_s is not None:
            headers.append("X-Hornbeampier-Not-Executed: 1")
            req.respond(b"", "503 Service Unavailable", headers, seal=False)
            return
        self._ledger.runs[req.id] += 1
        self._open.add(req.id)
        if self.proxy.cut:
            self._ledger.spoiled.add(req.id)
        try:
            if req.body == STREAM_BODY:
                self._run_stream(req, headers)
            else:
                self._run_plain(req, headers)
        finally:
            self._open.discard(req.id)
            self._ended_ms[req.id] = self._clock.now()

    def _check_health(self, req):
        """Responds to a health check, which is no request of a caller."""
        is_leaving = self.announcing.leaving or self.state != "ready"
        status = "503 Service Unavailable" if is_leaving else "200 OK"
        lines = [
            f"HTTP/1.1 {status}",
            "Content-Length: 0",
            f"X-Hornbeampier-Instance-Id: {self.id}",
        ]
        if self.announcing.leaving:
            lines.append("Server-Leaving: 1")
        req.send("\r\n".join(lines) + "\r\n\r\n")

    def _is_spoiled(self, fault, req):
        if fault in self.faults and self._rng.random() < SPOILED:
            self._ledger.spoiled.add(req.id)
            return True
        return False

    def _pause(self, duration_s):
        gevent.sleep(duration_s * (SLOW_FACTOR if "slow" in self.faults else 1))

    def _run_plain(self, req, headers):
        self._pause(PLAIN_RUN_S)
        body = records.body_of(req.id)
        if self._is_spoiled("lose", req):
            req.close_connection()
            return
        if self._is_spoiled("break", req):
            req.send(self._head(req, headers, f"Content-Length: {len(body)}"))
            req.send(body[: len(body) // 2])
            req.close_connection()
            return
        req.respond(body, headers=headers)
        if "copy" in self.faults and self._rng.random() < SPOILED:
            gevent.spawn_later(
                self._rng.uniform(0.0, 0.1), self._respond_again, req, body
            )

    def _respond_again(self, req, body):
        with contextlib.suppress(OSError):
            req.respond(body)

    def _run_stream(self, req, headers):
        first = int(req.headers.get("last-event-id", 0)) + 1
        self._pause(PLAIN_RUN_S)
        if self._is_spoiled("lose", req):
            req.close_connection()
            return
        if not self.has_length:
            self._run_stream_without_length(req, headers, first)
            return
        req.send(self._head(req, headers, "Transfer-Encoding: chunked"))
        broken = self._is_spoiled("break", req)
        stalled = self._is_spoiled("stall", req)
        for number in range(first, records.STREAM_EVENTS + 1):
            if broken and number == records.STREAM_EVENTS // 2:
                req.send_chunk(self._event_of(req, number)[:5])
                req.close_connection()
                return
            event = self._event_of(req, number)
            if stalled and number == records.STREAM_EVENTS // 2:
                self._trickle(req, event)
            else:
                req.send_chunk(event)
            self._pause(self.event_gap_s)
        req.end_stream()

    def _run_stream_without_length(self, req, headers, first):
        req.send(self._head(req, headers, "Connection: close"))
        for number in range(first, records.STREAM_EVENTS + 1):
            req.send(self._event_of(req, number))
            self._pause(EVENT_GAP_S)
        req.close_connection()

    def _event_of(self, req, number):
        return records.event_of(req.id, number, self.version)

    def _trickle(self, req, event):
        """Sends an event byte by byte, which takes `STALL_S`."""
        for position in range(len(event)):
            req.send_chunk(event[position : position + 1])
            gevent.sleep(STALL_S / len(event))

    def _head(self, req, headers, framing):
        lines = [
            "HTTP/1.1 200 OK",
            framing,
            endpoint_standin.SEAL,
            f"X-Hornbeampier-Attempt-Id: {req.id}",
            *headers,
        ]
        return "\r\n".join(lines) + "\r\n\r\n"
