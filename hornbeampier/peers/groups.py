"""The VMs that send their state to this one as their hub, and their news."""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.peers import messages

# A VM that was silent for longer has another hub.
MEMBER_TIMEOUT_MS = 1_500.0
HUB_TIMEOUT_MS = 1_500.0
# Maximum number of placements in one message of a hub.
MAX_PLACEMENTS = 150


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """A VM that sends its state to this hub.

    Attributes:
        reads_store: Whether it reads the store.
        received_ms: When its last message arrived.
    """

    host: str
    vm: str
    reads_store: bool
    received_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What a message reported once, to be passed on by a hub.

    Attributes:
        vm: The VM that sent the message.
        is_from_group: Whether it is in the group of this hub.
    """

    vm: str
    is_from_group: bool
    sent_tokens: dict[str, int]
    placements: tuple[messages.Placement, ...]


class Group:
    """The hub of this VM, or the group of this VM if it acts as a hub."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._members: dict[str, GroupMember] = {}
        # When each other hub last sent the sums of its group.
        self._hubs_ms: dict[str, float] = {}
        self._news: list[News] = []
        self._hub: str | None = None
        self._hub_ms = -math.inf

    def record(self, host: str, message: messages.StateMessage) -> None:
        """Records a message of a member, of another hub or of the own hub."""
        now_ms = self._clock.now()
        if message.scope == messages.Scope.FLEET:
            self._hub, self._hub_ms = host, now_ms
        is_from_group = message.scope == messages.Scope.MEMBER
        if is_from_group:
            self._members[host] = GroupMember(
                host, message.vm, message.reads_store, now_ms
            )
        elif message.scope == messages.Scope.GROUP:
            self._hubs_ms[host] = now_ms
        else:
            return
        if message.sent_tokens or message.placements:
            self._news.append(
                News(
                    message.vm,
                    is_from_group,
                    message.sent_tokens,
                    message.placements,
                )
            )

    def members(self) -> list[GroupMember]:
        """Returns the members that are not silent."""
        oldest_ms = self._clock.now() - MEMBER_TIMEOUT_MS
        self._members = {
            host: member
            for host, member in self._members.items()
            if member.received_ms >= oldest_ms
        }
        return list(self._members.values())

    def hubs(self) -> list[str]:
        """Returns the hosts of other hubs that are not silent."""
        oldest_ms = self._clock.now() - MEMBER_TIMEOUT_MS
        self._hubs_ms = {
            host: received_ms
            for host, received_ms in self._hubs_ms.items()
            if received_ms >= oldest_ms
        }
        return list(self._hubs_ms)

    def hub(self) -> str | None:
        """Returns the host of the hub that this VM hears, or None."""
        is_silent = self._clock.now() - self._hub_ms > HUB_TIMEOUT_MS
        return None if is_silent else self._hub

    def take_news(self) -> list[News]:
        """Removes and returns the news since the last call."""
        news, self._news = self._news, []
        return news


def merge_tokens(news: Collection[News]) -> dict[str, int]:
    """Returns the sums of the sent tokens by endpoint."""
    totals: dict[str, int] = {}
    for item in news:
        for endpoint_id, tokens in item.sent_tokens.items():
            totals[endpoint_id] = totals.get(endpoint_id, 0) + tokens
    return totals


def merge_placements(
    news: Collection[News],
) -> tuple[messages.Placement, ...]:
    """Returns the placements without duplicates, the newest at the most."""
    unique = dict.fromkeys(_placements(news))
    return tuple(unique)[-MAX_PLACEMENTS:]


def _placements(news: Collection[News]) -> Iterator[messages.Placement]:
    for item in news:
        yield from item.placements
