"""Builds the gossip messages of this VM and applies those of its peers."""

from collections.abc import Callable
import dataclasses
import math

from hornbeampier import clock as clocks
from hornbeampier.peers import crash_messages
from hornbeampier.peers import endpoint_notices
from hornbeampier.peers import groups
from hornbeampier.peers import load_messages
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import record_checks
from hornbeampier.peers import record_positions
from hornbeampier.replication import catch_up
from hornbeampier.replication import positions
from hornbeampier.replication import replica
from hornbeampier.replication import store_readers
from hornbeampier.routing import announcements
from hornbeampier.routing import crashes
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import pools
from hornbeampier.routing import prefill

# Interval at which peers hear of records that change nothing: each position
# that they hear makes them fetch records.
QUIET_REPORT_MS = 1_000.0
# Whether this VM reads the store, and its last calls did not fail.
ReadsStore = Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What changed since the last round of datagrams.

    Attributes:
        positions: Position of each topic that advanced.
        endpoints: Ids of the endpoints whose load changed.
        sent_tokens: Prompt tokens sent to each engine.
        placements: Prompt segments sent to engines.
        crashes: Crashes of endpoints.
        notices: Announcements of endpoints.
        cleared: Crashes that were not the fault of their suspect.
        checks: Up to when this VM has missed no change, if it has read the
            store since.
    """

    positions: dict[str, positions.Position]
    endpoints: frozenset[str]
    sent_tokens: dict[str, int]
    placements: tuple[messages.Placement, ...]
    crashes: frozenset[crashes.Crash]
    notices: tuple[messages.EndpointNotice, ...]
    cleared: frozenset[crashes.Crash]
    checks: dict[str, messages.RecordCheck]

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not (
            self.positions
            or self.endpoints
            or self.sent_tokens
            or self.placements
            or self.crashes
            or self.notices
            or self.cleared
            or self.checks
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SharedComponents:
    """The components whose state is gossiped."""

    replicas: dict[str, replica.TopicReplica]
    fleet: fleet.Fleet
    peer_loads: peer_loads.PeerLoads
    pools: pools.EnginePools
    placements: placements.Placements
    announcements: announcements.Announcements
    crashes: crashes.CrashHistory
    prefill_meter: prefill.PrefillMeter
    catch_up: catch_up.CatchUp
    store_readers: store_readers.StoreReaders


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The VM that sends messages.

    Attributes:
        vm: Its name.
        boot: Random id of its process.
        host: Its IP address.
        zone: Code of its availability zone.
    """

    vm: str
    boot: int
    host: str
    zone: int


