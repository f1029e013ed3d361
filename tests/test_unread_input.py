"""What the kernel holds of input that a process has not read."""

import array
import contextlib
import fcntl
import termios

import gevent
from gevent import event
from gevent import socket

from hornbeampier import clock as clocks
from hornbeampier import connection_places
from hornbeampier import memory_budget
from hornbeampier import node
from hornbeampier import node_memory
from hornbeampier import vm_memory
from hornbeampier.ingress import listener
from hornbeampier.platform import settings
from hornbeampier.routing import domain
from tests import nodes
from tests import test_memory_budget

# The smallest VM of the users' deployments.
VM_BYTES = 150 * memory_budget.MIB
MAX_FDS = 4_100
CLIENTS = 8
BODY_BYTES = 1_000_000
SETTLE_S = 0.3


def unread_bytes(sock):
    """Returns how much input of a socket the kernel holds."""
    size = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    return size[0]


class UnreadingHandler:
    """Keeps its connections and reads no body."""

    def __init__(self):
        self.socks = []
        self.may_end = event.Event()

    def limits(self):
        return domain.Limits(4_096, BODY_BYTES, 60_000.0, 60_000.0)

    def handle(self, conn, head):
        del head
        self.socks.append(conn._sock)
        self.may_end.wait()
        return False


class UnreadInputTest(test_memory_budget.BudgetCase):
    def setUp(self):
        super().setUp()
        self.handler = UnreadingHandler()
        self.addCleanup(self.handler.may_end.set)
        self.listener = listener.Listener(
            settings.Address(nodes.HOST, 0),
            self.handler,
            clocks.SystemClock(),
            CLIENTS,
            self.budget,
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def send(self):
        """A client sends a body as fast as it is taken."""
        sock = socket.create_connection((nodes.HOST, self.listener.port))
        self.addCleanup(sock.close)
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}"
        with contextlib.suppress(OSError):
            sock.sendall(head.encode() + b"\r\n\r\n" + bytes(BODY_BYTES))

    def largest_unread_bytes(self):
        tasks = [gevent.spawn(self.send) for _ in range(CLIENTS)]
        self.addCleanup(gevent.killall, tasks)
        with gevent.Timeout(5):
            while len(self.handler.socks) < CLIENTS:
                gevent.sleep(0.01)
        gevent.sleep(SETTLE_S)
        return max(unread_bytes(sock) for sock in self.handler.socks)

    # Guards against a VM that exceeds its memory by unread input: what counts
    # for a request has to cover it.
    def test_unread_input_of_a_request_is_covered_by_what_counts_for_it(self):
        self.assertLessEqual(
            self.largest_unread_bytes(), memory_budget.REQUEST_BYTES
        )

    # Guards against the same by connections that do not count: those that wait
    # to be accepted, and those that have lost their memory and have yet to end.
    def test_unread_input_of_all_connections_fits_beside_the_budget(self):
        places = round(MAX_FDS * node.CALLER_FD_FRACTION)
        count = places + connection_places.ENDING_CONNECTIONS + listener.BACKLOG
        spare_bytes = VM_BYTES - node_memory.PROGRAM.largest_bytes
        beside_bytes = spare_bytes * (1.0 - vm_memory.BUDGET_FRACTION)
        self.assertLessEqual(count * self.largest_unread_bytes(), beside_bytes)
