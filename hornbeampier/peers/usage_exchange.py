"""Sends this VM's counts of requests to other VMs and keeps theirs.

Three VMs, the collectors, get the counts of all VMs, so that those of a VM
that goes are not lost. The VM that reports usage is usually one of them; it
subscribes at all VMs and asks the collectors for the counts of VMs that have
gone.
"""

from collections.abc import Callable
from collections.abc import Iterable

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.duties import usage_clock
from hornbeampier.duties import usage_counts
from hornbeampier.duties import usage_records
from hornbeampier.duties import usage_windows
from hornbeampier.peers import udp_transport
from hornbeampier.peers import usage_messages
from hornbeampier.peers import usage_receiver
from hornbeampier.platform import names
from hornbeampier.routing import rendezvous

COLLECTOR_COUNT = 3
# Number of VMs that a starting VM asks for their time.
TIME_SOURCE_COUNT = 6
SEND_INTERVAL_MS = 500.0
# A subscriber that does not repeat its subscription gets no more counts.
SUBSCRIPTION_MS = 24_000.0
# A VM that becomes a collector asks the others what they hold of VMs that have
# gone. By then, those that are live have sent it their own counts.
FIRST_PULL_MS = 2_000.0
PULL_INTERVAL_MS = 1_000.0
PULL_COUNT = 3
# On drain, the last counts are repeated until they are acknowledged.
DRAIN_ATTEMPTS = 5
DRAIN_INTERVAL_MS = 40.0
# Limits that keep datagrams below `udp_transport.MAX_DATAGRAM_BYTES`.
MAX_WINDOWS = 4
MAX_NAMES = 500
MAX_HELD_COUNTS = 1_000
MAX_KNOWN_NAMES = 5_000
# The names that a silent process has sent are dropped after this time.
NAMES_RETENTION_MS = 120_000.0


