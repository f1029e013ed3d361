"""Decides when a VM acquires, renews and gives up the lease of a duty.

The holder may act until two thirds of the lease time after it began its last
acknowledged append. Other VMs take over when they have observed the partition
unchanged for the whole lease time, with an append that succeeds only if it is
still unchanged. All times are durations on a VM's own monotonic clock.

When the store returns from an older copy, the records of the lease may be gone
while the term of their writer still runs. So in a later era, a record counts
as released or absent only if it was written in that era.
"""

import math
import random

import structlog

from hornbeampier import clock as clocks
from hornbeampier.duties import lease_records
from hornbeampier.duties import lease_steps
from hornbeampier.duties import terms

# Fractions and multiples of the lease time.
TERM_LEASES = 2 / 3
RENEWAL_LEASES = 1 / 3
READ_LEASES = 1 / 2
MAX_BACKOFF_LEASES = 2.0
# Delay of a holder's retry per failure; short, as the term runs on meanwhile.
RETRY_LEASES = 1 / 12
# Time for which a VM that lost the lease leaves it to others.
COOLDOWN_LEASES = 2.0
# Delays are multiplied by a random factor between this one and 1.
MIN_JITTER = 0.8


class Lease:
    """One VM's part in the lease of one duty; one step runs at a time.

    Attributes:
        due_ms: When `next_step` is to be called next.
    """

    def __init__(
        self,
        duty: str,
        vm: str,
        lease_ms: float,
        requires_fence: bool,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Creates a lease that this VM does not hold.

        Args:
            duty: The name of the duty.
            vm: The name of this VM.
            lease_ms: The lease time.
            requires_fence: Whether the API refuses calls with an older token.
            clock: The clock, which counts the time of suspensions.
            rng: Source of the process's number and of jitter.
        """
        self._vm = vm
        self._process = rng.getrandbits(63)
        self._lease_ms = lease_ms
        self._requires_fence = requires_fence
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger(task="lease", duty=duty)
        self._started_ms = clock.now()
        self._lost_ms = -math.inf
        self._hold: lease_steps.Hold | None = None
        # Contents as of the last call; None if a read is needed.
        self._contents: lease_records.Contents | None = None
        # Era and end of the partition, and when they were first observed.
        self._position = (0, -1)
        self._observed_ms = -math.inf
        self._era_seen_ms = -math.inf
        self._refused_token = -1
        self._failures = 0
        self._is_draining = False
        self.due_ms = self._started_ms + READ_LEASES * lease_ms

    @property
    def token(self) -> int | None:
        """The token of the lease, or None if this VM does not hold it."""
        return None if self._hold is None else self._hold.token

    def term(self) -> terms.Term | None:
        """Returns the permission to act, or None if this VM has none now."""
        hold = self._hold
        if hold is None or self._is_draining:
            return None
        if hold.token <= self._refused_token:
            return None
        now_ms = self._clock.now()
        expires_ms = self._expires_ms(hold)
        if not hold.acts_from_ms <= now_ms < expires_ms:
            return None
        return terms.Term(self._vm, hold.token, expires_ms)

    def held_ms(self) -> float | None:
        """Returns for how long this VM has held the lease, or None."""
        hold = self._hold
        now_ms = self._clock.now()
        if hold is None or now_ms >= self._expires_ms(hold):
            return None
        return now_ms - hold.acquired_ms

    def era(self) -> terms.StoreEra | None:
        """Returns the era that the records are of; None without the lease."""
        if self._hold is None:
            return None
        return terms.StoreEra(self._hold.era, self._era_seen_ms)

    def records(self) -> dict[str, bytes]:
        """Returns the newest record of each key, as last read or appended."""
        known = self._hold or self._contents
        return {} if known is None else dict(known.records)

    def record_refused(self, token: int) -> None:
        """Records that the API refused `token`, having seen a higher one."""
        self._refused_token = max(self._refused_token, token)
        hold = self._hold
        if hold is None or hold.token > token:
            return
        self._log.warning("lease_refused", token=token)
        self.due_ms = self._clock.now()

    def next_step(self, is_candidate: bool) -> lease_steps.Step | None:
        """Returns the step to run now, or None if none is due.

        Args:
            is_candidate: Whether this VM is to acquire a lease that is free.
        """
        now_ms = self._clock.now()
        if self._is_draining or now_ms < self.due_ms:
            return None
        self._check_term(is_candidate)
        if self._hold is None and not is_candidate:
            self._contents = None
            self.due_ms = now_ms + self._read_interval_ms()
            return None
        contents = self._contents
        if contents is None:
            return lease_steps.Read()
        if self._hold is not None:
            return self._renew(contents, released=False)
        if now_ms < self._takeover_ms(contents):
            return lease_steps.Read()
        return lease_steps.Append(
            contents, self._own_record(contents), {}, now_ms
        )

    def begin_record(self, key: str, value: bytes) -> lease_steps.Append | None:
        """Returns the step that writes a record, or None without a term."""
        contents, hold = self._contents, self._hold
        if self.term() is None or contents is None:
            return None
        if contents.era != hold.era:
            return None
        return lease_steps.Append(
            contents, None, {key: value}, self._clock.now()
        )

    def drain(self) -> None:
        """Ends the term; the lease can only be released from now on."""
        self._is_draining = True

    def begin_release(self) -> lease_steps.Step | None:
        """Returns the next step of the release, or None if there is none."""
        if self._hold is None:
            return None
        if self._contents is None:
            return lease_steps.Read()
        return self._renew(self._contents, released=True)

    def on_read(self, contents: lease_records.Contents) -> None:
        """Records the response to a read."""
        if contents.era < self._position[0]:
            # A replica of the store that is still in the earlier era responded.
            self.on_failed()
            return
        self._failures = 0
        self._observe(contents)
        if self._hold is not None:
            self._check_holder(contents)
        now_ms = self._clock.now()
        if self._hold is not None:
            self.due_ms = now_ms
            return
        self.due_ms = min(
            now_ms + self._read_interval_ms(),
            max(now_ms, self._takeover_ms(contents)),
        )

    def on_appended(
        self, step: lease_steps.Append, appended: lease_records.Appended
    ) -> bool:
        """Records an acknowledged append.

        Returns:
            Whether it was executed in the era that it was meant for; otherwise
            the store may have lost it.
        """
        if appended.era != step.at.era:
            # The store returned from an older copy between the two calls.
            self.on_failed()
            return False
        self._failures = 0
        unchanged_ms = step.began_ms - self._observed_ms
        self._observe(
            lease_records.Contents(
                step.holder or step.at.holder,
                {**step.at.records, **step.records},
                appended.end,
                appended.era,
            )
        )
        self.due_ms = step.began_ms + RENEWAL_LEASES * self._lease_ms
        if step.holder is not None and step.holder.released:
            self._log.info("lease_released", token=appended.token)
            self._hold = None
        elif self._hold is None:
            self._acquire(step, appended, unchanged_ms)
        else:
            self._extend(self._hold, step, appended)
        return True

    def on_conflict(self) -> None:
        """Records that an append was refused because another came before."""
        self._contents = None
        self.due_ms = self._clock.now()

    def on_failed(self) -> None:
        """Records that a call had no valid response; it may yet be executed."""
        self._contents = None
        self._failures += 1
        self.due_ms = self._clock.now() + self._backoff_ms()

    def _expires_ms(self, hold: lease_steps.Hold) -> float:
        return hold.renewed_ms + TERM_LEASES * self._lease_ms

    def _has_expired(self, hold: lease_steps.Hold) -> bool:
        return self._clock.now() >= self._expires_ms(hold)

    def _check_term(self, is_candidate: bool) -> None:
        """Logs the end of a term, and leaves the lease to a candidate."""
        hold = self._hold
        if hold is None or not self._has_expired(hold):
            return
        if not hold.is_suspended:
            hold.is_suspended = True
            self._log.warning(
                "lease_term_over",
                token=hold.token,
                renewed_ago_ms=round(self._clock.now() - hold.renewed_ms),
                failures=self._failures,
            )
        if not is_candidate:
            self._lose("no_candidate", None)

    def _check_holder(self, contents: lease_records.Contents) -> None:
        """Gives up the lease if another VM may hold it."""
        hold = self._hold
        if contents.era == hold.era:
            if self._is_own(contents.holder):
                hold.records = contents.records
            else:
                self._lose("taken_over", contents.holder)
        elif self._has_expired(hold):
            self._lose("store_era", contents.holder)

    def _is_own(self, record: lease_records.HolderRecord | None) -> bool:
        return (
            record is not None
            and record.process == self._process
            and not record.released
        )

    def _lose(
        self, reason: str, holder: lease_records.HolderRecord | None
    ) -> None:
        self._log.warning(
            "lease_lost",
            reason=reason,
            token=self._hold.token,
            holder=None if holder is None else holder.vm,
        )
        self._hold = None
        self._lost_ms = self._clock.now()

    def _observe(self, contents: lease_records.Contents) -> None:
        self._contents = contents
        position = (contents.era, contents.end)
        if position != self._position:
            if contents.era != self._position[0]:
                self._era_seen_ms = self._clock.now()
            self._position = position
            self._observed_ms = self._clock.now()

    def _takeover_ms(self, contents: lease_records.Contents) -> float:
        """Returns when this VM may acquire the lease if nothing changes.

        A new process waits for the lease time too: the VM's previous process
        may have released the lease a moment ago.
        """
        earliest_ms = max(
            self._started_ms + self._lease_ms,
            self._lost_ms + COOLDOWN_LEASES * self._lease_ms,
        )
        if contents.is_free_for(self._process):
            return earliest_ms
        return max(earliest_ms, self._observed_ms + self._lease_ms)

    def _own_record(
        self, contents: lease_records.Contents, released: bool = False
    ) -> lease_records.HolderRecord:
        return lease_records.HolderRecord(
            self._vm, self._process, contents.era, released
        )

    def _renew(
        self, contents: lease_records.Contents, released: bool
    ) -> lease_steps.Append:
        """Returns the append of a holder record.

        If the store has returned from an older copy, it also restores the
        duty's records that the copy lacks.
        """
        restored = {
            key: value
            for key, value in self._hold.records.items()
            if contents.records.get(key) != value
        }
        record = self._own_record(contents, released)
        return lease_steps.Append(contents, record, restored, self._clock.now())

    def _acquire(
        self,
        step: lease_steps.Append,
        appended: lease_records.Appended,
        unchanged_ms: float,
    ) -> None:
        previous = step.at.holder
        now_ms = self._clock.now()
        wait_ms = 0.0
        if not self._requires_fence and previous is not None:
            # Without a fence, late calls of the previous holder are executed:
            # they get this time before the first call with a higher token.
            wait_ms = self._lease_ms
        self._hold = lease_steps.Hold(
            token=appended.token,
            era=appended.era,
            records=self._contents.records,
            renewed_ms=step.began_ms,
            acquired_ms=now_ms,
            acts_from_ms=now_ms + wait_ms,
        )
        self._log.info(
            "lease_acquired",
            token=appended.token,
            previous=None if previous is None else previous.vm,
            released=previous is not None and previous.released,
            unchanged_ms=round(unchanged_ms),
            era=appended.era,
        )

    def _extend(
        self,
        hold: lease_steps.Hold,
        step: lease_steps.Append,
        appended: lease_records.Appended,
    ) -> None:
        if hold.is_suspended or self._has_expired(hold):
            hold.acquired_ms = self._clock.now()
            hold.is_suspended = False
            self._log.info("lease_resumed", token=appended.token)
        # Without a fence, a late call with an older token would be executed:
        # the token stays the same while the holder does.
        if self._requires_fence or hold.token <= self._refused_token:
            hold.token = appended.token
        hold.era = appended.era
        hold.records = self._contents.records
        hold.renewed_ms = step.began_ms

    def _read_interval_ms(self) -> float:
        return READ_LEASES * self._lease_ms * self._jitter()

    def _backoff_ms(self) -> float:
        """Returns the delay after a failure; a holder retries at once."""
        if self._hold is not None and not self._has_expired(self._hold):
            return (self._failures - 1) * RETRY_LEASES * self._lease_ms
        leases = min(
            READ_LEASES * 2.0 ** min(self._failures - 1, 8), MAX_BACKOFF_LEASES
        )
        return leases * self._lease_ms * self._jitter()

    def _jitter(self) -> float:
        return self._rng.uniform(MIN_JITTER, 1.0)
