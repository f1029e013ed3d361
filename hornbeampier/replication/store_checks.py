"""Asks the store itself if this VM may have missed changes for too long.

Each VM relies on calls that wait at the store, its own or those of other VMs.
Any of these calls may hang, and any of these VMs may be suspended or gone
without anybody noticing for a while. So a VM whose records may be older than it
is allowed reads the store, whatever it has heard. VMs that rank first do so
sooner; the others hear from them that there is nothing new.
"""

from collections.abc import Callable
from collections.abc import Collection
import random

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier.replication import replica
from hornbeampier.replication import store_readers
from hornbeampier.routing import freshness

CHECK_INTERVAL_MS = 50.0
# Age of its records at which the VM that ranks first reads the store.
MAX_AGE_MS = 400.0
# Added for each VM that ranks before, up to a number of them.
STAGGER_MS = 70.0
MAX_STAGGERED = 3
# VMs that hear from others through hubs hear later.
MAX_AGE_BEHIND_HUBS_MS = 1_300.0
# Pause after the second read in a row that failed; it doubles with each one.
FIRST_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1_000.0
# All VMs may ask a store that is away; together they leave it this much time.
SHARED_BACKOFF_MS = 10.0


def allowed_age_ms(rank: int, has_hubs: bool) -> float:
    """Returns the age of its records at which a VM reads the store.

    Args:
        rank: Number of the live VMs that rank before it.
        has_hubs: Whether VMs hear from each other through hubs.
    """
    stagger_ms = STAGGER_MS * min(rank, MAX_STAGGERED)
    if has_hubs and rank >= store_readers.READER_COUNT:
        return MAX_AGE_BEHIND_HUBS_MS + stagger_ms
    return MAX_AGE_MS + stagger_ms


class StoreChecks(application.TaskComponent):
    """Reads the store whenever this VM's records may be too old."""

    def __init__(
        self,
        replicas: Collection[replica.TopicReplica],
        reads: freshness.Freshness,
        allowed_age_ms: Callable[[], float],
        count_vms: Callable[[], int],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Creates the component.

        Args:
            replicas: The replicas of this VM.
            reads: The reads of the store.
            allowed_age_ms: Returns the age at which to read it.
            count_vms: Returns the number of VMs that share the store.
            clock: The clock.
            rng: Source of jitter.
        """
        super().__init__()
        self._replicas = replicas
        self._reads = reads
        self._allowed_age_ms = allowed_age_ms
        self._count_vms = count_vms
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._log = structlog.get_logger(task="store_checks")

    def run(self) -> None:
        """Checks the age of the records until killed."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_MS)
            if self._is_due():
                self._check()

    def _is_due(self) -> bool:
        """Whether the records are too old; those never read are not."""
        if any(r.position is None for r in self._replicas):
            return False
        age_ms = self._age_ms()
        return age_ms > MAX_AGE_MS and age_ms > self._allowed_age_ms()

    def _check(self) -> None:
        self._reads.request().wait()
        if not self._is_due():
            self._record_current()
            return
        self._failures += 1
        if self._failures > 1:
            self._log_stale()
            self._clock.sleep(self._backoff_ms())

    def _record_current(self) -> None:
        if self._failures > 1:
            self._log.info("records_current", age_ms=round(self._age_ms()))
        self._failures = 0

    def _log_stale(self) -> None:
        # The first read may only have shown that its connection had ended.
        if self._failures == 2:
            self._log.warning("records_stale", age_ms=round(self._age_ms()))

    def _age_ms(self) -> float:
        now_ms = self._clock.now()
        return max(r.currency.age_ms(now_ms) for r in self._replicas)

    def _backoff_ms(self) -> float:
        backoff_ms = FIRST_BACKOFF_MS * 2.0 ** min(self._failures - 2, 10)
        shared_ms = SHARED_BACKOFF_MS * self._count_vms()
        longest_ms = max(MAX_BACKOFF_MS, shared_ms)
        return min(backoff_ms, longest_ms) * self._rng.uniform(0.5, 1.0)
