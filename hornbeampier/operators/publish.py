"""Publishes configuration files and reads their outcome from the log."""

import dataclasses
import enum

import msgspec

from hornbeampier import clock
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier.coordination import platform_log
from hornbeampier.operators import configuration_log
from hornbeampier.operators import follower
from hornbeampier.operators import schema

DEFAULT_TIMEOUT_MS = 15_000.0
POLL_MS = 100.0
LOG_UNREADABLE = "the log could not be read to its end"


class PublishOutcome(enum.StrEnum):
    """The outcome of a publish as far as the publisher knows it."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_PUBLISHED = "not_published"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class PublishResult:
    """The outcome of a publish.

    Attributes:
        version: The version of the file if accepted, else the version in
            force.
        detail: Why the file was refused or not published.
        base: The version that the file replaces, if known.
    """

    outcome: PublishOutcome
    publish_id: str
    version: int = configuration_log.NO_VERSION
    detail: str = ""
    base: int = configuration_log.NO_VERSION


class _NoPeers:
    """A snapshot source for a process without peers."""

    def fetch(self) -> list[configuration_log.ConfigurationRecord]:
        """Returns no snapshot."""
        return []


class Publisher:
    """Publishes one file at a time by appending it to the log."""

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
            log, env.clock, _NoPeers(), env.rng, snapshot_age_ms=float("inf")
        )
        self._follower.subscribe_decisions(self._record_decision)
        self._publish_id = ""
        self._append_started = False
        self._base = configuration_log.NO_VERSION
        self._decision: configuration_log.PublishDecision | None = None

    def publish(self, text: str, base: int | None = None) -> PublishResult:
        """Publishes `text` to replace `base`, by default the version in force.

        Raises:
            errors.InvalidFileError: The file is invalid.
        """
        schema.parse(text)
        self._publish_id = self._env.new_id("pub")
        deadline_ms = self._clock.now() + self._timeout_ms
        if not self._catch_up(deadline_ms):
            return self._not_published(LOG_UNREADABLE)
        version_in_force = self._follower.state.version
        if base is None:
            base = version_in_force
        if base != version_in_force:
            return self._refused_before_append(version_in_force)
        record = configuration_log.ConfigurationRecord(
            kind=configuration_log.RecordKind.PUBLISH,
            publish_id=self._publish_id,
            text=text,
            base=base,
        )
        self._append_started = True
        self._base = base
        try:
            self._platform_log.append(
                configuration_log.STREAM, msgspec.json.encode(record)
            )
        except errors.AppendOutcomeUnknownError:
            # The record may still be appended; reading the log shows it.
            pass
        except errors.PlatformError as exc:
            return self._not_published(str(exc))
        return self._await_decision(deadline_ms, base)

    def interrupted_result(self) -> PublishResult:
        """Returns the result of a publish that was interrupted."""
        if not self._append_started:
            return self._not_published("interrupted before the append")
        return PublishResult(
            PublishOutcome.UNKNOWN, self._publish_id, base=self._base
        )

    def find_outcome(self, publish_id: str) -> PublishResult:
        """Returns the outcome of an earlier publish."""
        self._publish_id = publish_id
        deadline_ms = self._clock.now() + self._timeout_ms
        self._catch_up(deadline_ms)
        return self._await_decision(min(deadline_ms, self._clock.now()))

    def fetch(self) -> configuration_log.AcceptedConfiguration | None:
        """Returns the configuration in force.

        Raises:
            errors.PlatformError: The log could not be read.
        """
        if not self._catch_up(self._clock.now() + self._timeout_ms):
            raise errors.PlatformError(LOG_UNREADABLE)
        return self._follower.accepted

    def _record_decision(
        self, decision: configuration_log.PublishDecision
    ) -> None:
        """Keeps the first decision on the record of this publish.

        If the log has the record twice, the second copy is refused because of
        the first, so only the first decision counts.
        """
        if decision.publish_id == self._publish_id and not self._decision:
            self._decision = decision

    def _catch_up(self, deadline_ms: float) -> bool:
        """Applies the log up to its end; returns whether it was reached."""
        while self._clock.now() < deadline_ms:
            if not self._follower.poll_log():
                self._clock.sleep(POLL_MS)
            elif self._follower.caught_up:
                return True
        return False

    def _await_decision(
        self, deadline_ms: float, base: int = configuration_log.NO_VERSION
    ) -> PublishResult:
        """Reads the log until the record is decided or the deadline passes."""
        while self._decision is None and self._clock.now() < deadline_ms:
            if not self._follower.poll_log(POLL_MS):
                self._clock.sleep(POLL_MS)
        if self._decision:
            return _result_of(self._decision, base)
        return PublishResult(
            PublishOutcome.UNKNOWN, self._publish_id, base=base
        )

    def _not_published(self, detail: str) -> PublishResult:
        return PublishResult(
            PublishOutcome.NOT_PUBLISHED, self._publish_id, detail=detail
        )

    def _refused_before_append(self, version_in_force: int) -> PublishResult:
        return PublishResult(
            PublishOutcome.REFUSED,
            self._publish_id,
            version_in_force,
            configuration_log.RecordOutcome.STALE_BASE.value,
        )


def _result_of(
    decision: configuration_log.PublishDecision, base: int
) -> PublishResult:
    accepted = decision.outcome is configuration_log.RecordOutcome.ACCEPTED
    return PublishResult(
        PublishOutcome.ACCEPTED if accepted else PublishOutcome.REFUSED,
        decision.publish_id,
        decision.accepted_version,
        decision.outcome.value,
        base,
    )
