"""Endpoints, and a store, that send a node more than their responses may hold.

Each test starts the real process with lower limits, lets a crowd of requests
reach endpoints that misbehave, and checks what does not depend on the speed of
the machine: the process lives and stays within its memory, and callers of a
sound endpoint get their responses, beside the crowd and after it.
"""

import contextlib
import signal

import gevent

from tests import crowds
from tests import endpoint_standin
from tests import nodes
from tests import store_standin
from tests import test_misbehaving_callers as callers

FAULTY_SERVICE = "faulty-service"
BLOCK = b"x" * 65_536
# More than a VM may take of anything.
MAX_SENT_BYTES = 64 * crowds.KIB * crowds.KIB
MAX_EVENT_BYTES = crowds.KIB * crowds.KIB
UNFRAMED = f"HTTP/1.1 200 OK\r\n{endpoint_standin.SEAL}\r\n"


def send_endlessly(req, block=BLOCK):
    """Sends a block again and again until the caller closes."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_SENT_BYTES // len(block)):
            req.send(block)
            gevent.sleep(0)


def begin_unframed(req):
    """Sends the head of a response that its connection ends."""
    req.send(f"{UNFRAMED}X-Hornbeampier-Attempt-Id: {req.id}\r\n\r\n")


class ReportingEndpoint(endpoint_standin.EndpointStandin):
    """Its process reports are sent by a handler of the test's."""

    send_report = staticmethod(endpoint_standin.ReceivedRequest.respond)

    def _send_report(self, req):
        self.reports += 1
        self.send_report(req)


class ServerCrowdCase(callers.CrowdCase):
    """A node with a sound endpoint, and one that misbehaves."""

    host = "127.0.0.55"

    def setUp(self):
        super().setUp()
        self.faulty = ReportingEndpoint()
        self.addCleanup(self.faulty.stop)
        self.store.put_endpoint(
            "faulty",
            nodes.endpoint_record(
                FAULTY_SERVICE, self.faulty.address, slots=500
            ),
        )
        self.store.put_configuration(self.configure(version=2))
        store_standin.wait_until(
            lambda: self.ask_faulty().status != 404,
            timeout_s=crowds.PATIENCE_S,
        )
        self.faulty.received.clear()

    def configure(self, version):
        long = {"timeoutMs": callers.LONG_MS, "maxAttempts": 1}
        return nodes.configuration(
            version=version,
            routes=[
                nodes.route(
                    "unsafe", "/unsafe/", "unsafe", nodes.PLAIN_SERVICE, **long
                ),
                nodes.route("whole", "/whole/", "safe", FAULTY_SERVICE, **long),
                nodes.route(
                    "stream", "/stream/", "streaming", FAULTY_SERVICE, **long
                ),
            ],
            services=[
                {"name": name, "healthPath": "/health", "maxConns": 900}
                for name in (nodes.PLAIN_SERVICE, FAULTY_SERVICE)
            ],
        )

    def ask_faulty(self):
        caller = nodes.Caller(self.vm.callers, crowds.PATIENCE_S)
        self.addCleanup(caller.close)
        caller.send("GET", "/whole/x")
        return caller.read()

    def come_to(self, prefix, count, handler):
        """Lets callers ask the endpoint that misbehaves, all at once."""
        self.faulty.handler = handler
        fields = {
            "Host": "site.example",
            "Authorization": f"Token {nodes.KEY}",
            "X-Hornbeampier-Deadline-Ms": callers.LONG_MS,
        }

        def request(number):
            crowd_id = {"X-Hornbeampier-Attempt-Id": f"crowd-{number}"}
            return [crowds.head(f"/{prefix}/x", {**fields, **crowd_id}, "GET")]

        return self.come(count, request)

    def wait_until(self, condition):
        store_standin.wait_until(condition, timeout_s=crowds.PATIENCE_S)

    def wait_received(self, count):
        self.wait_until(lambda: len(self.faulty.received) >= count)


