"""Which prompt parts went to which engine, by this VM and by its peers."""

from hornbeampier.routing import cached_parts
from hornbeampier.routing import catalog
from hornbeampier.routing import fleet
from hornbeampier.routing import model

# Placements that wait for the next datagram; older ones are dropped.
MAX_PENDING = 600
# Placements in one datagram.
MAX_TAKEN = 40


class Placements:
    """Keeps what engines cache in step on all VMs."""

    def __init__(self, fleet: fleet.Fleet, catalog: catalog.Catalog):
        self._fleet = fleet
        self._catalog = catalog
        self._pending: list[tuple[str, model.PromptPart]] = []

    def record(self, state: fleet.EndpointState, prompt: model.Prompt) -> None:
        """Notes that a prompt goes to an engine."""
        self._set_capacity(state)
        for part in state.cached.record(prompt):
            self._pending.append((state.id, part))
        del self._pending[:-MAX_PENDING]

    def record_kept(
        self, state: fleet.EndpointState, parts: list[model.PromptPart]
    ) -> None:
        """Takes over an engine's own list of parts and tells the peers."""
        self._set_capacity(state)
        for part in parts:
            state.cached.record_peer(part)
            self._pending.append((state.id, part))
        del self._pending[:-MAX_PENDING]

    def record_peer(self, endpoint_id: str, part: model.PromptPart) -> None:
        """Notes that a peer sent a prompt with this part to an engine."""
        state = self._fleet.get(endpoint_id)
        if state is not None:
            self._set_capacity(state)
            state.cached.record_peer(part)

    def take(self) -> list[tuple[str, model.PromptPart]]:
        """Returns what the peers have not been told yet."""
        taken = self._pending[:MAX_TAKEN]
        del self._pending[:MAX_TAKEN]
        return taken

    def _set_capacity(self, state: fleet.EndpointState) -> None:
        engine = self._catalog.engine_traits(state.endpoint.service)
        if engine is not None:
            state.cached.capacity_tokens = round(
                engine.kv_tokens * cached_parts.CACHE_SHARE
            )
