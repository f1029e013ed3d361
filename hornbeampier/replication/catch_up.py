"""Fetches records from peers that are ahead of this VM."""

from collections.abc import Callable
import random

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
# Maximum number of peers that are reported to others as sources of records. One
# VM with a slow link cannot serve all others soon enough.
MAX_SOURCES = 6


class CatchUp(application.TaskComponent):
    """Fetches records from a peer once this VM has been behind for a while."""

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
        self._peer_positions: dict[str, dict[str, positions.Position]] = {
            t: {} for t in replicas
        }
        self._behind_since_ms: dict[str, float] = {}
        self._log = structlog.get_logger(task="catch_up")

    def record_peer(
        self, host: str, reached: dict[str, positions.Position]
    ) -> None:
        """Records the positions that a peer has reached, by topic."""
        for topic, position in reached.items():
            if topic in self._peer_positions:
                self._peer_positions[topic][host] = position

    def furthest_ahead(
        self, topic: str
    ) -> tuple[positions.Position, list[str]]:
        """Returns the highest known position of a topic and hosts that have it.

        There are at most `MAX_SOURCES` of them, chosen at random. It is the
        start of the topic if none is known.
        """
        known = self._peer_positions[topic]
        if not known:
            return positions.START, []
        hosts = _furthest_ahead(known)
        count = min(MAX_SOURCES, len(hosts))
        return max(known.values()), self._rng.sample(hosts, count)

    def run(self) -> None:
        """Checks for peers that are ahead until killed."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_MS)
            for topic in self._replicas:
                self._fetch_if_behind(topic)

    def _fetch_if_behind(self, topic: str) -> None:
        own = self._replicas[topic].position
        ahead = {
            host: position
            for host, position in self._peer_positions[topic].items()
            if own is None or position > own
        }
        if not ahead:
            self._behind_since_ms.pop(topic, None)
            return
        now_ms = self._clock.now()
        behind_since_ms = self._behind_since_ms.setdefault(topic, now_ms)
        grace_ms = STORE_GRACE_MS if self._reads_store() else 0.0
        if now_ms - behind_since_ms >= grace_ms:
            self._fetch(topic, self._rng.choice(_furthest_ahead(ahead)))

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
            self._peer_positions[topic].pop(host, None)
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


def _furthest_ahead(known: dict[str, positions.Position]) -> list[str]:
    """Returns the hosts that are furthest ahead."""
    furthest = max(known.values())
    return [host for host, position in known.items() if position == furthest]
