"""Client of the engines' orders: which models an engine holds."""

import msgspec

from hornbeampier import errors
from hornbeampier import exchange
from hornbeampier import verdict
from hornbeampier.endpoints import messages

MODELS_PATH = "/models"
STALE_FENCING_STATUS = 409


class StaleFencingError(Exception):
    """The engine refused an order that carries an old fencing number."""


class OrderClient:
    """Reads and orders the models of one engine."""

    def __init__(self, peer: exchange.HttpPeer):
        self._peer = peer

    def read(self) -> messages.ModelState:
        """Returns what the engine holds.

        Raises:
            errors.AttemptError: The engine did not answer.
        """
        status, body = self._peer.call(
            exchange.OutgoingRequest("GET", MODELS_PATH)
        )
        return _decode(status, body)

    def order(self, order: messages.ModelOrder) -> messages.ModelState:
        """Sends an order and returns the engine's new state.

        Raises:
            StaleFencingError: The engine took an order with a higher number.
            errors.AttemptError: The order may have been taken or not.
        """
        status, body = self._peer.call(
            exchange.OutgoingRequest(
                "PUT",
                MODELS_PATH,
                (("Content-Type", "application/json"),),
                msgspec.json.encode(order),
                fresh=True,
            )
        )
        if status == STALE_FENCING_STATUS:
            raise StaleFencingError(f"fencing number {order.fencing} is old")
        return _decode(status, body)


def _decode(status: int, body: bytes) -> messages.ModelState:
    if status != 200:
        raise errors.AttemptError(
            f"the engine answered {status}", verdict.Verdict.MAY_HAVE_RUN
        )
    try:
        return msgspec.json.decode(body, type=messages.ModelState)
    except errors.DECODE_ERRORS as exc:
        raise errors.AttemptError(
            "unreadable model state", verdict.Verdict.MAY_HAVE_RUN
        ) from exc