class StateExchange:
    """Translates between gossip messages and the components' state.

    Attributes:
        checks: Tells up to when this VM has missed no change.
    """

    def __init__(
        self,
        sender: Sender,
        shared: SharedComponents,
        members: membership.Membership,
        group: groups.Group,
        reads_store: ReadsStore,
        clock: clocks.Clock,
    ):
        self._sender = sender
        self._shared = shared
        self._members = members
        self._group = group
        self._reads_store = reads_store
        self._clock = clock
        self._sent_positions: dict[str, positions.Position] = {}
        self._quiet_report_ms = -math.inf
        self.checks = record_checks.RecordChecks(shared.replicas, clock)
        self._sent_crashes: frozenset[crashes.Crash] = frozenset()
        self._sent_cleared: frozenset[crashes.Crash] = frozenset()
        self._notices = endpoint_notices.EndpointNotices(
            shared.announcements, clock
        )

    def collect_delta(self) -> Delta:
        """Returns what has changed since the last call."""
        reached = self._positions()
        previous_crashes = self._sent_crashes
        self._sent_crashes = frozenset(self._shared.crashes.to_gossip())
        previous_cleared = self._sent_cleared
        self._sent_cleared = frozenset(self._shared.crashes.cleared_to_gossip())
        delta = Delta(
            positions=_differences(self._sent_positions, reached),
            endpoints=self._shared.fleet.take_changed_loads(),
            sent_tokens=self._shared.prefill_meter.take_unreported(),
            placements=tuple(
                messages.Placement(endpoint_id, segment.id, segment.tokens)
                for endpoint_id, segment in (
                    self._shared.placements.take_pending()
                )
            ),
            crashes=self._sent_crashes - previous_crashes,
            notices=self._notices.take_changed(),
            cleared=self._sent_cleared - previous_cleared,
            checks=self.checks.take_news(),
        )
        self._sent_positions = reached
        return delta

    def make_delta(
        self,
        sequence: int,
        delta: Delta,
        scope: messages.Scope = messages.Scope.PEER,
    ) -> messages.StateMessage:
        """Returns the message that sends a delta of this VM's state."""
        return messages.StateMessage(
            vm=self._sender.vm,
            boot=self._sender.boot,
            sequence=sequence,
            is_delta=True,
            reads_store=self._reads_store(),
            offsets=record_positions.to_offsets(delta.positions),
            positions=record_positions.to_messages(delta.positions),
            checks=(
                delta.checks
                if scope is messages.Scope.PEER
                else self.checks.all()
            ),
            loads=self._changed_loads(delta),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=delta.sent_tokens,
            placements=delta.placements,
            crashes=(
                crash_messages.to_pairs(delta.crashes)
                if scope is messages.Scope.PEER
                else ()
            ),
            crash_reports=crash_messages.to_reports(delta.crashes),
            cleared_reports=crash_messages.to_reports(delta.cleared),
            crash_ages_ms=crash_messages.to_ages(
                delta.crashes, self._shared.crashes
            ),
            scope=scope,
            zone=self._sender.zone,
            # A hub gets full states too rarely to make up for a lost delta.
            notices=(
                delta.notices
                if scope is messages.Scope.PEER
                else self._notices.recent()
            ),
        )

    def make_full_state(
        self,
        sequence: int,
        delta: Delta,
        scope: messages.Scope = messages.Scope.PEER,
        with_members: bool = True,
    ) -> messages.StateMessage:
        """Returns the message that sends the full state of this VM.

        Placements and sent tokens are sent once, so they come from the delta.
        Hubs need no members: they have better reports of them.
        """
        return messages.StateMessage(
            vm=self._sender.vm,
            boot=self._sender.boot,
            sequence=sequence,
            is_delta=False,
            reads_store=self._reads_store(),
            offsets=record_positions.to_offsets(self._sent_positions),
            positions=record_positions.to_messages(self._sent_positions),
            checks=self.checks.all(),
            loads=self._active_loads(),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=delta.sent_tokens,
            placements=delta.placements,
            crash_reports=self.crash_reports,
            cleared_reports=self.cleared_reports,
            crash_ages_ms=self.crash_ages_ms,
            blocks=self.block_reports,
            members=tuple(self._members.live()) if with_members else (),
            scope=scope,
            zone=self._sender.zone,
            reports=self._members.reports() if with_members else (),
            notices=self._notices.recent(),
        )

    def apply(self, host: str, message: messages.StateMessage) -> None:
        """Applies a message of a peer to the components."""
        is_fleet = message.scope == messages.Scope.FLEET
        if is_fleet and self._group.members():
            # The sender has not noticed yet that this VM is a hub itself.
            return
        loads = load_messages.to_loads(message)
        if is_fleet:
            # Everything that other hubs or VMs told is in these sums.
            self._shared.peer_loads.keep_only({message.vm})
            self._shared.pools.keep_only({message.vm})
        self._group.record(host, message)
        is_own_state = message.scope in (
            messages.Scope.PEER,
            messages.Scope.REPLY,
        )
        is_in_sums = is_own_state and self._group.hub() is not None
        if not is_in_sums:
            self._apply_loads(message, loads)
        for endpoint_id, tokens in message.sent_tokens.items():
            self._shared.prefill_meter.record_peer(endpoint_id, tokens)
        crash_messages.apply(message, self._shared.crashes, self._clock)
        self._notices.apply(message.notices)
        for placement in message.placements:
            segment = domain.PromptSegment(placement.segment, placement.tokens)
            self._shared.placements.record_peer(placement.endpoint, segment)
        self._shared.catch_up.record_peer(
            host, record_positions.of_message(message)
        )
        self._apply_sources(message)
        self.checks.apply(message.checks)
        self._shared.store_readers.record_peer(host, message.reads_store)
        for reader in message.readers:
            self._shared.store_readers.record_peer(reader, True)

    def _apply_sources(self, message: messages.StateMessage) -> None:
        for topic, sources in message.sources.items():
            for host in sources.hosts:
                if host != self._sender.host:
                    self._shared.catch_up.record_peer(
                        host, {topic: record_positions.of_sources(sources)}
                    )

    def _apply_loads(
        self, message: messages.StateMessage, loads: dict[str, peer_loads.Load]
    ) -> None:
        if message.is_delta:
            self._shared.peer_loads.update(message.vm, loads)
        else:
            self._shared.peer_loads.record(message.vm, loads)
        sizes = {
            service: pool_sizes.Sizes(*counts)
            for service, counts in message.pools.items()
        }
        self._shared.pools.record_peer(
            message.vm, message.workload, sizes, message.vm_count
        )

    @property
    def sent_positions(self) -> dict[str, positions.Position]:
        """The position that this VM reported last for each topic."""
        return self._sent_positions

    @property
    def crash_reports(self) -> messages.CrashReports:
        """The recent crashes, also those that peers reported."""
        return crash_messages.to_reports(self._sent_crashes)

    @property
    def cleared_reports(self) -> messages.CrashReports:
        """The crashes that were cleared recently, also by peers."""
        return crash_messages.to_reports(self._sent_cleared)

    @property
    def crash_ages_ms(self) -> dict[str, int]:
        """The time since each recent crash, by incarnation."""
        return crash_messages.to_ages(self._sent_crashes, self._shared.crashes)

    @property
    def block_reports(self) -> tuple[messages.BlockReport, ...]:
        """What is blocked, also by peers."""
        return crash_messages.to_block_reports(
            self._shared.crashes, self._clock
        )

    @property
    def recent_notices(self) -> tuple[messages.EndpointNotice, ...]:
        """The recent announcements, also those that peers reported."""
        return self._notices.recent()

    def own_loads(self) -> dict[str, peer_loads.Load]:
        """Returns the loads that this VM puts on the endpoints."""
        return {
            state.id: load_messages.to_load(state)
            for state in self._shared.fleet.all()
        }

    def _positions(self) -> dict[str, positions.Position]:
        """Returns the positions to report by topic.

        Those that only heartbeats have advanced are reported now and then.
        """
        now_ms = self._clock.now()
        is_due = now_ms - self._quiet_report_ms >= QUIET_REPORT_MS
        if is_due:
            self._quiet_report_ms = now_ms
        reached = {}
        for topic, topic_replica in self._shared.replicas.items():
            if topic_replica.position is None:
                continue
            sent = self._sent_positions.get(topic)
            is_quiet = sent is not None and topic_replica.changed <= sent
            reached[topic] = (
                sent if is_quiet and not is_due else topic_replica.position
            )
        return reached

    def _pool_sizes(self) -> dict[str, tuple[int, int]]:
        return load_messages.to_pool_messages(
            self._shared.pools.own_pool_sizes()
        )

    def _changed_loads(self, delta: Delta) -> dict[str, messages.EndpointLoad]:
        states = (self._shared.fleet.get(id_) for id_ in delta.endpoints)
        return {
            state.id: load_messages.to_load_message(
                load_messages.to_load(state)
            )
            for state in states
            if state
        }

    def _active_loads(self) -> dict[str, messages.EndpointLoad]:
        return {
            endpoint_id: load_messages.to_load_message(load)
            for endpoint_id, load in self.own_loads().items()
            if load_messages.is_active(load)
        }


def _differences(
    old: dict[str, positions.Position], new: dict[str, positions.Position]
) -> dict[str, positions.Position]:
    return {key: value for key, value in new.items() if old.get(key) != value}
