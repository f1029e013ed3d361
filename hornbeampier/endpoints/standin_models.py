"""Stand-in of an engine's model memory: orders, loading and fencing."""

import msgspec

from hornbeampier import clock as clocks
from hornbeampier import wsgi
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import orders


class ModelFaults(msgspec.Struct):
    """Faults and speeds that a test sets.

    Attributes:
        load_ms: Time to load a model from the weight store.
        checks_fencing: Refuse orders with an old fencing number.
        lose_order_answers: How many coming orders take effect and then lose
            their connection.
    """

    load_ms: float = 0.0
    checks_fencing: bool = False
    lose_order_answers: int = 0


class ModelMemory:
    """The models that a stand-in engine holds.

    `state` is None before any order: the engine then runs what it is asked.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._state: messages.ModelState | None = None
        self._ready_ms = 0.0
        self.faults = ModelFaults()
        self.log: list[messages.ModelOrder] = []

    @property
    def state(self) -> messages.ModelState | None:
        """What the engine holds now."""
        state = self._state
        if state and state.loading and self._clock.now() >= self._ready_ms:
            self._state = messages.ModelState(
                state.wanted, state.wanted, False, state.fencing
            )
        return self._state

    @state.setter
    def state(self, value: messages.ModelState | None) -> None:
        self._state = value

    @property
    def held(self) -> tuple[str, ...] | None:
        """Names of the models that can run now."""
        if self.state is None:
            return None
        return tuple(sorted({held.model for held in self.state.models}))

    def serve(self, environ, start_response):
        """Answers a request for `/models`."""
        if environ["REQUEST_METHOD"] == "PUT":
            return self._take_order(environ, start_response)
        state = self.state or messages.ModelState()
        return wsgi.json_answer(start_response, 200, state)

    def set_faults(self, environ, start_response):
        """Answers a request for `/models/faults`."""
        body = wsgi.read_body(environ)
        self.faults = msgspec.json.decode(body, type=ModelFaults)
        return wsgi.json_answer(start_response, 200, {})

    def _take_order(self, environ, start_response):
        body = wsgi.read_body(environ)
        order = msgspec.json.decode(body, type=messages.ModelOrder)
        state = self.state or messages.ModelState()
        if self.faults.checks_fencing and order.fencing < state.fencing:
            return wsgi.json_answer(
                start_response, orders.STALE_FENCING_STATUS, state
            )
        self.log.append(order)
        self._apply(order, state)
        if self.faults.lose_order_answers > 0:
            self.faults.lose_order_answers -= 1
            raise wsgi.DropConnectionError("the answer is lost on purpose")
        return wsgi.json_answer(start_response, 200, self.state)

    def _apply(
        self, order: messages.ModelOrder, state: messages.ModelState
    ) -> None:
        """Unloads what is not wanted and starts to load what is missing."""
        kept = tuple(m for m in state.models if m in order.models)
        missing = len(order.models) - len(kept)
        self._ready_ms = self._clock.now() + missing * self.faults.load_ms
        self._state = messages.ModelState(
            kept, order.models, missing > 0, order.fencing
        )
