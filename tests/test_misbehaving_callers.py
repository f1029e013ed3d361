"""Callers of a node that stay inside no limits.

Each test starts the real process with lower limits, lets one crowd come, and
checks what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay within the limits of its settings, and an ordinary
request is answered, beside the crowd and after it has gone.
"""

import gevent

from tests import crowds
from tests import nodes
from tests import store_standin
from tests.soak import processes

MEMORY_MB = 96
MAX_FDS = 1_000
# The crowd stays for as long as a test lasts.
LONG_MS = 120_000
MAX_BODY_BYTES = 256 * crowds.KIB
MAX_HEAD_BYTES = 4_096
ORDINARY_DEADLINE_MS = 20_000
ORDINARY_BODY = b"ordinary"
REFUSALS = {400, 408, 413, 429, 431, 503}


def body_head(**fields):
    return crowds.head(
        "/unsafe/crowd",
        {
            "Host": "site.example",
            "Authorization": f"Token {nodes.KEY}",
            "X-Hornbeampier-Attempt-Id": "crowd",
            "X-Hornbeampier-Deadline-Ms": LONG_MS,
            **{name.replace("_", "-"): v for name, v in fields.items()},
        },
    )


CHUNKED = body_head(Transfer_Encoding="chunked")


class CrowdCase(nodes.NodeTestCase):
    """Starts a node as a process, and checks it after a crowd has come."""

    host = "127.0.0.41"
    max_fds = MAX_FDS
    max_body_bytes = MAX_BODY_BYTES
    memory_mb = MEMORY_MB

    def setUp(self):
        super().setUp()
        self.endpoint = self.start_endpoint(
            nodes.PLAIN_SERVICE, lambda req: req.respond()
        )
        limits = {
            "headerBytes": MAX_HEAD_BYTES,
            "maxBodyBytes": self.max_body_bytes,
            "headerTimeoutMs": LONG_MS,
            "idleTimeoutMs": LONG_MS,
        }
        routes = [
            nodes.route(
                "unsafe",
                "/unsafe/",
                "unsafe",
                nodes.PLAIN_SERVICE,
                maxAttempts=1,
                timeoutMs=LONG_MS,
            )
        ]
        self.store.put_configuration(
            nodes.configuration(routes=routes, limits=limits)
        )
        self.vm = processes.NodeProcess(
            0,
            self.host,
            [],
            self.store.port,
            {"maxFds": self.max_fds, "memoryMb": self.memory_mb},
        )
        self.addCleanup(self.vm.close)
        self.vm.start()
        store_standin.wait_until(self.is_ready, timeout_s=crowds.PATIENCE_S)

    def is_ready(self):
        """Whether the process answers the load balancer with 200."""
        try:
            caller = nodes.Caller(self.vm.readiness, crowds.PATIENCE_S)
        except OSError:
            return False
        try:
            caller.send("GET", "/readiness", key=None)
            return caller.read().status == 200
        except (OSError, ConnectionError):
            return False
        finally:
            caller.close()

    def come(self, count, make_parts, address=None, **crowd_args):
        """Lets a crowd come and send everything."""
        address = address or self.vm.callers
        crowd = crowds.Crowd(
            (address.host, address.port), count, make_parts, **crowd_args
        )
        self.addCleanup(crowd.leave)
        crowd.wait_sent()
        return crowd

    def ask(self, body=ORDINARY_BODY):
        """Sends an ordinary request over a new connection."""
        caller = nodes.Caller(self.vm.callers, crowds.PATIENCE_S)
        self.addCleanup(caller.close)
        headers = {"X-Hornbeampier-Deadline-Ms": ORDINARY_DEADLINE_MS}
        caller.send("POST", "/unsafe/ordinary", headers, body)
        return caller.read()

    def check(self, crowd):
        """Checks the process beside the crowd, and after it has gone."""
        self.check_ordinary()
        crowd.leave()
        self.check_ordinary()

    def check_ordinary(self):
        self.assertEqual(200, self.ask().status)
        self.check_process()

    def check_process(self):
        self.assertTrue(crowds.is_running(self.vm.pid))
        self.assertLess(
            crowds.peak_memory_kib(self.vm.pid), self.memory_mb * crowds.KIB
        )
        self.assertLess(crowds.open_descriptors(self.vm.pid), self.max_fds)

    def check_not_run(self, crowd, statuses=REFUSALS):
        """Checks that none of the crowd ran, and what responses it got."""
        bodies = {req.body for req in self.endpoint.received}
        self.assertEqual({ORDINARY_BODY}, bodies)
        self.assertLessEqual(crowd.statuses(), statuses)


