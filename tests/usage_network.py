"""VMs that count and report usage, on one clock, without a network."""

import random

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import terms
from hornbeampier.duties import usage_clock
from hornbeampier.duties import usage_counts
from hornbeampier.duties import usage_records
from hornbeampier.duties import usage_reporter
from hornbeampier.duties import usage_windows
from hornbeampier.peers import usage_exchange
from hornbeampier.peers import usage_messages
from hornbeampier.platform import names
from hornbeampier.routing import rendezvous

WINDOW_MS = 5_000.0
DUE_MS = 10_000.0
# Start of a window, in ms since the Unix epoch.
EPOCH_MS = 1_700_000_000_000.0
STEP_MS = 50.0
MEMBER_TIMEOUT_MS = 12_000.0
ACCOUNTS = 24


class VmClock:
    """A VM's clock: its own monotonic zero, and a wall clock that may step."""

    def __init__(self, shared, zero_ms):
        self._shared = shared
        self._zero_ms = zero_ms
        self.wall_step_ms = 0.0

    def now(self):
        return self._shared.now() + self._zero_ms

    def unix(self):
        return EPOCH_MS + self._shared.now() + self.wall_step_ms

    def sleep(self, duration_ms):
        pass


class Platform:
    """The duty's partition and the API.

    Attributes:
        records: The partition's records by key.
        holder: Host of the VM that holds the lease, or None.
        accepted: All accepted reports, as pairs of window and counts.
        loses_appends: Appends are executed without an acknowledgment.
        drops_calls: Calls are executed without a response.
    """

    def __init__(self):
        self.records = {}
        self.era = 1
        self.holder = None
        self.token = 0
        self.store_up = True
        self.api_up = True
        self.loses_appends = False
        self.drops_calls = False
        self.accepted = []

    def give(self, host):
        self.holder = host
        self.token += 1

    def restore(self, records):
        """Returns from a copy that holds only some earlier records."""
        self.records = dict(records)
        self.era += 1

    def report_usage(self, term, window, counts):
        if not self.api_up:
            return terms.Outcome.UNKNOWN
        self.accepted.append((window, dict(counts)))
        if self.drops_calls:
            return terms.Outcome.UNKNOWN
        return terms.Outcome.ACCEPTED


class FakeLease:
    """The lease as one VM sees it."""

    def __init__(self, platform, host, clock):
        self._platform = platform
        self._host = host
        self._clock = clock
        self._seen = (0, 0.0)

    def era(self):
        era = self._platform.era
        if era != self._seen[0]:
            self._seen = (era, self._clock.now())
        return terms.StoreEra(*self._seen)

    def term(self):
        platform = self._platform
        if platform.holder != self._host or not platform.store_up:
            return None
        return terms.Term(self._host, platform.token, self._clock.now() + 2e3)

    def records(self):
        return dict(self._platform.records)

    def append(self, key, value):
        if self.term() is None:
            return False
        self._platform.records[key] = value
        return not self._platform.loses_appends

    def record_refused(self, token):
        raise AssertionError("no call is refused here")


class UsageVm:
    """One VM; its peers are all VMs of the network that are members."""

    def __init__(self, network, host, wall_step_ms=0.0):
        rng = random.Random(f"{host}/{network.clock.now()}")
        self.host = host
        self._network = network
        self.clock = VmClock(network.clock, rng.uniform(0, 1e6))
        self.clock.wall_step_ms = wall_step_ms
        self.time = usage_clock.UsageClock(self.clock)
        self.counts = usage_counts.UsageCounts(WINDOW_MS, self.time, self.clock)
        self.windows = usage_windows.UsageWindows(
            WINDOW_MS,
            usage_windows.retention_ms(WINDOW_MS, usage_records.SLOT_COUNT),
        )
        self.exchange = usage_exchange.UsageExchange(
            usage_windows.Source(host, rng.getrandbits(32)),
            lambda: [h for h in network.members() if h != host],
            self,
            self.counts,
            self.windows,
            self.time,
            self.clock,
        )
        self.reporter = usage_reporter.UsageReporter(
            host,
            DUE_MS,
            FakeLease(network.platform, host, self.clock),
            network.platform,
            self.exchange,
            self.counts,
            self.windows,
            self.time,
            node_metrics.NodeMetrics(),
            self.clock,
            rng,
        )
        self.phase = rng.randrange(10)

    def send(self, host, data):
        self._network.send(self.host, host, data)

    def step(self, number):
        if (number + self.phase) % 10 == 0:
            self.exchange.send_changes()
        if (number + self.phase) % 5 == 0:
            self.reporter.step()


class UsageNetwork:
    """VMs that serve callers, with datagrams that are lost and reordered.

    Attributes:
        truth: Requests by window and account.
        rate: Mean requests of each account at each VM in a step.
        loss: Fraction of the datagrams that are lost.
        bytes_sent: Sent bytes by host.
    """

    def __init__(self, vm_count, loss=0.0, seed=1, rate=0.5):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.platform = Platform()
        self.loss = loss
        self.rate = rate
        self.truth = {}
        self.bytes_sent = {}
        self._queue = []
        self._gone_ms = {}
        self._steps = 0
        self.vms = {}
        for number in range(vm_count):
            self.start(f"10.0.0.{number}")
        self.platform.give(self.candidate())

    def start(self, host, wall_step_ms=0.0):
        self._gone_ms.pop(host, None)
        self.vms[host] = UsageVm(self, host, wall_step_ms)
        return self.vms[host]

    def kill(self, host):
        del self.vms[host]
        self._gone_ms[host] = self.clock.now()

    def members(self):
        """Returns the live VMs and those not yet known to be dead."""
        limit_ms = self.clock.now() - MEMBER_TIMEOUT_MS
        return [
            *self.vms,
            *(h for h, ms in self._gone_ms.items() if ms > limit_ms),
        ]

    def candidate(self):
        """Returns the live VM that ranks first for the duty."""
        return rendezvous.rank(names.USAGE_DUTY, self.vms, 1)[0]

    def send(self, source, target, data):
        size = self.bytes_sent.get(source, 0) + len(data)
        self.bytes_sent[source] = size
        if self.rng.random() >= self.loss:
            due_ms = self.clock.now() + self.rng.uniform(1, 150)
            self._queue.append((due_ms, source, target, data))

    def run(self, duration_ms):
        for _ in range(int(duration_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            self._steps += 1
            self._deliver()
            for vm in list(self.vms.values()):
                self._serve(vm)
                vm.step(self._steps)

    def serve_account(self, vm, account):
        window = int((EPOCH_MS + self.clock.now()) // WINDOW_MS)
        counts = self.truth.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        vm.counts.record(account, vm.clock.now())

    def window(self):
        return int((EPOCH_MS + self.clock.now()) // WINDOW_MS)

    def reports(self):
        """Returns the accepted counts by window; fails if two differ."""
        reports = {}
        for window, counts in self.platform.accepted:
            if reports.setdefault(window, counts) != counts:
                raise AssertionError(f"two reports of window {window} differ")
        return reports

    def _serve(self, vm):
        for number in range(ACCOUNTS):
            if self.rng.random() < self.rate:
                self.serve_account(vm, f"account-{number:04d}")

    def _deliver(self):
        now_ms = self.clock.now()
        due = [d for d in self._queue if d[0] <= now_ms]
        self._queue = [d for d in self._queue if d[0] > now_ms]
        for _, source, target, data in due:
            if target in self.vms:
                message = usage_messages.decode(data)
                self.vms[target].exchange.accept(source, message)
