"""Puts what this VM knows into datagrams, and takes in what peers tell."""

from hornbeampier.peers import messages
from hornbeampier.replication import catch_up
from hornbeampier.replication import replica
from hornbeampier.routing import crashes
from hornbeampier.routing import fleet
from hornbeampier.routing import model
from hornbeampier.routing import peer_loads
from hornbeampier.routing import placements
from hornbeampier.routing import pools
from hornbeampier.routing import speed

# Sums of answer times below this are not worth telling.
MIN_SAMPLE_MS = 1.0


class StateExchange:
    """Translates between the datagrams and the modules that decide."""

    def __init__(
        self,
        vm: str,
        boot: int,
        replicas: dict[str, replica.TopicReplica],
        fleet: fleet.Fleet,
        peer_loads: peer_loads.PeerLoads,
        pools: pools.Pools,
        placements: placements.Placements,
        crashes: crashes.Crashes,
        catch_up: catch_up.CatchUp,
    ):
        self._vm = vm
        self._boot = boot
        self._replicas = replicas
        self._fleet = fleet
        self._peer_loads = peer_loads
        self._pools = pools
        self._placements = placements
        self._crashes = crashes
        self._catch_up = catch_up

    def make(self, sequence: int, members: tuple[str, ...]) -> messages.State:
        """Returns what the peers are to know."""
        return messages.State(
            vm=self._vm,
            boot=self._boot,
            sequence=sequence,
            offsets=self._offsets(),
            loads=self._loads(),
            work=self._pools.own_work(),
            placements=tuple(
                messages.Placement(endpoint_id, part.id, part.tokens)
                for endpoint_id, part in self._placements.take()
            ),
            crashes=tuple(
                messages.Crash(c.fingerprint, c.incarnation)
                for c in self._crashes.told()
            ),
            members=members,
        )

    def take(self, host: str, state: messages.State) -> None:
        """Takes in the state of a peer."""
        self._peer_loads.record(state.vm, _to_loads(state))
        self._pools.record_peer(state.vm, state.work)
        for crash in state.crashes:
            self._crashes.record(
                crashes.Crash(crash.fingerprint, crash.incarnation)
            )
        for placement in state.placements:
            part = model.PromptPart(placement.part, placement.tokens)
            self._placements.record_peer(placement.endpoint, part)
        self._catch_up.note_peer(host, state.offsets)

    def _offsets(self) -> dict[str, int]:
        return {
            topic: found.offset
            for topic, found in self._replicas.items()
            if found.offset is not None
        }

    def _loads(self) -> dict[str, messages.EndpointLoad]:
        loads = {}
        for state in self._fleet.all():
            sample = state.speed.sample()
            if state.in_flight or sample.measured_ms >= MIN_SAMPLE_MS:
                loads[state.id] = messages.EndpointLoad(
                    state.in_flight,
                    round(state.prefill_tokens),
                    round(sample.measured_ms),
                    round(sample.expected_ms),
                )
        return loads


def _to_loads(state: messages.State) -> dict[str, peer_loads.Load]:
    return {
        endpoint_id: peer_loads.Load(
            load.in_flight,
            load.prefill_tokens,
            speed.Sample(load.measured_ms, load.expected_ms),
        )
        for endpoint_id, load in state.loads.items()
    }
