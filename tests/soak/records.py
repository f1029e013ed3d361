"""What callers and endpoints saw, and the promises checked on it."""

import collections
import dataclasses
import enum
import hashlib
import re

# To callers, these statuses promise that the request has not run.
PROMISES = {408, 421, 429, 503}
STREAM_EVENTS = 8
# Streams that callers take up count from this number on: the share that goes on
# is at least this fraction of the share of new streams that begin.
MIN_TAKEN_UP = 12
MIN_TAKEN_UP_FRACTION = 0.5
_VERSION = re.compile(rb" version=(\S+)$", re.MULTILINE)


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


def event_of(request_id, number, version):
    """Returns one event of a request's stream, as a software version has it."""
    data = f"{request_id} {number} version={version}"
    return f"id: {number}\ndata: {data}\n\n".encode()


def versions_in(body):
    """Returns the software versions that wrote a stream's events."""
    return set(_VERSION.findall(body))


def without_versions(body):
    """Returns a stream without the versions that wrote it."""
    return _VERSION.sub(b" version=", body)


def stream_of(request_id, after):
    """Returns a request's stream from an event on, without versions."""
    return b"".join(
        event_of(request_id, n, "") for n in range(after + 1, STREAM_EVENTS + 1)
    )


def last_event_of(body):
    """Returns the number of the last whole event of a stream, or 0."""
    return body.count(b"\n\n")


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
        taken_up: The outcome that it takes up, or None.
        after: Number of the last event that its caller had before.
        could_go_on: Whether two engines of the version served that began the
            stream which it takes up.
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
    taken_up: "Outcome | None" = None
    after: int = 0
    could_go_on: bool = False

    @property
    def last_event(self):
        """Number of the last event that the caller has."""
        return self.after + last_event_of(self.body)

    @property
    def versions(self):
        """The software versions of all events, over the caller's tries."""
        before = self.taken_up.versions if self.taken_up else set()
        return before | versions_in(self.body)


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
                    self._mixed_versions,
                )
                if check(outcome)
            ]
        return lines + self._taken_up_too_seldom()

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
        whole = stream_of(outcome.request_id, outcome.after)
        body = without_versions(outcome.body)
        if outcome.complete:
            return body != whole
        return not whole.startswith(body)

    def _mixed_versions(self, outcome):
        return len(outcome.versions) > 1

    def resumptions(self):
        """Returns how many streams callers took up, and how many went on."""
        taken_up = [o for o in self.outcomes if o.could_go_on]
        return len(taken_up), sum(o.status == 200 for o in taken_up)

    def _taken_up_too_seldom(self):
        count, went_on = self.resumptions()
        new = [o for o in self.outcomes if o.kind == "resume" and not o.after]
        began = sum(o.status == 200 for o in new) / max(1, len(new))
        enough = MIN_TAKEN_UP_FRACTION * began * count
        if count < MIN_TAKEN_UP or went_on >= enough:
            return []
        return [
            f"taken_up_too_seldom: {went_on} of {count} streams went on, "
            f"{began:.0%} of the new ones began"
        ]

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
