"""Fetches records from peers that are ahead of this VM."""

from collections.abc import Callable
import math
import random

from gevent import pool
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.replication import positions
from hornbeampier.replication import relay
from hornbeampier.replication import replica

CHECK_INTERVAL_MS = 100.0
# How long a store reader waits for the store to deliver records that a peer
# already has, before it fetches them from the peer.
STORE_GRACE_MS = 200.0
# A peer that has not answered for this time may be suspended or cut off; then
# another one is asked, too.
HEDGE_DELAY_MS = 250.0
# Maximum number of calls for one topic at the same time.
MAX_CALLS = 3
# Maximum number of peers that are reported to others as sources of records. One
# VM with a slow link cannot serve all others soon enough.
MAX_SOURCES = 6


class _PeerPositions:
    """The positions that peers have reached in one topic.

    Attributes:
        furthest: The highest of them; the start of the topic without peers.
        hosts_ahead: The hosts that have reached it.
    """

    def __init__(self):
        self._positions: dict[str, positions.Position] = {}
        self.furthest = positions.START
        self.hosts_ahead: set[str] = set()

    def get(self, host: str) -> positions.Position | None:
        """Returns the position of a host, or None if it is unknown."""
        return self._positions.get(host)

    def record(self, host: str, position: positions.Position) -> None:
        """Records the position of a host, which may have started again."""
        self._positions[host] = position
        if position > self.furthest:
            self.furthest = position
            self.hosts_ahead = {host}
        elif position == self.furthest:
            self.hosts_ahead.add(host)
        elif host in self.hosts_ahead:
            self._remove_ahead(host)

    def remove(self, host: str) -> None:
        """Forgets a host."""
        self._positions.pop(host, None)
        if host in self.hosts_ahead:
            self._remove_ahead(host)

    def _remove_ahead(self, host: str) -> None:
        self.hosts_ahead.remove(host)
        if self.hosts_ahead:
            return
        self.furthest = max(self._positions.values(), default=positions.START)
        self.hosts_ahead = {
            host
            for host, position in self._positions.items()
            if position == self.furthest
        }


class CatchUp(application.TaskComponent):
    """Fetches records from peers once this VM has been behind for a while.

    The calls are made apart from each other: none waits for another topic, or
    for a peer that does not answer.
    """

    def __init__(
        self,
        replicas: dict[str, replica.TopicReplica],
        port: int,
        reads_store: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        super().__init__()
        self._rng = rng
        self._replicas = replicas
        self._port = port
        self._reads_store = reads_store
        self._clock = clock
        self._peers: dict[str, _PeerPositions] = {
            topic: _PeerPositions() for topic in replicas
        }
        self._behind_since_ms: dict[str, float] = {}
        self._calls = pool.Group()
        # When the open call to each host began, by topic.
        self._began_ms: dict[str, dict[str, float]] = {
            topic: {} for topic in replicas
        }
        self._log = structlog.get_logger(task="catch_up")

    def record_peer(
        self, host: str, reached: dict[str, positions.Position]
    ) -> None:
        """Records the positions that a peer has reached, by topic."""
        for topic, position in reached.items():
            if topic in self._peers:
                self._peers[topic].record(host, position)

    def furthest_ahead(
        self, topic: str
    ) -> tuple[positions.Position, list[str]]:
        """Returns the highest known position of a topic and hosts that have it.

        There are at most `MAX_SOURCES` of them, chosen at random. It is the
        start of the topic if none is known.
        """
        peers = self._peers[topic]
        hosts = sorted(peers.hosts_ahead)
        count = min(MAX_SOURCES, len(hosts))
        return peers.furthest, self._rng.sample(hosts, count)

    def run(self) -> None:
        """Checks for peers that are ahead until killed."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_MS)
            for topic in self._replicas:
                self._fetch_if_behind(topic)

    def stop(self) -> None:
        """Stops checking, and ends the open calls."""
        super().stop()
        self._calls.kill()

    def _fetch_if_behind(self, topic: str) -> None:
        own = self._replicas[topic].position
        peers = self._peers[topic]
        is_behind = own is None or peers.furthest > own
        if not peers.hosts_ahead or not is_behind:
            self._behind_since_ms.pop(topic, None)
            return
        now_ms = self._clock.now()
        behind_since_ms = self._behind_since_ms.setdefault(topic, now_ms)
        grace_ms = STORE_GRACE_MS if self._reads_store() else 0.0
        if now_ms - behind_since_ms >= grace_ms:
            self._ask_another(topic, now_ms)

    def _ask_another(self, topic: str, now_ms: float) -> None:
        """Calls a peer that is ahead, unless a recent call is still open."""
        began_ms = self._began_ms[topic]
        last_ms = max(began_ms.values(), default=-math.inf)
        if len(began_ms) >= MAX_CALLS or now_ms - last_ms < HEDGE_DELAY_MS:
            return
        hosts = sorted(self._peers[topic].hosts_ahead - began_ms.keys())
        if hosts:
            host = self._rng.choice(hosts)
            began_ms[host] = now_ms
            self._calls.spawn(self._call, topic, host)

    def _call(self, topic: str, host: str) -> None:
        try:
            self._fetch(topic, host)
        finally:
            del self._began_ms[topic][host]

    def _fetch(self, topic: str, host: str) -> None:
        topic_replica = self._replicas[topic]
        try:
            batch = relay.fetch(
                host,
                self._port,
                topic,
                topic_replica.position or positions.START,
                self._clock,
            )
        except relay.PeerBusyError:
            # It stays a source; the next check picks one at random again.
            return
        except errors.PlatformError as exc:
            self._log.info("peer_failed", peer=host, error=str(exc))
            self._peers[topic].remove(host)
            return
        except Exception:
            self._log.exception("peer_failed", peer=host)
            self._peers[topic].remove(host)
            return
        topic_replica.apply_batch(batch)
        self._log.info(
            "caught_up",
            peer=host,
            topic=topic,
            records=len(batch.records),
            offset=topic_replica.offset,
            era=topic_replica.era,
        )
