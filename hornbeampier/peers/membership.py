"""Gossip membership, from datagrams, seeds and the members peers report."""

from collections.abc import Iterable

from hornbeampier import clock as clocks

# A VM from which no datagram came for longer is no longer a member.
MEMBER_TIMEOUT_MS = 8_000.0
# Interval at which seeds that are not members are contacted. It starts short,
# as VMs that start together may not be up yet, and doubles up to the maximum.
FIRST_SEED_INTERVAL_MS = 100.0
MAX_SEED_INTERVAL_MS = 1_000.0


class Membership:
    """The hosts of the live peers and the seeds to contact."""

    def __init__(
        self, own_host: str, seeds: Iterable[str], clock: clocks.Clock
    ):
        self._own_host = own_host
        self._seeds = tuple(host for host in seeds if host != own_host)
        self._clock = clock
        self._last_seen_ms: dict[str, float] = {}
        self._seed_interval_ms = FIRST_SEED_INTERVAL_MS
        self._next_seed_ms = clock.now()

    def record_received(self, host: str) -> None:
        """Records that a datagram came from a host."""
        if host != self._own_host:
            self._last_seen_ms[host] = self._clock.now()

    def record_reported(self, hosts: Iterable[str]) -> None:
        """Adds the members that a peer reports."""
        for host in hosts:
            if host != self._own_host:
                self._last_seen_ms.setdefault(host, self._clock.now())

    def live(self) -> list[str]:
        """Returns the live members; removes those past `MEMBER_TIMEOUT_MS`."""
        oldest_ms = self._clock.now() - MEMBER_TIMEOUT_MS
        for host in [
            h for h, ms in self._last_seen_ms.items() if ms < oldest_ms
        ]:
            del self._last_seen_ms[host]
        return sorted(self._last_seen_ms)

    def targets(self) -> list[str]:
        """Returns the hosts of the next round: members, and seeds if due."""
        hosts = self.live()
        now_ms = self._clock.now()
        if now_ms >= self._next_seed_ms:
            self._next_seed_ms = now_ms + self._seed_interval_ms
            self._seed_interval_ms = min(
                2 * self._seed_interval_ms, MAX_SEED_INTERVAL_MS
            )
            hosts += [seed for seed in self._seeds if seed not in hosts]
        return hosts
