"""Load hints that VMs send each other in UDP datagrams."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import math

import gevent
from gevent import socket
import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.coordination import records
from hornbeampier.vms import messages

MAX_DATAGRAM_BYTES = 8_192
# A peer that sent no hint for this many intervals is not live.
MAX_MISSED_INTERVALS = 4


@dataclasses.dataclass(frozen=True)
class _ReceivedHint:
    hint: messages.Hint
    received_ms: float


@dataclasses.dataclass(frozen=True)
class _Summary:
    """The recent hints of all peers combined; see `messages.Hint`.

    Attributes:
        vms: Names of the live peers.
        waiting: Number of queued requests by target and tier.
        valid_until_ms: When the first of the hints is no longer recent.
    """

    vms: frozenset[str]
    in_flight: collections.Counter[str]
    waiting: collections.Counter[tuple[str, int]]
    suspects_at: frozenset[str]
    reserved: frozenset[str]
    all_peers_live: bool
    valid_until_ms: float


class HintExchange(application.BaseComponent):
    """Sends this VM's hint to all peers and keeps the newest hint of each."""

    def __init__(
        self,
        vm: str,
        host: str,
        port: int,
        clk: clock.Clock,
        make_hint: Callable[[int], messages.Hint],
        on_hint: Callable[[messages.Hint], None],
        interval_ms: float,
    ):
        self._vm = vm
        self._address = (host, port)
        self._clock = clk
        self._make_hint = make_hint
        self._on_hint = on_hint
        self._interval_ms = interval_ms
        self._log = structlog.get_logger(task="hints")
        self._peers: dict[str, tuple[str, int]] = {}
        self._newest_hints: dict[str, _ReceivedHint] = {}
        self._cached_summary: _Summary | None = None
        self._peer_timeout_ms = MAX_MISSED_INTERVALS * interval_ms
        self._sequence = 0
        self._sock: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []
        self.sent_bytes = 0
        self.port = port

    def apply_vm_list(self, vms: tuple[records.ListedVm, ...]) -> None:
        """Takes the peers' addresses from the VM list."""
        self._peers = {
            vm.name: (vm.host, vm.hint_port)
            for vm in vms
            if vm.runs_router and vm.name != self._vm
        }
        self._cached_summary = None

    def start(self) -> None:
        """Binds the socket and starts to send and receive."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self.port = self._sock.getsockname()[1]
        self._tasks = [gevent.spawn(self._send), gevent.spawn(self._receive)]

    def stop(self) -> None:
        """Stops sending and receiving and closes the socket."""
        gevent.killall(self._tasks)
        if self._sock:
            self._sock.close()

    def in_flight(self, endpoint: str) -> int:
        """Returns the number of requests of live peers at an endpoint."""
        return self._summary.in_flight[endpoint]

    def waiting_in_higher_tiers(self, target: str, tier: int) -> int:
        """Returns the number of requests of higher tiers queued at live peers.

        Only those for the same target count. Tier 1 is the highest.
        """
        return sum(
            count
            for (other, other_tier), count in self._summary.waiting.items()
            if other == target and other_tier < tier
        )

    def is_waiting_with_fewer(
        self, target: str, tier: int, endpoints: Sequence[str], own: int
    ) -> bool:
        """Returns whether a live peer waits and runs fewer than `own` requests.

        Only its waiting requests for the target in this tier count, and its
        requests that run at `endpoints`.
        """
        return any(
            received.hint.waiting.get(target, {}).get(tier, 0)
            and sum(received.hint.in_flight.get(e, 0) for e in endpoints) < own
            for received in self._recent_hints()
        )

    def live_peer_count(self) -> int:
        """Returns the number of live peers, those with a recent hint."""
        return len(self._summary.vms)

    def runs_suspect(self, endpoint: str) -> bool:
        """Returns whether a live peer runs a suspect request at `endpoint`."""
        return endpoint in self._summary.suspects_at

    def is_reserved(self, endpoint: str) -> bool:
        """Returns whether a live peer reserves an endpoint for a suspect."""
        return endpoint in self._summary.reserved

    def all_peers_live(self) -> bool:
        """Returns whether every listed peer is live."""
        return self._summary.all_peers_live

    @property
    def _summary(self) -> _Summary:
        """The current summary, recomputed after a change or an expiry."""
        if (
            self._cached_summary is None
            or self._clock.now() > self._cached_summary.valid_until_ms
        ):
            self._cached_summary = _summarize(
                self._recent_hints(),
                self._peers.keys(),
                self._peer_timeout_ms,
            )
        return self._cached_summary

    def _recent_hints(self) -> list[_ReceivedHint]:
        return [h for h in self._newest_hints.values() if self._is_recent(h)]

    def _is_recent(self, received: _ReceivedHint) -> bool:
        return self._clock.now() <= received.received_ms + self._peer_timeout_ms

    def _send(self) -> None:
        while True:
            self.send_hint()
            self._clock.sleep(self._interval_ms)

    def send_hint(self) -> None:
        """Sends this VM's hint to all peers at once."""
        self._sequence += 1
        payload = msgspec.msgpack.encode(self._make_hint(self._sequence))
        for address in list(self._peers.values()):
            self._send_to(payload, address)

    def _send_to(self, payload: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(payload, address)
            self.sent_bytes += len(payload)
        except OSError as exc:
            self._log.debug("hint_not_sent", error=str(exc))

    def _receive(self) -> None:
        while True:
            payload, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                hint = msgspec.msgpack.decode(payload, type=messages.Hint)
            except errors.DECODE_ERRORS:
                self._log.warning("hint_unreadable")
                continue
            self._accept(hint)

    def _accept(self, hint: messages.Hint) -> None:
        if hint.vm == self._vm or hint.vm not in self._peers:
            return
        # Compared only with a recent hint, so that a wrong sequence number
        # cannot suppress a peer's hints for long.
        previous = self._newest_hints.get(hint.vm)
        if (
            previous
            and self._is_recent(previous)
            and _is_older(hint, previous.hint)
        ):
            return
        self._newest_hints[hint.vm] = _ReceivedHint(hint, self._clock.now())
        self._cached_summary = None
        self._on_hint(hint)


def _summarize(
    recent_hints: list[_ReceivedHint],
    listed_peers: Set[str],
    peer_timeout_ms: float,
) -> _Summary:
    in_flight: collections.Counter[str] = collections.Counter()
    waiting: collections.Counter[tuple[str, int]] = collections.Counter()
    for received in recent_hints:
        in_flight.update(received.hint.in_flight)
        for target, tiers in received.hint.waiting.items():
            waiting.update({(target, t): n for t, n in tiers.items()})
    vms = frozenset(received.hint.vm for received in recent_hints)
    return _Summary(
        vms,
        in_flight,
        waiting,
        frozenset(n for h in recent_hints for n in h.hint.suspects_at),
        frozenset(n for h in recent_hints for n in h.hint.reserved),
        vms >= listed_peers,
        min((h.received_ms for h in recent_hints), default=math.inf)
        + peer_timeout_ms,
    )


def _is_older(hint: messages.Hint, previous: messages.Hint) -> bool:
    """Returns whether a hint of the same process is older or a duplicate."""
    return hint.boot == previous.boot and hint.sequence <= previous.sequence