class UnfinishedEventTest(ServerCrowdCase):
    """Streams with an event that does not end, just under its limit."""

    COUNT = 100

    # Guards against a process that runs out of memory for unfinished events.
    def test_events_that_do_not_end_stay_within_the_memory(self):
        event = b"data: " + b"x" * (MAX_EVENT_BYTES - 4 * crowds.KIB)
        sent = []

        def handler(req):
            req.begin_stream()
            with contextlib.suppress(OSError):
                req.send_chunk(event)
                sent.append(req)
                req.wait_closed(callers.LONG_MS)

        crowd = self.come_to("stream", self.COUNT, handler)
        self.wait_received(self.COUNT)
        gevent.sleep(2.0)
        self.check(crowd)


class ProcessReportTest(ServerCrowdCase):
    """Responses without a length, after which the VM asks for a report."""

    COUNT = 40

    def check_reports(self, send_report):
        def handler(req):
            begin_unframed(req)
            req.send(b"done")
            req.close_connection()

        self.faulty.send_report = send_report
        crowd = self.come_to("whole", self.COUNT, handler)
        self.wait_until(lambda: self.faulty.reports >= self.COUNT)
        self.wait_until(lambda: len(crowd.statuses()) > 0)
        self.check(crowd)

    # Guards against a process that runs out of memory for process reports.
    def test_reports_without_end_stay_within_the_memory(self):
        def send_report(req):
            begin_unframed_report(req)
            send_endlessly(req)

        self.check_reports(send_report)

    # Guards against large reports that are announced and kept.
    def test_large_reports_stay_within_the_memory(self):
        body = b"[" + b"1," * 13_000_000 + b"1]"

        def send_report(req):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            with contextlib.suppress(OSError):
                req.send(head)
                req.send(body)

        self.check_reports(send_report)


def begin_unframed_report(req):
    req.send(f"{UNFRAMED}\r\n")


class StalledResponseTest(ServerCrowdCase):
    """Bodies without a length that stop before their end and stay open."""

    COUNT = 200
    RESPONSE = bytes(300_000)

    # Guards against callers of a sound endpoint that are refused, as responses
    # that go nowhere hold the memory.
    def test_stalled_bodies_leave_room_for_sound_responses(self):
        self.endpoint.handler = lambda req: req.respond(self.RESPONSE)

        def handler(req):
            begin_unframed(req)
            with contextlib.suppress(OSError):
                req.send(BLOCK + BLOCK)
                req.wait_closed(callers.LONG_MS)

        crowd = self.come_to("whole", self.COUNT, handler)
        self.wait_received(self.COUNT)
        gevent.sleep(1.0)
        for _ in range(3):
            self.check_ordinary()
        self.check(crowd)


class LargePageTest(callers.CrowdCase):
    """A store whose pages are larger than its contract allows."""

    host = "127.0.0.56"
    # Small records cost far more once they are decoded.
    ITEM = {"key": "k", "value": "", "offset": 1}
    COUNT = 600_000

    def wait_until(self, condition):
        store_standin.wait_until(condition, timeout_s=crowds.PATIENCE_S)

    # Guards against a process that runs out of memory for a page of the store.
    def test_large_page_stays_within_the_memory(self):
        newest = self.store._newest
        page = {"items": [self.ITEM] * self.COUNT, "hasMore": False, "end": 9}
        self.store._newest = lambda topic: page
        self.vm.signal(signal.SIGKILL)
        self.assertTrue(self.vm.wait_ended(crowds.PATIENCE_S))
        calls = len(self.store.calls)
        self.vm.start()
        # Two pages: each topic has one, and the next call follows a failure.
        self.wait_until(lambda: len(self.store.calls) >= calls + 4)
        self.check_process()
        self.store._newest = newest
        self.wait_until(self.is_ready)
        self.check_ordinary()
