"""Adds the store's log of registrations to the history of this VM.

The log also has versions that registered and left before this VM read its
first snapshot.
"""

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.replication import log_reader
from hornbeampier.replication import messages
from hornbeampier.routing import origin_history
from hornbeampier.routing import registration_log
from hornbeampier.routing import stream_origins

# Number of entries that are decoded at once.
DECODE_COUNT = 500


class RegistrationLog:
    """Adds the versions of all endpoints in the log."""

    subject = "registrations"

    def __init__(
        self,
        history: origin_history.OriginHistory,
        heartbeat_ms: float,
        clock: clocks.Clock,
    ):
        """Creates the object.

        Args:
            history: What the log is added to.
            heartbeat_ms: Interval at which endpoints write their entries.
            clock: The clock.
        """
        self._history = history
        self._heartbeat_ms = heartbeat_ms
        self._clock = clock

    def is_proved(self) -> bool:
        """Whether all versions are known that have begun live streams."""
        return self._history.knows_versions()

    def prepare(self) -> None:
        """Does nothing, as endpoints write their entries again and again."""

    def record(self, log: log_reader.Log) -> dict[str, object]:
        """Adds the versions; other tasks run after each `DECODE_COUNT`."""
        summary = registration_log.summarize(
            self._decode(log.records),
            self._heartbeat_ms,
            log.is_complete,
            log.has_losses,
        )
        self._history.record_log(summary)
        return {
            "versions": len(summary.ages_ms),
            "covered_ms": round(
                stream_origins.bound_retention(summary.covered_ms)
            ),
        }

    def _decode(
        self, log_records: tuple[messages.Record, ...]
    ) -> list[registration_log.Registration]:
        decoded = []
        for index, record in enumerate(log_records):
            if index % DECODE_COUNT == 0:
                self._clock.sleep(0.0)
            decoded.append(_to_registration(record))
        return decoded


def _to_registration(record: messages.Record) -> registration_log.Registration:
    endpoint = None
    if record.value is not None:
        try:
            endpoint = records.decode_endpoint(record.key, record.value)
        except errors.PlatformError:
            # The follower logs the error when it applies the record.
            endpoint = None
    return registration_log.Registration(record.key, endpoint)
