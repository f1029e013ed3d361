"""Splits a stream of server-sent events (SSE) without changing its bytes."""

from collections.abc import Iterator
import dataclasses
import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LONGEST_END = 4
_ID_LINE = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event; `id` is empty if the event has none."""

    data: bytes
    id: str


class EventSplitter:
    """Splits the blocks of a response body into complete events."""

    def __init__(self):
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """The bytes of an event that is not complete yet."""
        return self._incomplete

    def feed(self, block: bytes) -> Iterator[Event]:
        """Adds a block and yields the events that are now complete."""
        data = self._incomplete + block
        start = 0
        searched = max(0, len(self._incomplete) - _LONGEST_END + 1)
        for match in _END_OF_EVENT.finditer(data, searched):
            yield _to_event(data[start : match.end()])
            start = match.end()
        self._incomplete = data[start:]


def _to_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    event_id = match.group(1).decode("latin-1").strip() if match else ""
    return Event(data, event_id)
