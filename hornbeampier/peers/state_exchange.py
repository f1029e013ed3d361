"""Builds the gossip messages of this VM and applies those of its peers."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from hornbeampier.peers import messages
from hornbeampier.replication import catch_up
from hornbeampier.replication import replica
from hornbeampier.replication import store_readers
from hornbeampier.routing import crashes
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import latency
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pool_sizes
from hornbeampier.routing import pools
from hornbeampier.routing import prefill

# A full state leaves out an idle endpoint whose decayed sum of measured latency
# is below this.
MIN_LATENCY_SUM_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What changed since the last round of datagrams.

    Attributes:
        offsets: Offset of each topic that advanced.
        endpoints: Ids of the endpoints whose load changed.
        sent_tokens: Prompt tokens sent to each engine.
        placements: Prompt segments sent to engines.
        crashes: Crashes of endpoints.
    """

    offsets: dict[str, int]
    endpoints: frozenset[str]
    sent_tokens: dict[str, int]
    placements: tuple[messages.Placement, ...]
    crashes: tuple[messages.Crash, ...]

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed, apart from the sent tokens."""
        return not (
            self.offsets or self.endpoints or self.placements or self.crashes
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SharedComponents:
    """The components whose state is gossiped."""

    replicas: dict[str, replica.TopicReplica]
    fleet: fleet.Fleet
    peer_loads: peer_loads.PeerLoads
    pools: pools.EnginePools
    placements: placements.Placements
    crashes: crashes.CrashHistory
    prefill_meter: prefill.PrefillMeter
    catch_up: catch_up.CatchUp
    store_readers: store_readers.StoreReaders


class StateExchange:
    """Translates between gossip messages and the components' state."""

    def __init__(
        self,
        vm: str,
        boot: int,
        shared: SharedComponents,
        reads_store: Callable[[], bool],
    ):
        self._vm = vm
        self._boot = boot
        self._shared = shared
        self._reads_store = reads_store
        self._sent_offsets: dict[str, int] = {}
        self._sent_crashes: frozenset[crashes.Crash] = frozenset()

    def collect_delta(self) -> Delta:
        """Returns what has changed since the last call."""
        offsets = self._offsets()
        previous_crashes = self._sent_crashes
        self._sent_crashes = frozenset(self._shared.crashes.to_gossip())
        delta = Delta(
            offsets=_differences(self._sent_offsets, offsets),
            endpoints=self._shared.fleet.take_changed_loads(),
            sent_tokens=self._shared.prefill_meter.take_unreported(),
            placements=tuple(
                messages.Placement(endpoint_id, segment.id, segment.tokens)
                for endpoint_id, segment in (
                    self._shared.placements.take_pending()
                )
            ),
            crashes=_to_crash_messages(self._sent_crashes - previous_crashes),
        )
        self._sent_offsets = offsets
        return delta

    def make_delta(self, sequence: int, delta: Delta) -> messages.StateMessage:
        """Returns the message that sends a delta."""
        return messages.StateMessage(
            vm=self._vm,
            boot=self._boot,
            sequence=sequence,
            is_delta=True,
            reads_store=self._reads_store(),
            offsets=delta.offsets,
            loads=self._changed_loads(delta),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=delta.sent_tokens,
            placements=delta.placements,
            crashes=delta.crashes,
        )

    def make_full_state(
        self, sequence: int, delta: Delta, members: tuple[str, ...]
    ) -> messages.StateMessage:
        """Returns the message that sends the full state.

        Placements and sent tokens are sent once, so they come from the delta.
        """
        return messages.StateMessage(
            vm=self._vm,
            boot=self._boot,
            sequence=sequence,
            is_delta=False,
            reads_store=self._reads_store(),
            offsets=self._sent_offsets,
            loads=self._active_loads(),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=delta.sent_tokens,
            placements=delta.placements,
            crashes=_to_crash_messages(self._sent_crashes),
            members=members,
        )

    def apply(self, host: str, message: messages.StateMessage) -> None:
        """Applies a message of a peer to the components."""
        loads = _to_loads(message)
        if message.is_delta:
            self._shared.peer_loads.update(message.vm, loads)
        else:
            self._shared.peer_loads.record(message.vm, loads)
        sizes = {
            service: pool_sizes.Sizes(*counts)
            for service, counts in message.pools.items()
        }
        self._shared.pools.record_peer(message.vm, message.workload, sizes)
        for endpoint_id, tokens in message.sent_tokens.items():
            self._shared.prefill_meter.record_peer(endpoint_id, tokens)
        for crash in message.crashes:
            self._shared.crashes.record(
                crashes.Crash(crash.fingerprint, crash.incarnation)
            )
        for placement in message.placements:
            segment = domain.PromptSegment(placement.segment, placement.tokens)
            self._shared.placements.record_peer(placement.endpoint, segment)
        self._shared.catch_up.record_peer(host, message.offsets)
        self._shared.store_readers.record_peer(host, message.reads_store)

    def _offsets(self) -> dict[str, int]:
        return {
            topic: topic_replica.offset
            for topic, topic_replica in self._shared.replicas.items()
            if topic_replica.offset is not None
        }

    def _pool_sizes(self) -> dict[str, tuple[int, int]]:
        return {
            service: (sizes.short, sizes.interactive)
            for service, sizes in self._shared.pools.own_pool_sizes().items()
        }

    def _changed_loads(self, delta: Delta) -> dict[str, messages.EndpointLoad]:
        states = (self._shared.fleet.get(id_) for id_ in delta.endpoints)
        return {state.id: _to_load_message(state) for state in states if state}

    def _active_loads(self) -> dict[str, messages.EndpointLoad]:
        loads = {
            state.id: _to_load_message(state)
            for state in self._shared.fleet.all()
        }
        return {
            endpoint_id: load
            for endpoint_id, load in loads.items()
            if load.in_flight or load.measured_ms >= MIN_LATENCY_SUM_MS
        }


def _to_load_message(state: fleet.EndpointState) -> messages.EndpointLoad:
    sums = state.latency.sums()
    return messages.EndpointLoad(
        state.in_flight,
        round(state.prefill_tokens),
        round(sums.measured_ms),
        round(sums.expected_ms),
    )


def _to_crash_messages(
    crashes_to_send: Iterable[crashes.Crash],
) -> tuple[messages.Crash, ...]:
    return tuple(
        messages.Crash(c.fingerprint, c.incarnation) for c in crashes_to_send
    )


def _differences(old: dict[str, int], new: dict[str, int]) -> dict[str, int]:
    return {key: value for key, value in new.items() if old.get(key) != value}


def _to_loads(message: messages.StateMessage) -> dict[str, peer_loads.Load]:
    return {
        endpoint_id: peer_loads.Load(
            load.in_flight,
            load.prefill_tokens,
            latency.LatencySums(load.measured_ms, load.expected_ms),
        )
        for endpoint_id, load in message.loads.items()
    }
