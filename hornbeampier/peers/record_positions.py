"""Translates positions in topics to and from gossip messages."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from hornbeampier.peers import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica

# A VM that may have missed changes for longer does not tell up to when.
MAX_CHECK_AGE_MS = 10_000.0


def to_offsets(reached: dict[str, positions.Position]) -> dict[str, int]:
    """Returns the offsets, for VMs of versions without positions."""
    return {topic: position.offset for topic, position in reached.items()}


def to_messages(
    reached: dict[str, positions.Position],
) -> dict[str, messages.RecordPosition]:
    """Returns the wire types of positions by topic."""
    return {
        topic: messages.RecordPosition(
            position.era, position.offset, position.carried
        )
        for topic, position in reached.items()
    }


def of_message(
    message: messages.StateMessage,
) -> dict[str, positions.Position]:
    """Returns the positions that the sender has reached, by topic.

    A sender of a version without positions knows no eras: it counts as being in
    the first one.
    """
    if not message.positions:
        return {
            topic: positions.Position(0, offset)
            for topic, offset in message.offsets.items()
        }
    return {
        topic: positions.Position(p.era, p.offset, p.carried)
        for topic, p in message.positions.items()
    }


def to_sources(
    position: positions.Position, hosts: Iterable[str]
) -> messages.RecordSources:
    """Returns the hosts that have reached a position."""
    return messages.RecordSources(
        position.offset, tuple(hosts), position.era, position.carried
    )


def of_sources(sources: messages.RecordSources) -> positions.Position:
    """Returns the position that the hosts have reached."""
    return positions.Position(sources.era, sources.offset, sources.carried)


def to_checks(
    replicas: Mapping[str, replica.TopicReplica], now_ms: float
) -> dict[str, messages.RecordCheck]:
    """Returns up to when this VM has missed no change, by topic."""
    checks = {}
    for topic, topic_replica in replicas.items():
        age_ms = topic_replica.currency.age_ms(now_ms)
        changed = topic_replica.changed
        if changed is not None and age_ms <= MAX_CHECK_AGE_MS:
            checks[topic] = messages.RecordCheck(
                changed.era, changed.offset, changed.carried, math.ceil(age_ms)
            )
    return checks


def apply_checks(
    checks: Mapping[str, messages.RecordCheck],
    replicas: Mapping[str, replica.TopicReplica],
    now_ms: float,
) -> None:
    """Records up to when a peer has missed no change."""
    for topic, check in checks.items():
        if topic not in replicas:
            continue
        replicas[topic].currency.record_peer(
            positions.Position(check.era, check.offset, check.carried),
            now_ms - check.age_ms,
            replicas[topic].position,
        )
