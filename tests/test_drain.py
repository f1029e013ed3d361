"""Draining: no request that has reached a VM is lost when the VM stops."""

import gevent
from gevent import monkey
import testtools

from hornbeampier import clock
from hornbeampier import drain
from hornbeampier import settings
from hornbeampier import wsgi
from tests import load_balancer
from tests import processes

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SOCKET = monkey.get_original("socket", "socket")


def connect(port, data=REQUEST):
    """Connects without letting the server's greenlets run."""
    sock = SOCKET()
    sock.connect((HOST, port))
    sock.sendall(data)
    return sock


def receive(sock):
    """Reads until the server closes; the server runs meanwhile."""
    sock.setblocking(False)
    blocks = []
    with gevent.Timeout(processes.STOP_TIMEOUT_S):
        while not blocks or blocks[-1]:
            try:
                blocks.append(sock.recv(65_536))
            except BlockingIOError:
                gevent.sleep(0.005)
    return b"".join(blocks)


class FakeApp:
    """A callers' application; `on_idle` runs once when it has no requests."""

    def __init__(self):
        self.not_ready = False
        self.draining = False
        self.on_idle = None

    @property
    def open_requests(self):
        if self.on_idle:
            hook, self.on_idle = self.on_idle, None
            hook()
        return 0

    def __call__(self, environ, start_response):
        status = 503 if self.draining else 200
        return wsgi.json_response(start_response, status, {})


class ListenerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.app = FakeApp()
        self.server = wsgi.HttpServer(HOST, 0, self.app)
        self.server.start()
        self.addCleanup(self.server.stop)
        cfg = settings.DrainSettings(notice_ms=1, timeout_ms=1)
        self.drain = drain.Drain(
            self.app, self.server, clock.SystemClock(), cfg
        )
        self.clients = []
        self.addCleanup(lambda: [c.close() for c in self.clients])

    def connect(self, data=REQUEST, count=1):
        port = self.server.port
        for _ in range(count):
            self.clients.append(connect(port, data))

    def receive_all(self):
        jobs = [gevent.spawn(receive, client) for client in self.clients]
        gevent.joinall(jobs, raise_error=True)
        return [job.value.split(b"\r\n")[0] for job in jobs]

    def test_connections_in_the_backlog_are_answered(self):
        self.app.on_idle = lambda: self.connect(count=50)
        self.drain.drain()
        refused = b"HTTP/1.1 503 Service Unavailable"
        self.assertEqual([refused] * 50, self.receive_all())

    def test_an_accepted_connection_may_still_send_its_request(self):
        self.connect(b"")
        gevent.sleep(0)
        port = self.server.port
        job = gevent.spawn(self.drain.drain)
        processes.wait_until(lambda: not self.accepts(port))
        self.clients[0].sendall(REQUEST)
        self.assertEqual(
            [b"HTTP/1.1 503 Service Unavailable"], self.receive_all()
        )
        job.join()

    def test_an_idle_connection_is_closed_cleanly(self):
        self.connect()
        processes.wait_until(lambda: self.server.connections)
        self.drain.drain()
        self.assertEqual([b"HTTP/1.1 200 OK"], self.receive_all())
        self.assertEqual(0, self.server.connections)

    @staticmethod
    def accepts(port):
        try:
            connect(port, b"").close()
        except ConnectionRefusedError:
            return False
        return True


class DrainTest(testtools.TestCase):
    def test_rolling_replacement_of_all_vms_loses_no_request(self):
        with processes.Deployment(vms=3, engines=2, services=1) as deployment:
            balancer = load_balancer.LoadBalancer(deployment)
            with balancer.load(senders=8):
                for vm in tuple(deployment.vms):
                    new = deployment.start_vm()
                    processes.wait_until(lambda n=new: n.report()["ready"])
                    balancer.wait_responses(20)
                    vm.terminate()
                    self.assertEqual(0, vm.process.wait())
                    balancer.remove(vm)
                balancer.wait_responses(20)
            self.assertEqual([], balancer.failures)
            runs = deployment.services[0].runs()
            paths = sorted(run["path"] for run in runs)
            self.assertEqual(sorted(balancer.fee_paths), paths)

    def test_requests_in_the_backlog_of_a_busy_vm_are_served(self):
        with processes.Deployment(vms=1, engines=1) as deployment:
            vm = deployment.vms[0]
            vm.process.freeze()
            jobs = [gevent.spawn(vm.chat, f"{i} tokens=5") for i in range(12)]
            gevent.sleep(0.1)
            vm.terminate()
            vm.process.thaw()
            gevent.joinall(jobs, raise_error=True)
            statuses = [job.value.status for job in jobs]
            self.assertEqual([200] * 12, statuses)
            self.assertEqual(0, vm.process.wait())

    def test_requests_open_at_the_drain_timeout_get_an_error(self):
        with processes.Deployment(
            vms=1, engines=1, slots=1, drain_timeout_ms=300
        ) as deployment:
            vm = deployment.vms[0]
            bulk = [("X-Request-Class", "bulk")]
            jobs = [
                gevent.spawn(vm.chat, "tokens=5000", stream=True, headers=bulk)
            ]
            processes.wait_until(lambda: deployment.engines[0].runs())
            jobs += [
                gevent.spawn(vm.chat, "tokens=5", stream=s, headers=bulk)
                for s in (True, False)
            ]
            processes.wait_until(
                lambda: vm.report()["classes"][1]["waiting"] == 2
            )
            vm.terminate()
            gevent.joinall(jobs, raise_error=True)
            self.assertEqual(0, vm.process.wait())
            responses = [job.value for job in jobs]
            streamed = [r for r in responses if r.status == 200]
            refused = [r for r in responses if r.status == 503]
            self.assertEqual((1, 2), (len(streamed), len(refused)))
            self.assertIn(b"event: error\n", streamed[0].body)
            self.assertIn(b'"verdict":"may_have_run"', streamed[0].body)
            for response in refused:
                error = response.json()["error"]
                self.assertEqual("draining", error["code"])
                self.assertEqual("not_run", error["verdict"])
                self.assertEqual("close", response.headers["connection"])
                self.assertIn("retry-after", response.headers)
            self.assertEqual(1, len(deployment.engines[0].runs()))
