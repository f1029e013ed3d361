"""What callers and endpoints saw, and the promises checked on it."""

import collections
import dataclasses
import enum
import hashlib

# To callers, these statuses promise that the request has not run.
PROMISES = {408, 421, 429, 503}
STREAM_EVENTS = 8


class KeyState(enum.Enum):
    """Whether the key of a request is valid.

    Attributes:
        CHANGING: It was revoked, and some VMs may not know yet.
    """

    VALID = enum.auto()
    CHANGING = enum.auto()
    REVOKED = enum.auto()


def body_of(request_id):
    """Returns the complete response body of a plain request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{request_id} {digest}".encode()


def event_of(request_id, number):
    """Returns one event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def stream_of(request_id):
    """Returns all events of a request's stream."""
    return b"".join(
        event_of(request_id, n) for n in range(1, STREAM_EVENTS + 1)
    )


@dataclasses.dataclass
class Outcome:
    """What a caller saw of a request.

    Attributes:
        kind: First part of the path: `safe`, `unsafe`, `stream` or `resume`.
        vm: Name of the VM's process that took the request.
        status: None if no head of a response came.
        complete: Whether the response was complete.
        late: Whether it took most of its deadline, or its route's timeout.
        key_state: Whether its key was valid.
    """

    request_id: str
    kind: str
    vm: str
    sent_ms: float
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    late: bool = False
    key_state: KeyState = KeyState.VALID


class Ledger:
    """All runs and outcomes of a soak.

    Attributes:
        runs: How often an endpoint began to work on each request.
        spoiled: Requests whose response an endpoint lost, broke or stalled.
        disturbed: Processes of VMs that were killed or frozen, or that were
            still busy at the end of their grace time.
    """

    def __init__(self):
        self.runs = collections.Counter()
        self.spoiled = set()
        self.disturbed = set()
        self.outcomes = []

    def problems(self):
        """Returns a line for each broken promise."""
        lines = []
        for outcome in self.outcomes:
            lines += [
                f"{check.__name__.removeprefix('_')}: {outcome.request_id} "
                f"({outcome.kind}): status {outcome.status}, ran "
                f"{self.runs[outcome.request_id]} times, {outcome.body[:80]!r}"
                for check in (
                    self._ran_twice,
                    self._denied_a_run,
                    self._wrong_response,
                    self._cut_off,
                    self._refused_wrongly,
                    self._served_a_revoked_key,
                )
                if check(outcome)
            ]
        return lines

    def _ran_twice(self, outcome):
        is_once = outcome.kind in ("unsafe", "stream")
        return is_once and self.runs[outcome.request_id] > 1

    def _denied_a_run(self, outcome):
        is_once = outcome.kind in ("unsafe", "stream")
        ran = self.runs[outcome.request_id] > 0
        return is_once and ran and outcome.status in PROMISES

    def _wrong_response(self, outcome):
        if outcome.status != 200:
            return False
        if outcome.kind in ("safe", "unsafe"):
            return outcome.complete and outcome.body != body_of(
                outcome.request_id
            )
        whole = stream_of(outcome.request_id)
        if outcome.complete:
            return outcome.body != whole
        return not whole.startswith(outcome.body)

    def _cut_off(self, outcome):
        """A request that ran has no answer, though nothing went wrong there."""
        if outcome.complete or outcome.late:
            return False
        if not self.runs[outcome.request_id]:
            return False
        return (
            outcome.request_id not in self.spoiled
            and outcome.vm not in self.disturbed
        )

    def _refused_wrongly(self, outcome):
        is_valid = outcome.key_state is KeyState.VALID
        return is_valid and outcome.status in (400, 401, 403, 404)

    def _served_a_revoked_key(self, outcome):
        is_revoked = outcome.key_state is KeyState.REVOKED
        return is_revoked and outcome.status == 200
