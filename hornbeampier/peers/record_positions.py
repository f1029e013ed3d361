"""Translates positions in topics to and from gossip messages."""

from collections.abc import Iterable

from hornbeampier.peers import messages
from hornbeampier.replication import positions


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
