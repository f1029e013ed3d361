"""Which prompt segments this VM and its peers sent to which engine."""

from hornbeampier.routing import catalog
from hornbeampier.routing import domain
from hornbeampier.routing import fleet
from hornbeampier.routing import prefix_cache

# Maximum number of placements that wait to be gossiped; the oldest are dropped.
MAX_PENDING = 600
# Maximum number of placements in one datagram.
MAX_PER_DATAGRAM = 40


class Placements:
    """Keeps the VMs' estimates of the engines' prefix caches in sync."""

    def __init__(self, fleet: fleet.Fleet, catalog: catalog.Catalog):
        self._fleet = fleet
        self._catalog = catalog
        self._pending: list[tuple[str, domain.PromptSegment]] = []

    def record(self, state: fleet.EndpointState, prompt: domain.Prompt) -> None:
        """Records that this VM sends a prompt to an engine."""
        self._set_capacity(state)
        for segment in state.prefix_cache.record(prompt):
            self._pending.append((state.id, segment))
        del self._pending[:-MAX_PENDING]

    def record_cache_list(
        self, state: fleet.EndpointState, segments: list[domain.PromptSegment]
    ) -> None:
        """Records an engine's list of its cached segments, to be gossiped."""
        self._set_capacity(state)
        for segment in segments:
            state.prefix_cache.record_peer(segment)
            self._pending.append((state.id, segment))
        del self._pending[:-MAX_PENDING]

    def record_peer(
        self, endpoint_id: str, segment: domain.PromptSegment
    ) -> None:
        """Records that a peer sent a prompt with this segment to an engine."""
        state = self._fleet.get(endpoint_id)
        if state is not None:
            self._set_capacity(state)
            state.prefix_cache.record_peer(segment)

    def take_pending(self) -> list[tuple[str, domain.PromptSegment]]:
        """Removes and returns the placements for the next datagram."""
        placements = self._pending[:MAX_PER_DATAGRAM]
        del self._pending[:MAX_PER_DATAGRAM]
        return placements

    def _set_capacity(self, state: fleet.EndpointState) -> None:
        engines = max(1, self._fleet.count())
        state.prefix_cache.capacity_segments = max(
            1, prefix_cache.MAX_SEGMENTS // engines
        )
        traits = self._catalog.engine_traits(state.endpoint.service)
        if traits is not None:
            state.prefix_cache.capacity_tokens = round(
                traits.kv_tokens * prefix_cache.PREFIX_CACHE_FRACTION
            )
