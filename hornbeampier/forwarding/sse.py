"""Splits a stream of server-sent events without changing its bytes."""

from collections.abc import Iterator
import dataclasses
import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event; `id` is empty if it carries none."""

    data: bytes
    id: str


class EventSplitter:
    """Cuts blocks of a body into whole events."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._rest

    def feed(self, block: bytes) -> Iterator[Event]:
        """Yields the events that are now whole."""
        data = self._rest + block
        start = 0
        for match in _END_OF_EVENT.finditer(data):
            yield _to_event(data[start : match.end()])
            start = match.end()
        self._rest = data[start:]


def _to_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    found = match.group(1).decode("latin-1").strip() if match else ""
    return Event(data, found)
