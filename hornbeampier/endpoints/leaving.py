"""Marks of leaving endpoints, from this VM's own evidence and its peers'.

A VM sends its peers only its own evidence, from the VM list or from the
endpoint's load report, together with the age of that evidence. It never
forwards a peer's marks, so that no mark circulates after an endpoint returned.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from hornbeampier import clock
from hornbeampier.coordination import records

# Longest time by which one VM's list may be older than another's. A peer's
# older evidence is ignored if this VM's own list is recent and does not show
# the endpoint leaving.
MAX_EVIDENCE_AGE_MS = 60_000.0
# A VM list is recent if it was read within this time.
RECENT_LIST_MS = 10_000.0
# Bounds the marks in one hint.
MAX_MARKS = 64


class Source(enum.Enum):
    """Sources of a VM's own evidence that an endpoint is leaving."""

    VM_LIST = enum.auto()
    LOAD_REPORT = enum.auto()


@dataclasses.dataclass
class _Evidence:
    """This VM's own evidence on one endpoint; all times are monotonic.

    Attributes:
        leaving_seen_ms: When each source last showed the endpoint as leaving.
        returned_ms: When the last of the sources ceased to show that.
    """

    leaving_seen_ms: dict[Source, float] = dataclasses.field(
        default_factory=dict
    )
    returned_ms: float = float("-inf")


class LeavingMarks:
    """The endpoints that this VM or a peer knows to be leaving."""

    def __init__(self, clk: clock.Clock):
        self._clock = clk
        self._own_evidence: dict[str, _Evidence] = {}
        self._peer_marks: dict[str, dict[str, float]] = {}
        self._list_read_ms = float("-inf")

    def record_vm_list(self, vms: Iterable[records.ListedVm]) -> None:
        """Records the evidence in a VM list that was just read."""
        self._list_read_ms = self._clock.now()
        for vm in vms:
            leaving = vm.state is records.VmState.LEAVING
            self._record_evidence(vm.name, Source.VM_LIST, leaving)

    def record_load_report(self, endpoint: str, leaving: bool) -> None:
        """Records the evidence in an endpoint's load report."""
        self._record_evidence(endpoint, Source.LOAD_REPORT, leaving)

    def record_peer_marks(self, vm: str, ages_ms: Mapping[str, float]) -> None:
        """Replaces a peer's marks.

        Args:
            vm: The peer's name.
            ages_ms: The age of the peer's evidence by endpoint.
        """
        now_ms = self._clock.now()
        self._peer_marks[vm] = {
            name: now_ms - max(0.0, age_ms)
            for name, age_ms in list(ages_ms.items())[:MAX_MARKS]
        }

    def own_mark_ages_ms(self) -> dict[str, float]:
        """Returns the age of this VM's own evidence, by endpoint.

        Contains the newest `MAX_MARKS` only.
        """
        now_ms = self._clock.now()
        ages_ms = {
            name: now_ms - max(evidence.leaving_seen_ms.values())
            for name, evidence in self._own_evidence.items()
            if evidence.leaving_seen_ms
        }
        newest = sorted(ages_ms, key=ages_ms.__getitem__)[:MAX_MARKS]
        return {name: ages_ms[name] for name in newest}

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether the endpoint should get no new requests."""
        evidence = self._own_evidence.get(endpoint, _NO_EVIDENCE)
        if evidence.leaving_seen_ms:
            return True
        return any(
            endpoint in marks
            and self._is_valid(marks[endpoint], evidence.returned_ms)
            for marks in self._peer_marks.values()
        )

    def forget_unlisted_peers(self, vms: Iterable[records.ListedVm]) -> None:
        """Drops the marks of unlisted VMs whose evidence is all too old."""
        listed = {vm.name for vm in vms}
        oldest_ms = self._clock.now() - MAX_EVIDENCE_AGE_MS
        for vm in set(self._peer_marks) - listed:
            if all(
                evidence_ms < oldest_ms
                for evidence_ms in self._peer_marks[vm].values()
            ):
                del self._peer_marks[vm]

    def _is_valid(self, evidence_ms: float, returned_ms: float) -> bool:
        """Returns whether a peer's evidence from `evidence_ms` is valid.

        It is not if this VM saw the endpoint return later, nor if it is older
        than `MAX_EVIDENCE_AGE_MS` while this VM's own list is recent.
        """
        if evidence_ms <= returned_ms:
            return False
        now_ms = self._clock.now()
        if now_ms - self._list_read_ms > RECENT_LIST_MS:
            return True
        return now_ms - evidence_ms <= MAX_EVIDENCE_AGE_MS

    def _record_evidence(
        self, endpoint: str, source: Source, leaving: bool
    ) -> None:
        now_ms = self._clock.now()
        if leaving:
            evidence = self._own_evidence.setdefault(endpoint, _Evidence())
            evidence.leaving_seen_ms[source] = now_ms
            return
        evidence = self._own_evidence.get(endpoint)
        if evidence is None or source not in evidence.leaving_seen_ms:
            return
        del evidence.leaving_seen_ms[source]
        if not evidence.leaving_seen_ms:
            evidence.returned_ms = now_ms


_NO_EVIDENCE = _Evidence()
