"""Puts what this VM knows into datagrams, and takes in what peers tell."""

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

# Sums of answer times below this are not worth telling.
MIN_SAMPLE_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What changed since the last round of datagrams.

    Attributes:
        endpoints: Ids of the endpoints whose load changed.
        sent_tokens: Prompt tokens sent to each engine.
    """

    offsets: dict[str, int]
    endpoints: frozenset[str]
    sent_tokens: dict[str, int]
    placements: tuple[messages.Placement, ...]
    crashes: tuple[messages.Crash, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (
            self.offsets or self.endpoints or self.placements or self.crashes
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """The modules whose state VMs tell each other."""

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
    """Translates between the datagrams and the modules that decide."""

    def __init__(
        self,
        vm: str,
        boot: int,
        shared: SharedState,
        reads_store: Callable[[], bool],
    ):
        self._vm = vm
        self._boot = boot
        self._shared = shared
        self._reads_store = reads_store
        self._told_offsets: dict[str, int] = {}
        self._told_crashes: frozenset[crashes.Crash] = frozenset()

    def collect(self) -> News:
        """Returns what has changed since the last call."""
        offsets = self._read_offsets()
        told = self._told_crashes
        self._told_crashes = frozenset(self._shared.crashes.recent())
        news = News(
            offsets=_differences(self._told_offsets, offsets),
            endpoints=self._shared.fleet.take_changed_loads(),
            sent_tokens=self._shared.prefill_meter.take(),
            placements=tuple(
                messages.Placement(endpoint_id, segment.id, segment.tokens)
                for endpoint_id, segment in self._shared.placements.take()
            ),
            crashes=_to_crash_messages(self._told_crashes - told),
        )
        self._told_offsets = offsets
        return news

    def make_partial(self, sequence: int, news: News) -> messages.StateMessage:
        """Returns what changed."""
        return messages.StateMessage(
            vm=self._vm,
            boot=self._boot,
            sequence=sequence,
            is_delta=True,
            reads_store=self._reads_store(),
            offsets=news.offsets,
            loads=self._changed_loads(news),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=news.sent_tokens,
            placements=news.placements,
            crashes=news.crashes,
        )

    def make_whole(
        self, sequence: int, news: News, members: tuple[str, ...]
    ) -> messages.StateMessage:
        """Returns all that the peers are to know."""
        return messages.StateMessage(
            vm=self._vm,
            boot=self._boot,
            sequence=sequence,
            is_delta=False,
            reads_store=self._reads_store(),
            offsets=self._told_offsets,
            loads=self._loads(),
            workload=self._shared.pools.own_workload(),
            pools=self._pool_sizes(),
            sent_tokens=news.sent_tokens,
            placements=news.placements,
            crashes=_to_crash_messages(self._told_crashes),
            members=members,
        )

    def take(self, host: str, state: messages.StateMessage) -> None:
        """Takes in the state of a peer."""
        loads = _to_loads(state)
        if state.is_delta:
            self._shared.peer_loads.update(state.vm, loads)
        else:
            self._shared.peer_loads.record(state.vm, loads)
        sizes = {
            k: pool_sizes.Sizes(*found) for k, found in state.pools.items()
        }
        self._shared.pools.record_peer(state.vm, state.workload, sizes)
        for endpoint_id, tokens in state.sent_tokens.items():
            self._shared.prefill_meter.record_peer(endpoint_id, tokens)
        for crash in state.crashes:
            self._shared.crashes.record(
                crashes.Crash(crash.fingerprint, crash.incarnation)
            )
        for placement in state.placements:
            segment = domain.PromptSegment(placement.segment, placement.tokens)
            self._shared.placements.record_peer(placement.endpoint, segment)
        self._shared.catch_up.note_peer(host, state.offsets)
        self._shared.store_readers.note_peer(host, state.reads_store)

    def _read_offsets(self) -> dict[str, int]:
        return {
            topic: found.offset
            for topic, found in self._shared.replicas.items()
            if found.offset is not None
        }

    def _pool_sizes(self) -> dict[str, tuple[int, int]]:
        return {
            service: (sizes.short, sizes.interactive)
            for service, sizes in self._shared.pools.own_pool_sizes().items()
        }

    def _changed_loads(self, news: News) -> dict[str, messages.EndpointLoad]:
        found = (self._shared.fleet.get(name) for name in news.endpoints)
        return {state.id: _to_message(state) for state in found if state}

    def _loads(self) -> dict[str, messages.EndpointLoad]:
        loads = {
            state.id: _to_message(state) for state in self._shared.fleet.all()
        }
        return {
            endpoint_id: load
            for endpoint_id, load in loads.items()
            if load.in_flight or load.measured_ms >= MIN_SAMPLE_MS
        }


def _to_message(state: fleet.EndpointState) -> messages.EndpointLoad:
    sample = state.latency.sums()
    return messages.EndpointLoad(
        state.in_flight,
        round(state.prefill_tokens),
        round(sample.measured_ms),
        round(sample.expected_ms),
    )


def _to_crash_messages(
    found: Iterable[crashes.Crash],
) -> tuple[messages.Crash, ...]:
    return tuple(messages.Crash(c.fingerprint, c.incarnation) for c in found)


def _differences(old: dict[str, int], new: dict[str, int]) -> dict[str, int]:
    return {key: value for key, value in new.items() if old.get(key) != value}


def _to_loads(state: messages.StateMessage) -> dict[str, peer_loads.Load]:
    return {
        endpoint_id: peer_loads.Load(
            load.in_flight,
            load.prefill_tokens,
            latency.LatencySums(load.measured_ms, load.expected_ms),
        )
        for endpoint_id, load in state.loads.items()
    }
