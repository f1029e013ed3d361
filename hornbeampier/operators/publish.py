"""Publishing a configuration file and learning what became of it."""

import dataclasses
import enum

import msgspec

from hornbeampier import clock
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier.operators import follower
from hornbeampier.operators import history
from hornbeampier.operators import schema
from hornbeampier.platform import log as platform_log

DEFAULT_TIMEOUT_MS = 15_000.0
POLL_MS = 100.0


class PublishOutcome(enum.StrEnum):
    """What a publisher knows at the end."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_PUBLISHED = "not_published"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class PublishResult:
    """The outcome of a publish.

    Attributes:
        version: The file's version, or the version that beat it.
    """

    outcome: PublishOutcome
    publish_id: str
    version: int = history.NO_VERSION
    detail: str = ""


class _NoPeers:
    """A snapshot source for a program that has no peers."""

    def fetch(self) -> list[history.ConfigurationRecord]:
        """Returns no snapshot."""
        return []


class Publisher:
    """Publishes one file at a time through the log."""

    def __init__(
        self,
        log: platform_log.Log,
        env: environment.Environment,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ):
        self._platform_log = log
        self._clock: clock.Clock = env.clock
        self._env = env
        self._timeout_ms = timeout_ms
        self._follower = follower.ConfigurationFollower(
            log, env.clock, _NoPeers(), snapshot_age_ms=float("inf")
        )

    def publish(self, text: str, base: int | None = None) -> PublishResult:
        """Publishes `text` on top of `base`, by default the newest version.

        Raises:
            errors.InvalidFileError: The text fails the check.
        """
        schema.parse(text)
        publish_id = self._env.new_id("pub")
        deadline_ms = self._clock.now() + self._timeout_ms
        if not self._catch_up(deadline_ms):
            return PublishResult(
                PublishOutcome.NOT_PUBLISHED,
                publish_id,
                detail="the log could not be read",
            )
        if base is None:
            base = self._follower.history.version
        record = history.ConfigurationRecord(
            kind=history.RecordKind.PUBLISH,
            publish_id=publish_id,
            text=text,
            base=base,
        )
        try:
            self._platform_log.append(
                history.STREAM, msgspec.json.encode(record)
            )
        except errors.AppendUnknownError:
            pass
        except errors.PlatformError as exc:
            return PublishResult(
                PublishOutcome.NOT_PUBLISHED, publish_id, detail=str(exc)
            )
        return self._find_outcome(publish_id, deadline_ms)

    def find(self, publish_id: str) -> PublishResult:
        """Looks up the outcome of an earlier publish."""
        deadline_ms = self._clock.now() + self._timeout_ms
        return self._find_outcome(publish_id, deadline_ms)

    def _catch_up(self, deadline_ms: float) -> bool:
        """Folds the log up to its end; returns whether it got there."""
        while self._clock.now() < deadline_ms:
            before = self._follower.history.next
            if not self._follower.step():
                self._clock.sleep(POLL_MS)
            elif self._follower.history.next == before:
                return True
        return False

    def _find_outcome(
        self, publish_id: str, deadline_ms: float
    ) -> PublishResult:
        """Reads back until the record is judged or time is up."""
        while self._clock.now() < deadline_ms:
            judgement = self._follower.judgements.get(publish_id)
            if judgement:
                return _result_of(judgement)
            if not self._follower.step(POLL_MS):
                self._clock.sleep(POLL_MS)
        return PublishResult(PublishOutcome.UNKNOWN, publish_id)


def _result_of(judgement: history.Judgement) -> PublishResult:
    if judgement.outcome is history.Outcome.ACCEPTED:
        outcome = PublishOutcome.ACCEPTED
    else:
        outcome = PublishOutcome.REFUSED
    return PublishResult(
        outcome,
        judgement.publish_id,
        judgement.accepted_version,
        judgement.outcome.value,
    )
