"""Gossip membership, from datagrams, seeds and the members peers report."""

from collections.abc import Iterable
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.peers import messages

# A VM that nobody heard from for longer is no longer a member.
MEMBER_TIMEOUT_MS = 12_000.0
# Added to the reported silence of a member for the time that the report took.
# Without it, VMs could keep a dead VM alive by reporting it to each other.
REPORT_DELAY_MS = 100.0
# A VM that is no longer a member is remembered for this time. Until then it is
# assumed to serve callers, and VMs that report no silence cannot bring it back.
RETENTION_MS = 120_000.0
# Interval at which seeds that are not members are contacted. It starts short,
# as VMs that start together may not be up yet, and doubles up to the maximum.
FIRST_SEED_INTERVAL_MS = 100.0
MAX_SEED_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live VM.

    Attributes:
        zone: Short code of its availability zone.
        seen_ms: When it was last heard, on this VM's monotonic clock.
    """

    host: str
    zone: int
    seen_ms: float


class Membership:
    """The live peers and the seeds to contact.

    Attributes:
        changed_ms: When a member was last added or lost.
        version: Grows with each change of the members or their zones.
    """

    def __init__(
        self, own_host: str, seeds: Iterable[str], clock: clocks.Clock
    ):
        self._own_host = own_host
        self._seeds = tuple(host for host in seeds if host != own_host)
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._lost_ms: dict[str, float] = {}
        self._seed_interval_ms = FIRST_SEED_INTERVAL_MS
        self._next_seed_ms = clock.now()
        self._hosts: list[str] | None = None
        # Nobody expires before this time.
        self._next_expiry_ms = math.inf
        self.changed_ms = clock.now()
        self.version = 0

    def record_received(self, host: str, zone: int = 0) -> None:
        """Records that a datagram came from a host."""
        if host != self._own_host:
            self._update(Member(host, zone, self._clock.now()))

    def record_reported(self, hosts: Iterable[str]) -> None:
        """Adds the members that a peer reports without their silence.

        A host that this VM has lost is not added again: its peers may not have
        noticed yet.
        """
        self._expire()
        for host in hosts:
            if host not in self._members and host not in self._lost_ms:
                self.record_received(host)

    def record_reports(self, reports: Iterable[messages.MemberReport]) -> None:
        """Updates members that a peer reports with their silence."""
        now_ms = self._clock.now()
        for report in reports:
            seen_ms = now_ms - report.silent_ms - REPORT_DELAY_MS
            known = self._members.get(report.host)
            is_news = known is None or seen_ms > known.seen_ms
            is_live = seen_ms >= now_ms - MEMBER_TIMEOUT_MS
            if report.host != self._own_host and is_news and is_live:
                self._update(Member(report.host, report.zone, seen_ms))

    def reports(self) -> tuple[messages.MemberReport, ...]:
        """Returns the members, to be reported to peers."""
        now_ms = self._clock.now()
        return tuple(
            messages.MemberReport(m.host, m.zone, round(now_ms - m.seen_ms))
            for m in self.members()
        )

    def members(self) -> list[Member]:
        """Returns the live members, ordered by host."""
        return [self._members[host] for host in self.live()]

    def live(self) -> list[str]:
        """Returns the hosts of the live members, in order."""
        self._expire()
        if self._hosts is None:
            self._hosts = sorted(self._members)
        return list(self._hosts)

    def last_seen_ms(self) -> float:
        """Returns when any peer was last heard, on the monotonic clock."""
        return max(
            (member.seen_ms for member in self._members.values()),
            default=-math.inf,
        )

    def known_count(self) -> int:
        """Returns the number of members, including recently lost ones."""
        self._expire()
        return len(self._members) + len(self._lost_ms)

    def knows(self, host: str) -> bool:
        """Whether a host is a member, or was one recently."""
        self._expire()
        return host in self._members or host in self._lost_ms

    def due_seeds(self) -> list[str]:
        """Returns the seeds that are not members, if they are due."""
        now_ms = self._clock.now()
        if now_ms < self._next_seed_ms:
            return []
        self._next_seed_ms = now_ms + self._seed_interval_ms
        self._seed_interval_ms = min(
            2 * self._seed_interval_ms, MAX_SEED_INTERVAL_MS
        )
        return [seed for seed in self._seeds if seed not in self._members]

    def targets(self) -> list[str]:
        """Returns the hosts of the next round: members, and seeds if due."""
        return self.live() + self.due_seeds()

    def _update(self, member: Member) -> None:
        known = self._members.get(member.host)
        if known is None:
            self._record_change()
        elif known.zone != member.zone:
            self.version += 1
        self._members[member.host] = member
        self._lost_ms.pop(member.host, None)
        self._next_expiry_ms = min(
            self._next_expiry_ms, member.seen_ms + MEMBER_TIMEOUT_MS
        )

    def _record_change(self) -> None:
        self._hosts = None
        self.changed_ms = self._clock.now()
        self.version += 1

    def _expire(self) -> None:
        now_ms = self._clock.now()
        if now_ms <= self._next_expiry_ms:
            return
        for host, member in list(self._members.items()):
            if member.seen_ms < now_ms - MEMBER_TIMEOUT_MS:
                del self._members[host]
                self._lost_ms[host] = now_ms
                self._record_change()
        for host, lost_ms in list(self._lost_ms.items()):
            if lost_ms < now_ms - RETENTION_MS:
                del self._lost_ms[host]
        self._next_expiry_ms = min(
            min((m.seen_ms for m in self._members.values()), default=math.inf)
            + MEMBER_TIMEOUT_MS,
            min(self._lost_ms.values(), default=math.inf) + RETENTION_MS,
        )
