"""Wire types of the gossip; fields are encoded by position, without names."""

import enum
import functools
import math

import msgspec

from hornbeampier import bounds
from hornbeampier import errors
from hornbeampier.routing import prompt_kinds


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """A VM's requests in flight at an endpoint, and the endpoint's latency.

    Attributes:
        in_flight: Number of the requests.
        prefill_tokens: Prompt tokens of the requests that still wait for their
            first event.
        measured_ms: Decayed sum of the latencies of recent responses.
        expected_ms: Decayed sum of the latencies that were expected.
    """

    in_flight: bounds.Integer
    prefill_tokens: bounds.Integer
    measured_ms: bounds.Integer
    expected_ms: bounds.Integer


class Placement(msgspec.Struct, array_like=True, frozen=True):
    """A prompt segment that was sent to an engine, which may cache it."""

    endpoint: str
    segment: str
    tokens: bounds.Count


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A suspect of the crash of an incarnation of an endpoint."""

    suspect: str
    incarnation: str


# Digests of the suspects of crashes, by incarnation of the endpoint. A crash
# may concern as many requests as an engine runs.
CrashReports = dict[str, tuple[bounds.Digest, ...]]


class BlockReport(msgspec.Struct, array_like=True, frozen=True):
    """What is blocked, for VMs that missed the crashes.

    Attributes:
        suspects: Digests of suspects that have the same crashes.
        count: Number of these crashes.
        incarnation: Incarnation of the endpoint that crashed last.
        age_ms: Time since that crash.
    """

    suspects: tuple[bounds.Digest, ...]
    count: bounds.Count
    incarnation: str
    age_ms: bounds.WholeMs


class EndpointNotice(msgspec.Struct, array_like=True, frozen=True):
    """What a process of an endpoint has announced.

    Attributes:
        started_ms: Start of the process, see `domain.Endpoint`.
        leaving: Whether it leaves.
        limit_per_s: Requests per second from all VMs together, or None if it
            names no limit any more.
        limit_age_ms: Age of what is known of the limit; None if nothing is.
        leaving_age_ms: Time since it announced that it leaves; None if it did
            not, and from VMs of earlier versions.
        serving_age_ms: Time since a health check was sent that showed that it
            does not leave; None if none did.
    """

    endpoint: str
    started_ms: bounds.Number
    leaving: bool
    limit_per_s: float | None
    limit_age_ms: bounds.WholeMs | None
    leaving_age_ms: bounds.WholeMs | None = None
    serving_age_ms: bounds.WholeMs | None = None


class Scope(enum.IntEnum):
    """Whose state a message holds, and what the receiver is to the sender.

    Attributes:
        PEER: The sender's own state, for any peer.
        MEMBER: The sender's own state, for its hub.
        GROUP: The sums over a hub and the VMs that send to it, for other hubs.
        FLEET: The sums over all VMs but the receiver, from its hub.
        REPLY: The sender's own state, for a VM that sent its own as to a peer
            although the deployment has hubs.
    """

    PEER = 0
    MEMBER = 1
    GROUP = 2
    FLEET = 3
    REPLY = 4


KNOWN_SCOPES = frozenset(Scope)


class RecordPosition(msgspec.Struct, array_like=True, frozen=True):
    """A `positions.Position` of a topic."""

    era: bounds.Count
    offset: bounds.Count
    carried: bool


class RecordCheck(msgspec.Struct, array_like=True, frozen=True):
    """Up to when a VM has missed no change of a topic.

    Attributes:
        era: Era of the position before which all these changes come.
        offset: Its offset.
        carried: See `positions.Position`.
        age_ms: How long ago that was.
    """

    era: bounds.Count
    offset: bounds.Count
    carried: bool
    age_ms: bounds.WholeMs


class RecordSources(msgspec.Struct, array_like=True, frozen=True):
    """Hosts from which records of a topic can be fetched.

    Attributes:
        offset: Offset that these hosts have reached.
        era: Era of the store to which the offset belongs.
        carried: See `positions.Position`.
    """

    offset: bounds.Count
    hosts: tuple[str, ...]
    era: bounds.Count = 0
    carried: bool = False


class MemberReport(msgspec.Struct, array_like=True, frozen=True):
    """A member, as a peer knows it.

    Attributes:
        zone: Code of its availability zone.
        silent_ms: Time since it was last heard.
    """

    host: str
    zone: bounds.Count
    silent_ms: bounds.WholeMs


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """The state of a VM, full or as a delta.

    Attributes:
        vm: Name of the sender.
        boot: Random id of the sender's process.
        sequence: Number of the round of datagrams; grows until a restart.
        is_delta: Whether it holds only what changed since the last round.
        reads_store: Whether the VM reads the store and its last calls did
            not fail.
        offsets: Offset that the VM has reached in each topic, for VMs of
            versions without `positions`.
        loads: Load by endpoint id. A full state leaves out endpoints without
            load; a delta leaves out those whose load did not change.
        workload: Recent workload by service and kind of prompt, in prompt
            tokens.
        pools: Sizes of the engine pools for short and for interactive prompts
            by service.
        sent_tokens: Prompt tokens sent to each engine since the last round.
        placements: Prompt segments that were sent to engines; each placement
            is gossiped once.
        crashes: New crashes of endpoints, for VMs of versions without
            `crash_reports`; only in deltas to peers.
        members: Hosts of the live members; only in a full state.
        scope: Whose state this is, a `Scope`. Messages of newer versions may
            have an unknown one; they are skipped.
        zone: Code of the sender's availability zone.
        vm_count: Number of VMs whose state this is.
        readers: Hosts of the VMs that read the store.
        reports: The live members; left out of most messages.
        sources: Some hosts that are furthest ahead, by topic.
        notices: Recent announcements of endpoints; in a delta only new ones.
        positions: Position that the VM has reached in each topic; a delta
            leaves out topics that did not advance.
        crash_reports: Recent crashes; in a delta only new ones.
        cleared_reports: Crashes that were not the fault of their suspect.
        crash_ages_ms: Time since each crash in `crash_reports`.
        blocks: What is blocked; left out of most messages.
        checks: Up to when the VM has missed no change, by topic.
    """

    vm: str
    boot: int
    sequence: int
    is_delta: bool
    reads_store: bool
    offsets: dict[str, bounds.Count]
    loads: dict[str, EndpointLoad]
    workload: dict[str, tuple[float, ...]] = {}
    pools: dict[str, tuple[bounds.Count, bounds.Count]] = {}
    sent_tokens: dict[str, bounds.Count] = {}
    placements: tuple[Placement, ...] = ()
    crashes: tuple[Crash, ...] = ()
    members: tuple[str, ...] = ()
    scope: int = Scope.PEER
    zone: bounds.Count = 0
    vm_count: bounds.Count = 1
    readers: tuple[str, ...] = ()
    reports: tuple[MemberReport, ...] = ()
    sources: dict[str, RecordSources] = {}
    notices: tuple[EndpointNotice, ...] = ()
    positions: dict[str, RecordPosition] = {}
    crash_reports: CrashReports = {}
    cleared_reports: CrashReports = {}
    crash_ages_ms: dict[str, bounds.WholeMs] = {}
    blocks: tuple[BlockReport, ...] = ()
    checks: dict[str, RecordCheck] = {}


# How much of an invalid host is shown in an error.
SHOWN_CHARACTERS = 60
# Largest workload of a service, in prompt tokens.
MAX_WORKLOAD = 1e15
# Number of hosts that are known to be addresses; peers repeat them.
MAX_HOSTS = 4_096
_is_ip_address = functools.lru_cache(maxsize=MAX_HOSTS)(bounds.is_ip_address)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateMessage)


def encode(message: StateMessage) -> bytes:
    """Returns a message as a datagram."""
    return _encoder.encode(message)


def _check_notices(notices: tuple[EndpointNotice, ...]) -> None:
    for notice in notices:
        limit_per_s = notice.limit_per_s
        if limit_per_s is not None and not 0.0 <= limit_per_s < math.inf:
            raise ValueError(f"limit {limit_per_s} is out of range")


def _check_crashes(message: StateMessage) -> None:
    if any(block.count < 1 or not block.suspects for block in message.blocks):
        raise ValueError("a block needs suspects and crashes")
    for crash in message.crashes:
        if len(bytes.fromhex(crash.suspect)) > bounds.MAX_DIGEST_BYTES:
            raise ValueError("the digest of a suspect is too long")


def _check_workload(workload: dict[str, tuple[float, ...]]) -> None:
    kind_count = len(prompt_kinds.PromptKind)
    for values in workload.values():
        if len(values) != kind_count:
            raise ValueError(f"a workload needs {kind_count} values")
        if not all(-MAX_WORKLOAD <= value <= MAX_WORKLOAD for value in values):
            raise ValueError("a workload is out of range")


def _check_hosts(message: StateMessage) -> None:
    """Checks that no datagram or call brings about the look-up of a name."""
    hosts = [*message.members, *message.readers]
    hosts += [report.host for report in message.reports]
    for sources in message.sources.values():
        hosts += sources.hosts
    for host in hosts:
        if not _is_ip_address(host):
            raise ValueError(f"{host[:SHOWN_CHARACTERS]!r} is no IP address")


def decode(data: bytes) -> StateMessage:
    """Returns the message in a datagram.

    Raises:
        errors.PeerError: The datagram is not a valid message.
    """
    try:
        message = _decoder.decode(data)
        _check_notices(message.notices)
        _check_crashes(message)
        _check_workload(message.workload)
        _check_hosts(message)
    except (*errors.DECODE_ERRORS, ValueError) as exc:
        raise errors.PeerError(f"invalid gossip datagram: {exc}") from exc
    return message
