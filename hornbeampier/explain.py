"""Extracts the history of one request from the logs of the VMs."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json

REQUEST_ID_KEY = "request_id"
# Not shown as fields: the request id, which is the same in every step, what
# `Step.render` shows in front, and keys that do not concern the request.
_HIDDEN_KEYS = frozenset(
    {REQUEST_ID_KEY, "event", "level", "timestamp", "task"}
)
_EVENT_TITLES = {
    "routed": "sent to an endpoint",
    "attempt_failed": "the attempt failed",
    "served": "answered",
    "refused": "refused",
    "stream_broken": "the response was interrupted",
    "caller_gone": "the caller disconnected",
    "bad_request": "the request was malformed",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One log line that names the request."""

    timestamp: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def render(self) -> str:
        """Returns the step as one line of text."""
        title = _EVENT_TITLES.get(self.event, self.event)
        fields = ", ".join(f"{key} {value}" for key, value in self.fields)
        return f"{self.timestamp}  {title}: {fields}"


def find_steps(lines: Iterable[str], request_id: str) -> list[Step]:
    """Returns the steps of a request, ordered by timestamp."""
    steps = [_to_step(row) for row in _matching_rows(lines, request_id)]
    return sorted(steps, key=lambda step: step.timestamp)


def _matching_rows(lines: Iterable[str], request_id: str) -> Iterator[dict]:
    for line in lines:
        if request_id not in line:
            continue
        # Log collectors prefix each line with the VM's name and a time.
        try:
            row = json.loads(line[line.index("{") :])
        except ValueError:
            # Lines that other programs wrote may not be JSON.
            continue
        if row.get(REQUEST_ID_KEY) == request_id:
            yield row


def _to_step(row: dict) -> Step:
    fields = tuple(
        (key, str(value))
        for key, value in row.items()
        if key not in _HIDDEN_KEYS and value is not None
    )
    return Step(str(row.get("timestamp", "")), str(row.get("event")), fields)