class UnfinishedBodyTest(CrowdCase):
    """Bodies that stop just short of their end."""

    COUNT = 400

    # Guards against a process that runs out of memory for bodies in chunks.
    def test_chunked_bodies_that_do_not_end_stay_within_the_memory(self):
        body = crowds.chunks(bytes(MAX_BODY_BYTES - crowds.KIB), 65_536)
        crowd = self.come(self.COUNT, lambda _: [CHUNKED, body])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against a process that runs out of memory for announced bodies.
    def test_bodies_one_byte_short_stay_within_the_memory(self):
        request = body_head(Content_Length=MAX_BODY_BYTES)
        body = bytes(MAX_BODY_BYTES - 1)
        crowd = self.come(self.COUNT, lambda _: [request, body])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against a process that runs out of memory for bodies that it reads
    # only to refuse their requests.
    def test_unfinished_bodies_without_a_key_stay_within_the_memory(self):
        request = crowds.head(
            "/unsafe/crowd",
            {"Host": "site.example", "Content-Length": MAX_BODY_BYTES},
        )
        body = bytes(MAX_BODY_BYTES - 1)
        crowd = self.come(self.COUNT, lambda _: [request, body])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against bodies after `100 Continue` that nothing bounds.
    def test_bodies_after_100_continue_stay_within_the_memory(self):
        request = body_head(
            Content_Length=MAX_BODY_BYTES, Expect="100-continue"
        )
        body = bytes(MAX_BODY_BYTES - 1)
        crowd = self.come(self.COUNT, lambda _: [request, body])
        self.check(crowd)
        self.check_not_run(crowd, {100, *REFUSALS})


class SmallChunkTest(CrowdCase):
    """Bodies in chunks of a byte or two."""

    COUNT = 60
    BODY_BYTES = 200 * crowds.KIB

    # Guards against a process that answers nobody while it reads small chunks.
    def test_bodies_in_chunks_of_one_byte_leave_time_for_others(self):
        body = crowds.chunks(bytes(self.BODY_BYTES), 1)
        crowd = self.come(self.COUNT, lambda _: [CHUNKED, body])
        self.check(crowd)
        self.check_not_run(crowd)

    def test_bodies_in_chunks_of_two_bytes_leave_time_for_others(self):
        body = crowds.chunks(bytes(self.BODY_BYTES), 2)
        crowd = self.come(self.COUNT, lambda _: [CHUNKED, body])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against a limit that refuses a body inside the limits.
    def test_single_body_in_chunks_of_one_byte_is_served(self):
        body = crowds.chunks(bytes(MAX_BODY_BYTES), 1) + b"0\r\n\r\n"
        crowd = self.come(1, lambda _: [CHUNKED, body])
        with gevent.Timeout(crowds.PATIENCE_S):
            while not crowd.members[0].status:
                gevent.sleep(0.01)
        self.assertEqual({200}, crowd.statuses())
        self.assertEqual(
            [MAX_BODY_BYTES], [len(req.body) for req in self.endpoint.received]
        )
        self.check_process()

    def test_chunks_with_long_extensions_leave_time_for_others(self):
        body = crowds.chunks(bytes(crowds.KIB), 1, b";x=" + b"y" * crowds.KIB)
        crowd = self.come(self.COUNT, lambda _: [CHUNKED, body])
        self.check(crowd)
        self.check_not_run(crowd)

    def test_size_lines_without_an_end_stay_within_the_memory(self):
        line = b"1;x=" + b"y" * (4 * crowds.KIB * crowds.KIB)
        crowd = self.come(self.COUNT, lambda _: [CHUNKED, line])
        self.check(crowd)
        self.check_not_run(crowd)

    def test_trailers_without_an_end_stay_within_the_memory(self):
        trailers = b"A: b\r\n" * (crowds.KIB * crowds.KIB)
        crowd = self.come(
            self.COUNT, lambda _: [CHUNKED, b"1\r\nx\r\n0\r\n", trailers]
        )
        self.check(crowd)
        self.check_not_run(crowd)