class UsageExchange(application.TaskComponent):
    """This VM's part in collecting the counts of all VMs."""

    def __init__(
        self,
        own: usage_windows.Source,
        peers: Callable[[], Iterable[str]],
        transport: udp_transport.Transport,
        counts: usage_counts.UsageCounts,
        windows: usage_windows.UsageWindows,
        true_time: usage_clock.UsageClock,
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            own: The host and the process of this VM.
            peers: Returns the hosts of the other live VMs.
            transport: Sends datagrams to other VMs.
            counts: The counts of this VM.
            windows: The counts of all VMs.
            true_time: The time that windows refer to.
            clock: The clock.
        """
        super().__init__()
        self._own = own
        self._peers = peers
        self._transport = transport
        self._counts = counts
        self._windows = windows
        self._time = true_time
        self._clock = clock
        self._names: dict[str, int] = {}
        self._sequence = 0
        self._receivers: dict[str, usage_receiver.Receiver] = {}
        self._subscribers: dict[str, usage_receiver.Subscriber] = {}
        self._known: dict[usage_windows.Source, usage_receiver.KnownNames] = {}
        self._is_collector = False
        self._pulls_left = 0
        self._next_pull_ms = 0.0
        self._log = structlog.get_logger(task="usage_exchange")

    def run(self) -> None:
        """Sends what has changed until killed."""
        while True:
            self.send_changes()
            self._clock.sleep(SEND_INTERVAL_MS)

    def drain(self) -> None:
        """Sends the last counts; the requests in flight have ended."""
        self._counts.close_all()
        for _ in range(DRAIN_ATTEMPTS):
            if not self.send_changes():
                return
            self._clock.sleep(DRAIN_INTERVAL_MS)

    def hosts(self) -> set[str]:
        """Returns the live VMs, this one included."""
        return {self._own.host, *self._peers()}

    def collectors(self) -> list[str]:
        """Returns the VMs that get the counts of all others."""
        return rendezvous.rank(names.USAGE_DUTY, self.hosts(), COLLECTOR_COUNT)

    def subscribe(self, number: int) -> None:
        """Asks all VMs for their counts."""
        data = usage_messages.encode(usage_messages.Subscription(number))
        for host in sorted(self.hosts() - {self._own.host}):
            self._transport.send(host, data)

    def query(self, window: int, hosts: Iterable[str]) -> None:
        """Asks some VMs for what they hold of a window."""
        known = tuple(sorted(self._windows.final_processes(window)))
        data = usage_messages.encode(usage_messages.Query(window, known))
        for host in hosts:
            self._transport.send(host, data)

    def announce(self, report: usage_records.UsageReport) -> None:
        """Tells the collectors of a finalized report."""
        message = usage_messages.Finalized(
            report.window, report.counts, report.accepted_through
        )
        data = usage_messages.encode(message)
        for host in self.collectors():
            if host != self._own.host:
                self._transport.send(host, data)

    def send_changes(self) -> bool:
        """Sends counts that have changed or are not acknowledged.

        Returns:
            Whether anything was sent.
        """
        if self._time.adjust():
            self._counts.restart_windows()
        if self._time.is_settled():
            self._counts.settle()
        rows = self._counts.windows()
        now_ms = self._time.now()
        for row in rows:
            self._windows.merge(
                self._own, row.window, row.counts, row.is_final, now_ms
            )
        self._windows.expire(now_ms)
        self._expire(self._windows.open_windows(now_ms).start)
        self._pull()
        sent = [self._send_rows(host, rows) for host in self._choose_hosts()]
        return any(sent)

    def accept(self, host: str, message: usage_messages.Message) -> None:
        """Handles a message of another VM."""
        match message:
            case usage_messages.Counts():
                self._record_counts(host, message)
            case usage_messages.Ack():
                self._record_ack(host, message)
            case usage_messages.Subscription():
                self._record_subscription(host, message)
            case usage_messages.Query():
                self._reply(host, message)
            case usage_messages.QueryReply():
                self._record_reply(host, message)
            case usage_messages.Finalized():
                report = usage_records.UsageReport(
                    message.window, message.counts, message.accepted_through
                )
                self._windows.record_report(report, self._time.now())

    def _pull(self) -> None:
        """Gets what the other collectors hold after this VM has become one."""
        collectors = self.collectors()
        now_ms = self._clock.now()
        was_collector = self._is_collector
        self._is_collector = self._own.host in collectors
        if self._is_collector and not was_collector:
            self._pulls_left = PULL_COUNT
            self._next_pull_ms = now_ms + FIRST_PULL_MS
        if not self._pulls_left or now_ms < self._next_pull_ms:
            return
        self._pulls_left -= 1
        self._next_pull_ms = now_ms + PULL_INTERVAL_MS
        others = [host for host in collectors if host != self._own.host]
        for window in self._windows.open_windows(self._time.now())[:-1]:
            self.query(window, others)

    def _choose_hosts(self) -> list[str]:
        count = (
            COLLECTOR_COUNT if self._time.is_settled() else TIME_SOURCE_COUNT
        )
        ranked = rendezvous.rank(names.USAGE_DUTY, self.hosts(), count)
        hosts = {*ranked, *self._subscribers} - {self._own.host}
        self._receivers = {
            host: self._receivers.get(host) or usage_receiver.Receiver()
            for host in hosts
        }
        return sorted(hosts)

    def _send_rows(
        self, host: str, rows: list[usage_counts.WindowCounts]
    ) -> bool:
        receiver = self._receivers[host]
        selected = receiver.select(rows)
        if not selected and not receiver.has_replied:
            # The reply tells the peer's time.
            self._send_counts(host, receiver, [])
            return True
        for start in range(0, len(selected), MAX_WINDOWS):
            self._send_counts(
                host, receiver, selected[start : start + MAX_WINDOWS]
            )
        return bool(selected)

    def _send_counts(
        self,
        host: str,
        receiver: usage_receiver.Receiver,
        rows: list[usage_counts.WindowCounts],
    ) -> None:
        entries = tuple(self._to_entry(row) for row in rows)
        first = receiver.known_names
        unknown = tuple(self._names)[first : first + MAX_NAMES]
        self._sequence += 1
        wants_ack = (
            bool(unknown)
            or not receiver.has_replied
            or any(row.is_final for row in rows)
        )
        if wants_ack:
            receiver.record_sent(
                self._sequence,
                {row.window: row.revision for row in rows},
                self._clock.now(),
            )
        else:
            receiver.sent.update({row.window: row.revision for row in rows})
        message = usage_messages.Counts(
            self._own.process,
            self._sequence,
            first,
            unknown,
            entries,
            wants_ack,
        )
        self._transport.send(host, usage_messages.encode(message))

    def _to_entry(
        self, row: usage_counts.WindowCounts
    ) -> usage_messages.WindowEntry:
        pairs = []
        for account, count in row.counts.items():
            pairs.append(self._names.setdefault(account, len(self._names)))
            pairs.append(count)
        return usage_messages.WindowEntry(
            row.window, row.is_final, tuple(pairs)
        )

    def _record_counts(self, host: str, message: usage_messages.Counts) -> None:
        source = usage_windows.Source(host, message.process)
        known = self._update_names(source, message)
        is_complete = True
        for entry in message.windows:
            counts = {
                known[number]: count
                for number, count in zip(
                    entry.pairs[::2], entry.pairs[1::2], strict=True
                )
                if number < len(known)
            }
            is_known = 2 * len(counts) == len(entry.pairs)
            is_complete = is_complete and is_known
            self._windows.merge(
                source,
                entry.window,
                counts,
                entry.is_final and is_known,
                self._time.now(),
            )
        if message.wants_ack or not is_complete:
            self._acknowledge(host, message, len(known), is_complete)

    def _update_names(
        self, source: usage_windows.Source, message: usage_messages.Counts
    ) -> list[str]:
        now_ms = self._clock.now()
        known = self._known.setdefault(
            source, usage_receiver.KnownNames([], now_ms)
        )
        known.heard_ms = now_ms
        if message.first_name <= len(known.names) < MAX_KNOWN_NAMES:
            skipped = len(known.names) - message.first_name
            known.names.extend(message.names[skipped:])
        return known.names

    def _acknowledge(
        self,
        host: str,
        message: usage_messages.Counts,
        known_names: int,
        is_complete: bool,
    ) -> None:
        ack = usage_messages.Ack(
            message.process,
            message.sequence,
            known_names,
            is_complete,
            round(self._time.now()),
        )
        self._transport.send(host, usage_messages.encode(ack))

    def _record_ack(self, host: str, ack: usage_messages.Ack) -> None:
        receiver = self._receivers.get(host)
        if receiver is None or ack.process != self._own.process:
            return
        sent_ms = receiver.record_ack(ack)
        if sent_ms is not None:
            round_trip_ms = self._clock.now() - sent_ms
            self._time.record_peer(host, ack.time_ms, round_trip_ms)

    def _record_subscription(
        self, host: str, message: usage_messages.Subscription
    ) -> None:
        known = self._subscribers.get(host)
        if known is None or known.number != message.number:
            self._log.info("usage_subscribed", peer=host)
            self._receivers[host] = usage_receiver.Receiver()
        self._subscribers[host] = usage_receiver.Subscriber(
            message.number, self._clock.now()
        )

    def _reply(self, host: str, message: usage_messages.Query) -> None:
        held = self._windows.held(message.window, frozenset(message.known))
        rows = [
            usage_messages.HeldRow(
                source.host, source.process, row.is_final, row.counts
            )
            for source, row in held.items()
        ]
        chunks = _split(rows)
        for number, chunk in enumerate(chunks, start=1):
            reply = usage_messages.QueryReply(
                message.window, number == len(chunks), tuple(chunk)
            )
            self._transport.send(host, usage_messages.encode(reply))

    def _record_reply(
        self, host: str, message: usage_messages.QueryReply
    ) -> None:
        now_ms = self._time.now()
        for row in message.rows:
            self._windows.merge(
                usage_windows.Source(row.host, row.process),
                message.window,
                row.counts,
                row.is_final,
                now_ms,
            )
        if message.is_last:
            self._windows.record_reply(message.window, host)

    def _expire(self, oldest: int) -> None:
        now_ms = self._clock.now()
        for receiver in self._receivers.values():
            receiver.expire(oldest)
        self._known = {
            source: known
            for source, known in self._known.items()
            if now_ms - known.heard_ms <= NAMES_RETENTION_MS
        }
        self._subscribers = {
            host: subscriber
            for host, subscriber in self._subscribers.items()
            if now_ms - subscriber.heard_ms <= SUBSCRIPTION_MS
        }


def _split(
    rows: list[usage_messages.HeldRow],
) -> list[list[usage_messages.HeldRow]]:
    """Returns the rows in parts that fit into a datagram; at least one part."""
    chunks: list[list[usage_messages.HeldRow]] = [[]]
    size = 0
    for row in rows:
        if chunks[-1] and size + len(row.counts) > MAX_HELD_COUNTS:
            chunks.append([])
            size = 0
        chunks[-1].append(row)
        size += len(row.counts) + 1
    return chunks
