"""A client that takes its stream up when it breaks off."""

import threading
import time

import harness

RETRIES = 3


class StreamClient(threading.Thread):
    """Asks for one stream, and takes it up until its deadline.

    Attributes:
        ids: The ids of the events that it got.
        is_complete: Whether the last answer came to its end.
    """

    def __init__(self, record, name, path, timeout_ms, next_router):
        """Creates a client.

        Args:
            record: What is written down.
            name: The beginning of the ids of its requests.
            path: The path that it asks for.
            timeout_ms: How long it waits, all attempts together.
            next_router: Returns the router for an attempt, by its number.
        """
        super().__init__(name=name)
        self._record = record
        self._path = path
        self._timeout_ms = timeout_ms
        self._next_router = next_router
        self._first_id = None
        self._events = []
        self.ids = []
        self.is_complete = False

    def run(self):
        """Tries until the stream is complete or its deadline has passed."""
        end = time.monotonic() + self._timeout_ms / 1_000
        for attempt in range(1 + RETRIES):
            router = self._next_router(attempt)
            left_ms = round((end - time.monotonic()) * 1_000)
            if left_ms <= 0 or self.is_complete:
                return
            self._try(f"{self.name}-{attempt}", router, left_ms)

    def software(self):
        """Returns which software made the events."""
        return sorted({event.rpartition(" ")[2] for event in self._events})

    def is_joined(self):
        """Whether the events are of more than one version."""
        return len(self.software()) > 1

    def _try(self, request_id, router, left_ms):
        headers = {}
        if self.ids:
            headers["Last-Event-Id"] = str(self.ids[-1])
            headers["Resumes"] = self._first_id
        self._record.add(f"a client sends {request_id} {headers}")
        answer = harness.ask(
            router, request_id, self._path, left_ms, headers=headers
        )
        if answer.status == 200:
            self._take(request_id, answer)
        ids = answer.event_ids()
        self._record.add(
            f"{request_id}: status {answer.status}, "
            f"events {ids[:1]} to {ids[-1:]}, "
            + ("complete" if answer.is_complete else "broken off")
        )
        retry_after_s = answer.headers.get("retry-after")
        if answer.status == 503 and retry_after_s is not None:
            time.sleep(min(float(retry_after_s), left_ms / 3_000))

    def _take(self, request_id, answer):
        if answer.event_ids() and self._first_id is None:
            self._first_id = request_id
        self._events += answer.events()
        self.ids += answer.event_ids()
        self.is_complete = answer.is_complete
