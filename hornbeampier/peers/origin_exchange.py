"""Keeps the records of streams on several VMs, and looks them up there.

A stream mostly breaks because the VM that serves it has gone. So while streams
may have begun at several software versions, a VM tells some others where a
stream begins, before it passes on the first event. Which VMs these are follows
from the key of the stream, so any VM knows whom to ask.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

import gevent
from gevent import event

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.peers import hash_ring
from hornbeampier.peers import origin_messages
from hornbeampier.peers import udp_transport
from hornbeampier.routing import domain
from hornbeampier.routing import origin_history
from hornbeampier.routing import stream_origins

# Number of VMs that get a replica of a stream's record, and number of VMs that
# are asked for it: the members may have changed since.
REPLICA_COUNT = 5
ASKED_COUNT = 10
# How long replies are awaited before the remaining VMs are asked again, or, the
# last time, before the lookup ends.
REPLY_WAITS_MS = (30.0, 60.0, 90.0)
# Replies after which a lookup ends if streams have only one possible origin.
MIN_REPLIES = 3
# Interval and number of the attempts of a VM that starts to learn which
# versions served before.
LEARN_INTERVAL_MS = 200.0
LEARN_ATTEMPTS = 10
# Processes after which all VMs are told again of those without a known entry.
MAX_ANNOUNCED_UNREAD = 1_000
# How often the members are compared with those on the ring.
RING_INTERVAL_MS = 100.0
# Maximum number of datagrams sent at once, and their interval.
BURST_SIZE = 10
BURST_INTERVAL_MS = 25.0


class _PendingLookup:
    """A lookup that waits for replies.

    Attributes:
        waiting: The VMs that have not replied.
        origin: Where the stream began, once a VM has told.
        process: The endpoint's process of the stream's record, if it was told.
        replies: Number of replies.
        done: Set when no more replies are needed.
    """

    def __init__(
        self, hosts: Iterable[str], is_unambiguous: Callable[[], bool]
    ):
        self._is_unambiguous = is_unambiguous
        self.waiting = set(hosts)
        self.origin: stream_origins.Origin | None = None
        self.process: domain.ProcessId | None = None
        self.replies = 0
        self.done = event.Event()
        if not self.waiting:
            self.done.set()

    def record(
        self,
        host: str,
        origin: stream_origins.Origin | None,
        process: domain.ProcessId | None,
    ) -> None:
        """Records the reply of a VM."""
        if host not in self.waiting:
            return
        self.waiting.remove(host)
        self.replies += 1
        if self.origin is None:
            self.origin, self.process = origin, process
        if (
            self.origin is not None
            or not self.waiting
            or (self.replies >= MIN_REPLIES and self._is_unambiguous())
        ):
            self.done.set()


class OriginExchange(application.BaseComponent):
    """This VM's part in keeping the records of all streams."""

    def __init__(
        self,
        host: str,
        peers: Callable[[], Iterable[str]],
        transport: udp_transport.Transport,
        origins: stream_origins.StreamOrigins,
        history: origin_history.OriginHistory,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._host = host
        self._peers = peers
        self._transport = transport
        self._origins = origins
        self._history = history
        self._clock = clock
        self._rng = rng
        self._ring = hash_ring.HashRing([host])
        self._ring_hosts: frozenset[str] = frozenset([host])
        self._ring_ms = -math.inf
        # This VM's streams that no other VM holds a record of.
        self._unannounced: dict[bytes, stream_origins.RecordedStream] = {}
        self._announces_all = False
        # Processes without a known entry of which all VMs have been told.
        self._announced_unread: set[domain.ProcessId] = set()
        self._lookups: dict[int, _PendingLookup] = {}
        self._lookup_number = 0
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Learns from other VMs which versions served before."""
        self._history.on_change = self._announce_later
        self._tasks = [gevent.spawn(self._learn)]

    def stop(self) -> None:
        """Ends all tasks."""
        gevent.killall(self._tasks)

    def record(
        self, stream: stream_origins.RecordedStream, is_ambiguous: bool
    ) -> None:
        """Records a stream that this VM is about to begin.

        Args:
            stream: The stream.
            is_ambiguous: Whether streams may begin at several versions, so that
                other VMs need the record.
        """
        self._origins.record(stream)
        process = stream.origin.unread_process
        if process is not None and process not in self._announced_unread:
            self._announced_unread.add(process)
            self._announce_to_all(stream)
            return
        if not (is_ambiguous or self._announces_all):
            self._unannounced[stream.key] = stream
            if len(self._unannounced) > stream_origins.MAX_STREAMS:
                del self._unannounced[next(iter(self._unannounced))]
            return
        for datagram in self._make_announcements([stream]):
            self._transport.send(*datagram)

    def lookup(
        self, key: bytes | None, is_unambiguous: Callable[[], bool]
    ) -> stream_origins.LookupResult:
        """Asks other VMs where a stream began; see `Directory`."""
        pending = _PendingLookup(self._choose_asked(key), is_unambiguous)
        self._lookup_number += 1
        number = self._lookup_number
        self._lookups[number] = pending
        data = origin_messages.encode(origin_messages.Lookup(number, key))
        try:
            for wait_ms in REPLY_WAITS_MS:
                for host in sorted(pending.waiting):
                    self._transport.send(host, data)
                if pending.done.wait(wait_ms / clocks.MS_PER_SECOND):
                    break
        finally:
            del self._lookups[number]
        return stream_origins.LookupResult(
            pending.origin,
            pending.replies,
            pending.done.is_set(),
            pending.process,
        )

    def accept(self, host: str, message: origin_messages.Message) -> None:
        """Handles a message of another VM."""
        match message:
            case origin_messages.Announcement():
                self._record_announced(message)
            case origin_messages.Lookup():
                self._reply(host, message)
            case origin_messages.LookupReply():
                self._record_reply(host, message)

    def expire(self) -> None:
        """Drops the streams whose callers have given up."""
        self._origins.expire()
        now_ms = self._clock.now()
        self._unannounced = {
            key: stream
            for key, stream in self._unannounced.items()
            if stream.expires_ms > now_ms
        }
        if len(self._announced_unread) > MAX_ANNOUNCED_UNREAD:
            self._announced_unread.clear()

    def announce_all(self, is_needed: bool) -> None:
        """Sets whether other VMs need all records; see `Directory`."""
        if is_needed and not self._announces_all:
            self._announce_later()
        self._announces_all = is_needed

    def _record_announced(self, message: origin_messages.Announcement) -> None:
        now_ms = self._clock.now()
        for group in message.groups:
            origin = origin_messages.of_entry(group.origin)
            if origin.unread_process is not None:
                self._history.record_unread(origin)
            for entry in group.streams:
                retention_ms = stream_origins.bound_retention(
                    entry.remaining_ms
                )
                self._origins.record(
                    stream_origins.RecordedStream(
                        entry.key, origin, now_ms + retention_ms, entry.process
                    )
                )

    def _reply(self, host: str, message: origin_messages.Lookup) -> None:
        stream = None
        if message.key is not None:
            stream = self._origins.find_stream(message.key)
        reply = origin_messages.LookupReply(
            message.number,
            None if stream is None else origin_messages.to_entry(stream.origin),
            origin_messages.to_ages(self._history.ages()),
            origin_messages.to_covered(self._history.coverage.length_ms()),
            origin_messages.to_routes(self._history.routes.report()),
            None if stream is None else stream.process,
        )
        self._transport.send(host, origin_messages.encode(reply))

    def _record_reply(
        self, host: str, message: origin_messages.LookupReply
    ) -> None:
        self._history.coverage.extend(message.covered_ms)
        self._history.merge(origin_messages.of_ages(message.ages))
        if message.routes is not None:
            self._history.merge_routes(
                origin_messages.of_routes(message.routes)
            )
        pending = self._lookups.get(message.number)
        if pending is None:
            return
        entry = message.origin
        pending.record(
            host,
            None if entry is None else origin_messages.of_entry(entry),
            message.process,
        )

    def _choose_asked(self, key: bytes | None) -> list[str]:
        if key is None:
            hosts = set(self._peers()) - {self._host}
            return self._rng.sample(sorted(hosts), min(len(hosts), ASKED_COUNT))
        # One more, as this VM may be among them.
        hosts = self._current_ring().successors(key, ASKED_COUNT + 1)
        return [host for host in hosts if host != self._host][:ASKED_COUNT]

    def _current_ring(self) -> hash_ring.HashRing:
        now_ms = self._clock.now()
        if now_ms - self._ring_ms < RING_INTERVAL_MS:
            return self._ring
        self._ring_ms = now_ms
        hosts = frozenset([self._host, *self._peers()])
        if hosts != self._ring_hosts:
            self._ring_hosts = hosts
            self._ring = hash_ring.HashRing(hosts)
        return self._ring

    def _make_announcements(
        self, streams: Iterable[stream_origins.RecordedStream]
    ) -> list[tuple[str, bytes]]:
        """Returns the hosts and datagrams that announce some streams."""
        ring = self._current_ring()
        by_host: dict[str, list[stream_origins.RecordedStream]] = {}
        for stream in streams:
            for host in ring.successors(stream.key, REPLICA_COUNT):
                if host != self._host:
                    by_host.setdefault(host, []).append(stream)
        now_ms = self._clock.now()
        return [
            (host, origin_messages.encode(message))
            for host, held in by_host.items()
            for message in origin_messages.to_announcements(held, now_ms)
        ]

    def _announce_to_all(self, stream: stream_origins.RecordedStream) -> None:
        """Tells all VMs of an unread process; any may have to know."""
        now_ms = self._clock.now()
        for message in origin_messages.to_announcements([stream], now_ms):
            data = origin_messages.encode(message)
            for host in set(self._peers()) - {self._host}:
                self._transport.send(host, data)

    def _announce_later(self) -> None:
        self._tasks = [task for task in self._tasks if not task.dead]
        self._tasks.append(gevent.spawn(self._announce_backlog))

    def _announce_backlog(self) -> None:
        """Announces the streams that had only one possible origin so far."""
        streams = list(self._unannounced.values())
        self._unannounced.clear()
        datagrams = self._make_announcements(streams)
        for start in range(0, len(datagrams), BURST_SIZE):
            for datagram in datagrams[start : start + BURST_SIZE]:
                self._transport.send(*datagram)
            self._clock.sleep(BURST_INTERVAL_MS)

    def _learn(self) -> None:
        """Asks which versions served before this VM started.

        It ends when a reply, or the store's log, shows all versions at which
        streams may have begun.
        """
        for _ in range(LEARN_ATTEMPTS):
            self.lookup(None, self._history.is_proved)
            if self._history.is_proved():
                return
            self._clock.sleep(LEARN_INTERVAL_MS)
