"""Which windows may have been reported, though the store knows no report.

When the store returns from an older copy, records of reports may be lost whose
counts the platform has accepted. They had been appended before this VM saw the
store's new era. So a VM that takes the duty over in an era must not finalize
windows that ended before, unless it knows that nothing was lost: a record that
the first holder of the era has written names the last such window.
"""

import msgspec

from hornbeampier import errors
from hornbeampier.duties import lease_records
from hornbeampier.duties import terms
from hornbeampier.duties import usage_clock
from hornbeampier.duties import usage_windows

KEY = "usage-era"
NO_WINDOW = -1


class EraRecord(msgspec.Struct, frozen=True):
    """The last window of which an era of the store may lack the report.

    Attributes:
        era: The era. In a later one, the record says nothing.
        doubtful_through: That window, or NO_WINDOW.
    """

    era: int
    doubtful_through: int


_decoder = msgspec.json.Decoder(EraRecord)


class UsageEras:
    """What the holder of the duty knows of the store's eras.

    Attributes:
        doubtful_through: The last window that may have been reported without a
            record, or NO_WINDOW.
    """

    def __init__(
        self,
        lease: terms.DutyLease,
        windows: usage_windows.UsageWindows,
        true_time: usage_clock.UsageClock,
    ):
        self._lease = lease
        self._windows = windows
        self._time = true_time
        # The era that `doubtful_through` holds for; None after a takeover.
        self._era: int | None = None
        self.doubtful_through = NO_WINDOW

    def begin_holding(self) -> None:
        """Records that other VMs may have held the duty until now."""
        self._era = None

    def settle(self) -> bool:
        """Finds the doubtful windows, and records them for successors.

        Returns:
            Whether they are known and the store has the record.
        """
        era = self._lease.era()
        if era is None:
            return False
        if era.number == self._era:
            return True
        through = self._find_doubtful(era)
        record = EraRecord(era.number, through)
        if not self._has_record(record) and not self._lease.append(
            KEY, msgspec.json.encode(record)
        ):
            return False
        self._era = era.number
        self.doubtful_through = through
        return True

    def _find_doubtful(self, era: terms.StoreEra) -> int:
        if self._era is not None:
            # Nobody else held the duty when the store returned from its copy.
            return self.doubtful_through
        if era.number <= lease_records.FIRST_ERA:
            return NO_WINDOW
        record = self._read_record()
        if record is not None and record.era == era.number:
            return record.doubtful_through
        return self._windows.last_ended(self._time.at(era.seen_ms))

    def _has_record(self, record: EraRecord) -> bool:
        is_first = record.era <= lease_records.FIRST_ERA
        return is_first or record == self._read_record()

    def _read_record(self) -> EraRecord | None:
        value = self._lease.records().get(KEY)
        try:
            return None if value is None else _decoder.decode(value)
        except errors.DECODE_ERRORS:
            return None
