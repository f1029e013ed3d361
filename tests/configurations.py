"""Configuration followers and publishers over a log with faults."""

import random

import msgspec

from hornbeampier import clock
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier.coordination import standin
from hornbeampier.operators import configuration_log
from hornbeampier.operators import follower
from hornbeampier.operators import publish
from tests import processes

HOUR_MS = 3_600_000.0
TEXT = processes.configuration([("engine-1", 8001)])


def text(number):
    """Returns a valid configuration file; `number` determines a port in it."""
    return processes.configuration([("engine-1", 8001 + number % 1000)])


def record(base, file_text=TEXT, publish_id="pub-1"):
    return msgspec.json.encode(
        configuration_log.ConfigurationRecord(
            configuration_log.RecordKind.PUBLISH, publish_id, file_text, base
        )
    ).decode()


class Log:
    """A log client of the shared platform, with faults of its own.

    Attributes:
        down: Whether every call fails.
        lose_answers: Number of next appends whose response is lost.
        before_append: Called once, just before the next append.
        deferred_appends: If a list, appends go there and get no response.
    """

    def __init__(self, platform, clk):
        self.platform = platform
        self.clock = clk
        self.down = False
        self.lose_answers = 0
        self.before_append = None
        self.deferred_appends = None

    def append(self, stream, data):
        if self.down:
            raise errors.PlatformError("the log is down")
        if self.deferred_appends is not None:
            self.deferred_appends.append(data.decode())
            raise errors.AppendOutcomeUnknownError("no response yet")
        if self.before_append:
            hook, self.before_append = self.before_append, None
            hook()
        offset = self.platform.append(stream, data.decode())
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AppendOutcomeUnknownError("the response was lost")
        return offset

    def read(self, stream, offset, wait_ms=0, limit=500):
        if self.down:
            raise errors.PlatformError("the log is down")
        response = self.platform.read(stream, offset, limit, 0)
        if offset < response.first:
            raise errors.OffsetTrimmedError(response.first)
        if not response.records:
            self.clock.advance(wait_ms)
        return response


class Peers:
    """Peers whose snapshots a follower can fetch."""

    def __init__(self):
        self.followers = []

    def fetch(self):
        snapshots = [f.state.snapshot() for f in self.followers]
        return [s for s in snapshots if s]


class ConfigurationCluster:
    """Followers and publishers over one log."""

    def __init__(self, vms=0, seed=1, retention_ms=24 * HOUR_MS):
        self.clock = clock.ManualClock(10 * HOUR_MS)
        self.rng = random.Random(seed)
        self.platform = standin.Platform(self.clock, retention_ms)
        self.env = environment.Environment(clock=self.clock, rng=self.rng)
        self.vms = [self.start_vm() for _ in range(vms)]

    def log(self):
        return Log(self.platform, self.clock)

    def start_vm(self, peers=()):
        log = self.log()
        peer_source = Peers()
        peer_source.followers = peers
        vm = follower.ConfigurationFollower(
            log, self.clock, peer_source, self.rng
        )
        vm.log = log
        vm.peers = peer_source
        return vm

    def publisher(self, log=None):
        return publish.Publisher(log or self.log(), self.env)

    def append(self, data):
        return self.platform.append(configuration_log.STREAM, data)

    def poll_log(self):
        for vm in self.vms:
            vm.poll_log()

    def versions(self):
        return [vm.state.version for vm in self.vms]
