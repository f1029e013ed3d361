"""Reads of the store that begin after a question has come up.

The store is linearizable: such a read has all that any VM had read before the
question. All who ask while one round of reads runs share the next one.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import gevent
from gevent import event
import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.replication import messages
from hornbeampier.replication import replica
from hornbeampier.routing import domain
from hornbeampier.routing import freshness

# Maximum duration of a round of reads.
READ_TIMEOUT_MS = 300.0
# A round that ends this much after its timeout was held up by this VM itself.
MAX_DELAY_MS = 20.0
# How often the reads of one round are tried.
MAX_TRIES = 2
# Shortest interval between the starts of two rounds of one VM.
MIN_INTERVAL_MS = 20.0
# Interval between the starts of the rounds of all VMs together. A round makes
# one call for each topic, and the store limits the calls of all VMs.
SHARED_INTERVAL_MS = 2.0


class TailSource(Protocol):
    """The store, from which the newest records of topics are read."""

    def read_to_end(self, topic: str, offset: int) -> messages.Batch:
        """Returns all records from `offset` on, without waiting for more.

        Raises:
            errors.PlatformError: The store cannot be read, or does not have all
                records from `offset` on.
        """
        ...

    def read_snapshot(self, topic: str) -> messages.Snapshot:
        """Returns the newest record of each key.

        Raises:
            errors.PlatformError: The store cannot be read.
        """
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class FreshReads(application.TaskComponent):
    """Makes the reads of one VM, as `routing.freshness.Freshness`."""

    def __init__(
        self,
        replicas: Sequence[replica.TopicReplica],
        source: TailSource,
        count_vms: Callable[[], int],
        is_current: Callable[[domain.Route], bool],
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            replicas: This VM's replicas, to which newer records are applied.
            source: The store, on a connection of its own.
            count_vms: Returns the number of VMs that share the store.
            is_current: Whether a route is one of the present configuration.
            clock: The clock.
        """
        super().__init__()
        self._replicas = replicas
        self._source = source
        self._count_vms = count_vms
        self._is_current = is_current
        self._clock = clock
        self._next: freshness.Confirmation | None = None
        self._requested = event.Event()
        self._log = structlog.get_logger(task="fresh_reads")

    def request(self) -> freshness.Confirmation:
        """Returns the outcome of the next round, which has not begun yet."""
        if self._next is None:
            # The round that runs now comes first.
            timeout_ms = 2 * MAX_TRIES * READ_TIMEOUT_MS + self._interval_ms()
            self._next = freshness.Confirmation(timeout_ms)
            self._requested.set()
        return self._next

    def is_current(self, route: domain.Route) -> bool:
        """Whether the present configuration has a route as it is."""
        return self._is_current(route)

    def run(self) -> None:
        """Makes a round of reads whenever one is requested."""
        while True:
            self._requested.wait()
            began_ms = self._clock.now()
            self._run_round()
            due_ms = began_ms + self._interval_ms()
            self._clock.sleep(max(0.0, due_ms - self._clock.now()))

    def stop(self) -> None:
        """Stops reading."""
        super().stop()
        self._source.close()

    def _interval_ms(self) -> float:
        return max(MIN_INTERVAL_MS, SHARED_INTERVAL_MS * self._count_vms())

    def _run_round(self) -> None:
        confirmation, self._next = self._next, None
        self._requested.clear()
        is_confirmed = False
        try:
            is_confirmed = self._read_all()
        except (errors.PlatformError, gevent.Timeout) as exc:
            self._log.warning("store_unconfirmed", error=str(exc))
            self._source.close()
        finally:
            confirmation.finish(is_confirmed)

    def _read_all(self) -> bool:
        """Whether all replicas have all records of their topics after reads.

        A pause of this VM does not show that the store is silent: its response
        may have come meanwhile. So the reads are tried again after one.

        Raises:
            errors.PlatformError: The store cannot be read.
            gevent.Timeout: It did not respond in time.
        """
        for _ in range(MAX_TRIES - 1):
            began_ms = self._clock.now()
            try:
                return self._read_in_time()
            except gevent.Timeout:
                duration_ms = self._clock.now() - began_ms
                if duration_ms < READ_TIMEOUT_MS + MAX_DELAY_MS:
                    raise
                self._log.info("read_again", duration_ms=round(duration_ms))
                self._source.close()
        return self._read_in_time()

    def _read_in_time(self) -> bool:
        with gevent.Timeout(READ_TIMEOUT_MS / clocks.MS_PER_SECOND):
            return all(self._read(r, self._clock.now()) for r in self._replicas)

    def _read(
        self, topic_replica: replica.TopicReplica, began_ms: float
    ) -> bool:
        """Whether a replica has all records of its topic after a read."""
        if topic_replica.offset is None:
            return False
        try:
            batch = self._source.read_to_end(
                topic_replica.topic, topic_replica.offset
            )
        except messages.RecordsCompactedError:
            self._read_snapshot(topic_replica, began_ms)
            return False
        if batch.era != topic_replica.era:
            # The offsets of another era count other records.
            if batch.era > topic_replica.era:
                self._read_snapshot(topic_replica, began_ms)
            return False
        topic_replica.apply_batch(batch)
        topic_replica.currency.confirm(began_ms)
        return True

    def _read_snapshot(
        self, topic_replica: replica.TopicReplica, began_ms: float
    ) -> None:
        """Brings a replica up to date that cannot read on at its offset."""
        snapshot = self._source.read_snapshot(topic_replica.topic)
        if snapshot.era < topic_replica.era:
            raise errors.PlatformError(
                f"the store is in era {snapshot.era}, and was in "
                f"{topic_replica.era}"
            )
        topic_replica.apply_snapshot(snapshot)
        topic_replica.currency.confirm(began_ms)
