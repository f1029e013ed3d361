"""Which endpoints are leaving, from this VM's own evidence and its peers'.

A VM tells its peers only what it learned itself, from the VM list or from the
endpoint's load report, together with the age of that evidence. It never passes
on what a peer said, so no mark can circulate after the endpoint came back.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from hornbeampier import clock
from hornbeampier.coordination import records

# The longest lag of the VM list between two VMs: older evidence of a peer is
# void if this VM's own list is fresh and does not show the endpoint leaving.
MAX_EVIDENCE_AGE_MS = 60_000.0
FRESH_LIST_MS = 10_000.0
# Bounds the part of a hint that carries marks.
MAX_MARKS = 64


class Source(enum.Enum):
    """Where a VM learns itself that an endpoint is leaving."""

    VM_LIST = enum.auto()
    LOAD_REPORT = enum.auto()


@dataclasses.dataclass
class _Evidence:
    """What this VM saw itself.

    Attributes:
        leaving: When each source last showed the endpoint leaving.
        returned_ms: When the last of the sources ceased to show it.
    """

    leaving: dict[Source, float] = dataclasses.field(default_factory=dict)
    returned_ms: float = float("-inf")


class LeavingMarks:
    """Marks of leaving endpoints by endpoint name."""

    def __init__(self, clk: clock.Clock):
        self._clock = clk
        self._own: dict[str, _Evidence] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self._list_read_ms = float("-inf")

    def note_list(self, vms: Iterable[records.ListedVm]) -> None:
        """Takes in a VM list that was just read."""
        self._list_read_ms = self._clock.now()
        for vm in vms:
            leaving = vm.state is records.VmState.LEAVING
            self._note(vm.name, Source.VM_LIST, leaving)

    def note_report(self, endpoint: str, leaving: bool) -> None:
        """Takes in an endpoint's own report."""
        self._note(endpoint, Source.LOAD_REPORT, leaving)

    def note_peer(self, vm: str, ages_ms: Mapping[str, float]) -> None:
        """Replaces a peer's marks; each has the age of its evidence in ms."""
        now_ms = self._clock.now()
        self._peers[vm] = {
            name: now_ms - max(0.0, age_ms)
            for name, age_ms in list(ages_ms.items())[:MAX_MARKS]
        }

    def own_ages_ms(self) -> dict[str, float]:
        """Returns this VM's own marks with the age of their evidence in ms."""
        now_ms = self._clock.now()
        ages_ms = {
            name: now_ms - max(found.leaving.values())
            for name, found in self._own.items()
            if found.leaving
        }
        youngest = sorted(ages_ms, key=ages_ms.__getitem__)[:MAX_MARKS]
        return {name: ages_ms[name] for name in youngest}

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether the endpoint should get no new work."""
        found = self._own.get(endpoint, _NOTHING_SEEN)
        if found.leaving:
            return True
        return any(
            endpoint in marks
            and self._counts(marks[endpoint], found.returned_ms)
            for marks in self._peers.values()
        )

    def forget_missing_peers(self, vms: Iterable[records.ListedVm]) -> None:
        """Drops void marks of VMs that are no longer listed."""
        listed = {vm.name for vm in vms}
        oldest_ms = self._clock.now() - MAX_EVIDENCE_AGE_MS
        for vm in set(self._peers) - listed:
            if all(at_ms < oldest_ms for at_ms in self._peers[vm].values()):
                del self._peers[vm]

    def _counts(self, evidence_ms: float, returned_ms: float) -> bool:
        """Returns whether a peer's evidence still stands."""
        if evidence_ms <= returned_ms:
            return False
        now_ms = self._clock.now()
        if now_ms - self._list_read_ms > FRESH_LIST_MS:
            return True
        return now_ms - evidence_ms <= MAX_EVIDENCE_AGE_MS

    def _note(self, endpoint: str, source: Source, leaving: bool) -> None:
        now_ms = self._clock.now()
        if leaving:
            found = self._own.setdefault(endpoint, _Evidence())
            found.leaving[source] = now_ms
            return
        found = self._own.get(endpoint)
        if found is None or source not in found.leaving:
            return
        del found.leaving[source]
        if not found.leaving:
            found.returned_ms = now_ms


_NOTHING_SEEN = _Evidence()
