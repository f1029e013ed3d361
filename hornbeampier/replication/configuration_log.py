"""Adds the store's log of configurations to the history of this VM."""

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import records
from hornbeampier.replication import log_reader
from hornbeampier.replication import messages
from hornbeampier.routing import domain
from hornbeampier.routing import origin_history


class ConfigurationLog:
    """Adds the routes of all configurations in the log."""

    subject = "configurations"

    def __init__(
        self,
        key: str,
        history: origin_history.OriginHistory,
        clock: clocks.Clock,
    ):
        self._key = key
        self._history = history
        self._clock = clock
        self._gap_count = 0

    def is_proved(self) -> bool:
        """Whether all routes are known by which live streams have begun."""
        return self._history.knows_routes()

    def prepare(self) -> None:
        """Remembers whether configurations are missed during the read."""
        self._gap_count = self._history.routes.gap_count

    def record(self, log: log_reader.Log) -> dict[str, object]:
        """Adds the configurations; other tasks run after each one."""
        cfgs = []
        for record in log.records:
            self._clock.sleep(0.0)
            cfg = decode(record, self._key)
            if cfg is not None:
                cfgs.append(cfg)
        is_complete = log.is_complete and not log.has_losses
        self._history.routes.record_log(cfgs, is_complete, self._gap_count)
        return {"versions": len(cfgs)}


def decode(record: messages.Record, key: str) -> domain.Configuration | None:
    """Returns the configuration in a record; None if it has none."""
    if record.key != key or record.value is None:
        return None
    try:
        return records.decode_configuration(record.value)
    except errors.PlatformError:
        # No VM applies it; the applier logs the error.
        return None
