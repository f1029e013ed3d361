"""Tells peers up to when this VM has missed no change of a topic."""

from collections.abc import Mapping
import math

from hornbeampier import clock as clocks
from hornbeampier.peers import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica

# A VM that may have missed changes for longer does not tell up to when.
MAX_AGE_MS = 10_000.0

Checks = dict[str, messages.RecordCheck]


class RecordChecks:
    """Translates between the currency of replicas and gossip messages."""

    def __init__(
        self, replicas: Mapping[str, replica.TopicReplica], clock: clocks.Clock
    ):
        self._replicas = replicas
        self._clock = clock
        # As of when a read of the store has been told.
        self._told_ms = -math.inf

    def all(self) -> Checks:
        """Returns up to when this VM has missed no change, by topic."""
        now_ms = self._clock.now()
        checks = {}
        for topic, topic_replica in self._replicas.items():
            age_ms = topic_replica.currency.age_ms(now_ms)
            changed = topic_replica.changed
            if changed is not None and age_ms <= MAX_AGE_MS:
                checks[topic] = messages.RecordCheck(
                    changed.era,
                    changed.offset,
                    changed.carried,
                    math.ceil(age_ms),
                )
        return checks

    def take_news(self) -> Checks:
        """Returns the same if this VM has read the store since the last call.

        Otherwise it returns nothing.
        """
        read_ms = max(r.currency.read_ms for r in self._replicas.values())
        if read_ms <= self._told_ms:
            return {}
        self._told_ms = read_ms
        return self.all()

    def apply(self, checks: Mapping[str, messages.RecordCheck]) -> None:
        """Records up to when a peer has missed no change."""
        now_ms = self._clock.now()
        for topic, check in checks.items():
            if topic in self._replicas:
                topic_replica = self._replicas[topic]
                topic_replica.currency.record_peer(
                    positions.Position(check.era, check.offset, check.carried),
                    now_ms - check.age_ms,
                    topic_replica.position,
                )
