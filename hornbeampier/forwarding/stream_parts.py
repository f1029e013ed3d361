"""What belongs to a stream of events, and what proves that it has ended.

A stream may be made of several responses: if one breaks off, another endpoint
goes on. Its response is taken for the rest of the stream only if it cannot be
anything else, such as an error; and a response that stops is not the end.
"""

import re

from hornbeampier import errors
from hornbeampier import verdict
from hornbeampier.forwarding import sse
from hornbeampier.http1 import messages
from hornbeampier.platform import names
from hornbeampier.routing import domain
from hornbeampier.routing import requests

OK_STATUS = 200
EVENT_STREAM = b"text/event-stream"
# Longer ids of events are not compared as numbers.
MAX_ID_DIGITS = 18
_LINE_END = re.compile(rb"\r\n|\n|\r")
_KNOWN_LINE = re.compile(
    rb"(?:(?:id|event|data|retry|%s)(?::.*)?|:.*)" % names.EVENT_VERSION,
    re.DOTALL,
)


class StreamPartError(errors.AttemptError):
    """A response is not what a stream needs."""

    def __init__(self, message: str, connection_lost: bool = False):
        super().__init__(
            message,
            verdict.Verdict.MAY_HAVE_RUN,
            connection_lost=connection_lost,
        )


def is_event_stream(head: messages.ResponseHead) -> bool:
    """Whether a response is a stream of events, as far as its head tells."""
    media_type = _media_type(head)
    return head.status == OK_STATUS and media_type in (b"", EVENT_STREAM)


def is_relayed(
    req: requests.Request, head: messages.ResponseHead, has_begun: bool
) -> bool:
    """Whether a response is passed on event by event.

    An endpoint may begin with an answer of its own that is no stream.

    Args:
        req: The request.
        head: The head of the response.
        has_begun: Whether the caller has a part of the stream.
    """
    if req.route.semantics is not domain.RequestSemantics.STREAM:
        return False
    return has_begun or is_event_stream(head)


def check_continuation(head: messages.ResponseHead) -> None:
    """Raises StreamPartError if a response cannot go on with a stream."""
    if not is_event_stream(head):
        raise StreamPartError(
            f"the endpoint responded with status {head.status} and type "
            f"{_media_type(head)!r} instead of the rest of the stream"
        )


def _media_type(head: messages.ResponseHead) -> bytes:
    content_type = head.get(b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower()


class EventIds:
    """The ids of the events that a caller has.

    Attributes:
        last: Id of the last one; empty if there is none.
    """

    def __init__(self, after: str = ""):
        """Creates the ids.

        Args:
            after: Id of the last event that the caller had before.
        """
        self.last = after
        self._count = 0
        # The difference between successive ids, if it was always the same.
        self._step: int | None = None

    def record(self, event_id: str) -> None:
        """Records the id of an event that is passed on."""
        step = _difference(self.last, event_id)
        if self._count == 0:
            self._step = step
        elif step != self._step:
            self._step = None
        self._count += 1
        self.last = event_id

    def is_repeated(self, event_id: str) -> bool:
        """Whether the caller has an event already."""
        step = _difference(self.last, event_id)
        if not self.last or step is None:
            return False
        return step <= 0

    def follows(self, event_id: str) -> bool:
        """Whether an event may be the next one, with none missing."""
        step = _difference(self.last, event_id)
        if step is None:
            return event_id != self.last
        return step > 0 if self._step is None else step == self._step


class StreamPart:
    """The events of one response that is part of a stream."""

    def __init__(self, ids: EventIds, is_continuation: bool):
        """Creates a part.

        Args:
            ids: The ids of all parts.
            is_continuation: Whether other endpoints have sent earlier parts.
        """
        self._ids = ids
        self._is_continuation = is_continuation
        self._before = ids.last
        self._has_events = False
        # Whether it has the last event passed on before, or a later one.
        self._has_reached = False
        self._is_joined = not is_continuation

    def accept(self, event: sse.Event) -> bool:
        """Records an event; returns whether the caller needs it.

        An endpoint that goes on with a stream may repeat events.

        Raises:
            StreamPartError: It is no event of this stream, or events are
                missing before it.
        """
        if _is_comment(event):
            return True
        if self._is_continuation:
            _check_form(event)
        self._has_events = True
        if not event.id:
            self._has_reached |= not self._is_continuation
            return True
        if self._ids.is_repeated(event.id):
            self._has_reached |= event.id == self._before
            return False
        if not self._is_joined and not self._ids.follows(event.id):
            raise StreamPartError(
                f"the stream goes on at event {event.id} after event "
                f"{self._ids.last}"
            )
        self._is_joined = True
        self._has_reached = True
        self._ids.record(event.id)
        return True

    def check_end(self, head: messages.ResponseHead, has_framing: bool) -> None:
        """Raises StreamPartError unless the response ended the stream.

        Args:
            head: The head of the response.
            has_framing: Whether its end was marked, not only by the end of its
                connection.
        """
        if self._has_events:
            is_end = self._has_reached
        else:
            # Only the end was missing, or the endpoint made no events at all.
            is_typed = _media_type(head) == EVENT_STREAM
            is_end = has_framing and (is_typed or not self._before)
        if not is_end:
            raise StreamPartError(
                "the endpoint's stream stopped before its end",
                connection_lost=not has_framing,
            )


def _check_form(event: sse.Event) -> None:
    """Raises StreamPartError for what is no event of a stream with ids."""
    if not all(_KNOWN_LINE.fullmatch(line) for line in _lines(event)):
        raise StreamPartError("the rest of the stream is no stream of events")
    if not event.id:
        raise StreamPartError("an event of the rest of the stream has no id")


def _is_comment(event: sse.Event) -> bool:
    return all(line.startswith(b":") for line in _lines(event))


def _lines(event: sse.Event) -> list[bytes]:
    return [line for line in _LINE_END.split(event.data) if line]


def _difference(earlier: str, later: str) -> int | None:
    """Returns the difference of two ids; None if they are no numbers.

    An empty earlier id counts as zero.
    """
    if not (_is_number(earlier or "0") and _is_number(later)):
        return None
    return int(later) - int(earlier or "0")


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
