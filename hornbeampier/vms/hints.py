"""Load hints between the entry VMs in UDP datagrams."""

from collections.abc import Callable
import dataclasses

import gevent
from gevent import socket
import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.vms import messages

MAX_DATAGRAM_BYTES = 8_192
# A peer that is silent for so many intervals is left out.
MISSED_INTERVALS = 4


@dataclasses.dataclass(frozen=True)
class _Heard:
    hint: messages.Hint
    at_ms: float


class HintExchange(application.BaseComponent):
    """Sends this VM's hint to all peers and keeps the newest of each."""

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
        self._heard: dict[str, _Heard] = {}
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
            if vm.is_entry and vm.name != self._vm
        }

    def start(self) -> None:
        """Binds the socket and starts to send and receive."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self.port = self._sock.getsockname()[1]
        self._tasks = [gevent.spawn(self._send), gevent.spawn(self._receive)]

    def stop(self) -> None:
        """Ends both tasks and closes the socket."""
        gevent.killall(self._tasks)
        if self._sock:
            self._sock.close()

    def in_flight(self, endpoint: str) -> int:
        """Returns the requests of all recently heard peers there."""
        return sum(
            heard.hint.in_flight.get(endpoint, 0) for heard in self._recent()
        )

    def waiting_above(self, tier: int) -> int:
        """Returns the peers' waiting requests of more urgent tiers."""
        return sum(
            count
            for heard in self._recent()
            for other, count in heard.hint.waiting.items()
            if other < tier
        )

    def count(self) -> int:
        """Returns how many peers were heard recently."""
        return len(self._recent())

    def suspects_at(self, endpoint: str) -> bool:
        """Returns whether a peer runs a suspected request there."""
        return any(endpoint in h.hint.suspects_at for h in self._recent())

    def reserved(self, endpoint: str) -> bool:
        """Returns whether a peer keeps the endpoint for one suspect."""
        return any(endpoint in h.hint.reserved for h in self._recent())

    def complete(self) -> bool:
        """Returns whether every listed peer was heard recently."""
        recent = {heard.hint.vm for heard in self._recent()}
        return recent >= set(self._peers)

    def _recent(self) -> list[_Heard]:
        oldest = self._clock.now() - MISSED_INTERVALS * self._interval_ms
        return [h for h in self._heard.values() if h.at_ms >= oldest]

    def _send(self) -> None:
        while True:
            self.announce()
            self._clock.sleep(self._interval_ms)

    def announce(self) -> None:
        """Sends a hint to all peers now."""
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
        # Only a recent hint counts: one absurd number mutes nobody for long.
        former = {h.hint.vm: h.hint for h in self._recent()}.get(hint.vm)
        if former and _is_older(hint, former):
            return
        self._heard[hint.vm] = _Heard(hint, self._clock.now())
        self._on_hint(hint)


def _is_older(hint: messages.Hint, former: messages.Hint) -> bool:
    """Returns whether a hint was overtaken by another of its process."""
    return hint.boot == former.boot and hint.sequence <= former.sequence
