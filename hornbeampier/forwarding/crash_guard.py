"""Keeps one request from endpoints that it, or its prompt, would crash."""

from hornbeampier import clock as clocks
from hornbeampier.routing import crash_blocks
from hornbeampier.routing import crash_suspects
from hornbeampier.routing import crashes
from hornbeampier.routing import domain
from hornbeampier.routing import requests

# An endpoint that crashes later than this after its first block of a response
# did not crash because of that request.
MAX_BEGIN_MS = 200.0
# Number of digits of a request's fingerprint in a log line.
LOGGED_DIGITS = 8


class CrashGuard:
    """Tells whether a request is blocked, and records crashes at its attempts.

    Attributes:
        begun_ms: When the endpoint of the current attempt began its response,
            on the monotonic clock, or None.
    """

    def __init__(
        self,
        history: crashes.CrashHistory,
        req: requests.Request,
        clock: clocks.Clock,
    ):
        self._history = history
        self._req = req
        self._clock = clock
        self._is_trial = False
        self.begun_ms: float | None = None

    def find_block(self, attempts: int) -> crash_blocks.Block | None:
        """Returns what blocks the request after some attempts, or None.

        A request that is to be tried although it is blocked gets one attempt.
        """
        if not self._history.is_blocking:
            return None
        suspects = crash_suspects.of_request(self._req)
        block = self._history.find_block(suspects)
        if block is None or attempts:
            return block
        if not self._is_trial:
            self._is_trial = self._history.take_trial(block)
        return None if self._is_trial else block

    def retry_after_ms(self, block: crash_blocks.Block) -> float:
        """Returns when the block may end."""
        return self._history.trial_in_ms(block)

    def describe(self, block: crash_blocks.Block) -> str:
        """Returns the reason for the refusal of the request."""
        ids = [
            segment_id
            for segment_id in self._segment_ids()
            if crash_suspects.digest_segment(segment_id) in block.suspects
        ]
        subject = "the request"
        if ids:
            subject = f"the prompt's segment {' with '.join(ids)}"
        return (
            f"{subject} crashed {block.count} endpoints that began on it, the "
            f"last one {block.incarnation}"
        )

    def describe_suspects(self) -> dict[str, object]:
        """Returns what identifies the request in logs of crashes."""
        fingerprint = self._req.fingerprint
        return {
            "fingerprint": fingerprint[:LOGGED_DIGITS],
            "crashes": self._history.count(fingerprint),
            "segments": self._segment_ids(),
        }

    def on_block(self) -> None:
        """Records a block of the response of the current attempt."""
        if self.begun_ms is None:
            self.begun_ms = self._clock.now()

    def record_served(self) -> None:
        """Records that an endpoint served the request."""
        self._history.record_success(crash_suspects.of_request(self._req))

    def record_crash(
        self, endpoint: domain.Endpoint, lost_ms: float, is_silent: bool
    ) -> None:
        """Records that an endpoint crashed during an attempt.

        Args:
            endpoint: The endpoint.
            lost_ms: When the connection was lost, on the monotonic clock.
            is_silent: Whether the endpoint's whole host has gone; no segment is
                suspected of that.
        """
        begun_ms = lost_ms if self.begun_ms is None else self.begun_ms
        if lost_ms - begun_ms > MAX_BEGIN_MS:
            self.record_served()
            return
        incarnation = f"{endpoint.id}/{endpoint.started_ms}"
        for suspect in crash_suspects.of_request(self._req):
            if not (is_silent and crash_suspects.is_segment(suspect)):
                self._history.record(crashes.Crash(suspect, incarnation))

    def _segment_ids(self) -> list[str]:
        prompt = self._req.prompt
        segments = prompt.shared_segments if prompt else ()
        return [s.id for s in segments[: crash_suspects.MAX_SEGMENTS]]