class LongHeadTest(CrowdCase):
    """Heads far larger than the limit."""

    COUNT = 60

    def test_long_heads_that_do_not_end_stay_within_the_memory(self):
        lines = b"".join(
            b"X-%d: %s\r\n" % (n, b"x" * 60 * crowds.KIB) for n in range(90)
        )
        crowd = self.come(self.COUNT, lambda _: [CHUNKED[:-2], lines])
        self.check(crowd)
        self.check_not_run(crowd)


class OversizedBodyTest(CrowdCase):
    """Bodies far over the limit."""

    COUNT = 30
    BLOCK = bytes(65_536)
    SENT_BYTES = 8 * crowds.KIB * crowds.KIB

    def test_announced_bodies_over_the_limit_are_refused(self):
        request = body_head(Content_Length=1_000_000_000)
        crowd = self.come(
            self.COUNT,
            lambda _: [request, *crowds.endless(self.BLOCK, self.SENT_BYTES)],
        )
        self.check(crowd)
        self.check_not_run(crowd)

    def test_chunked_bodies_over_the_limit_are_refused(self):
        chunk = crowds.chunks(self.BLOCK, len(self.BLOCK))
        crowd = self.come(
            self.COUNT,
            lambda _: [CHUNKED, *crowds.endless(chunk, self.SENT_BYTES)],
        )
        self.check(crowd)
        self.check_not_run(crowd)

    def test_announced_body_over_the_limit_is_told_so(self):
        request = body_head(Content_Length=MAX_BODY_BYTES + 1)
        crowd = self.come(1, lambda _: [request])
        with gevent.Timeout(crowds.PATIENCE_S):
            while not crowd.members[0].status:
                gevent.sleep(0.01)
        self.assertEqual({413}, crowd.statuses())
        self.check_process()


class OccupiedPlacesTest(CrowdCase):
    """Connections that hold a place and send little or nothing."""

    max_fds = 240
    COUNT = 200

    # Guards against ordinary callers that get no connection.
    def test_connections_without_a_byte_leave_places_for_others(self):
        self.check(self.come(self.COUNT, lambda _: []))

    # Guards against ordinary callers that get no connection.
    def test_bodies_of_one_byte_leave_places_for_others(self):
        request = body_head(Content_Length=100)
        crowd = self.come(self.COUNT, lambda _: [request, b"x"])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against ordinary callers that get no connection.
    def test_heads_that_do_not_end_leave_places_for_others(self):
        crowd = self.come(self.COUNT, lambda _: [CHUNKED[:-2]])
        self.check(crowd)
        self.check_not_run(crowd)

    # Guards against a VM that the load balancer takes out of rotation.
    def test_connections_to_the_readiness_port_leave_places_for_others(self):
        crowd = self.come(self.COUNT, lambda _: [], address=self.vm.readiness)
        self.assertTrue(self.is_ready())
        self.check(crowd)


class UnreadResponseTest(CrowdCase):
    """Complete requests whose clients read nothing of a large response."""

    COUNT = 60
    RESPONSE = bytes(4_000_000)

    # Guards against a process that runs out of memory for such responses.
    def test_responses_that_are_not_read_stay_within_the_memory(self):
        self.endpoint.handler = self.respond
        request = body_head(Content_Length=1) + b"x"
        crowd = self.come(self.COUNT, lambda _: [request], is_reading=False)
        self.wait_until_calm()
        self.check(crowd)

    def respond(self, req):
        req.respond(self.RESPONSE if req.body == b"x" else b"done")

    def wait_until_calm(self):
        """Waits until the endpoint has got no request for a second."""
        received = -1
        while received < len(self.endpoint.received):
            received = len(self.endpoint.received)
            gevent.sleep(1.0)


class ManyRequestsTest(CrowdCase):
    """Many requests over each connection."""

    COUNT = 20
    REQUESTS = 2_000

    def test_pipelined_requests_leave_time_for_others(self):
        request = crowds.head("/none/", {"Host": "site.example"}, "GET")
        crowd = self.come(self.COUNT, lambda _: [request * self.REQUESTS])
        self.check(crowd)

    def test_clients_that_read_no_response_leave_time_for_others(self):
        request = crowds.head("/none/", {"Host": "site.example"}, "GET")
        crowd = self.come(
            self.COUNT,
            lambda _: [request * self.REQUESTS],
            is_reading=False,
        )
        self.check(crowd)
