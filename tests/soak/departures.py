"""Endpoints of a soak that leave by their entry alone."""

import collections
import contextlib

import gevent

from tests.soak import schedule

# An entry that is not `ready` any more binds the VMs from this time on after
# the store has accepted it.
DRAIN_MS = 2_000.0
# A VM, its links and the store count as stable without a fault for this time.
STABLE_MS = 3_000.0
# How long a departing endpoint serves on after the VMs are bound.
SERVES_ON_S = 3.0
# Faults after which VMs may hear late of an endpoint's departure.
DISTURBING = {
    schedule.Kind.TERMINATE,
    schedule.Kind.KILL,
    schedule.Kind.FREEZE,
    schedule.Kind.HANGUP,
    schedule.Kind.STORE_DOWN,
    schedule.Kind.STORE_RESTORE,
    schedule.Kind.STORE_COMPACT,
    schedule.Kind.STORE_DELAY,
    schedule.Kind.STORE_RESET,
    schedule.Kind.STORE_CUT,
    schedule.Kind.SWALLOW_CALLS,
}


class Calm:
    """Tells whether VMs and store have been without a fault for a while.

    A fault concerns some VMs, by their index, or else the store and all VMs.
    """

    def __init__(self, clock):
        self._clock = clock
        self._ongoing = collections.Counter()
        self._ended_ms = {None: clock.now()}

    def run(self, event, apply):
        """Applies an event, which may disturb VMs or the store."""
        if event.kind not in DISTURBING:
            apply(event)
            return
        with self.disturb(None):
            apply(event)

    @contextlib.contextmanager
    def disturb(self, *indices):
        """Marks VMs, or with None everything, as disturbed meanwhile."""
        self._ongoing.update(indices)
        try:
            yield
        finally:
            self._ongoing.subtract(indices)
            ended_ms = self._clock.now()
            self._ended_ms.update(dict.fromkeys(indices, ended_ms))

    def is_stable(self, index=None):
        """Whether no fault disturbs, or did so within `STABLE_MS`.

        Args:
            index: The VM that is asked for; None for the store.
        """
        return self._is_calm(None) and self._is_calm(index)

    def _is_calm(self, index):
        ended_ms = self._ended_ms.get(index)
        if ended_ms is None:
            return not self._ongoing[index]
        calm_ms = self._clock.now() - ended_ms
        return not self._ongoing[index] and calm_ms > STABLE_MS


class Departure:
    """Counts the requests that reach an endpoint too late.

    Attributes:
        late: The VMs that sent a request too late.
        ages_ms: How long before each request from a VM in touch the store had
            accepted that the endpoint leaves.
    """

    def __init__(self, calm, clock):
        self._calm = calm
        self._clock = clock
        self._left_ms = None
        self.late = []
        self.ages_ms = []

    def begin(self):
        """Records that the store has accepted that the endpoint leaves."""
        if self._left_ms is None and self._calm.is_stable():
            self._left_ms = self._clock.now()

    def arrive(self, vm, slack_ms):
        """Records a request of a VM."""
        if self._left_ms is None or not self._calm.is_stable(index_of(vm)):
            return
        age_ms = self._clock.now() - self._left_ms
        self.ages_ms.append(age_ms)
        if age_ms > DRAIN_MS + slack_ms:
            self.late.append(vm)


def index_of(vm):
    """Returns the index of the VM with a process's name, `vmINDEX.BOOT`."""
    index = vm.partition(".")[0].removeprefix("vm")
    return int(index) if index.isdecimal() else None


class Departures:
    """Lets endpoints leave by their entry alone; a part of `World`."""

    def _drain(self, event):
        """An endpoint's entry, and nothing else, says that it leaves."""
        endpoint = self._endpoint(event)
        if self._begin_departure(endpoint):
            endpoint.state = "draining"
            self.store.put_endpoint(endpoint.id, endpoint.entry())
            self._end_departure(endpoint)

    def _vanish(self, event):
        """An endpoint's entry is removed while the endpoint serves on."""
        endpoint = self._endpoint(event)
        if self._begin_departure(endpoint):
            self._endpoints.remove(endpoint)
            self._left.append(endpoint)
            self.store.put_endpoint(endpoint.id, None)
            self._end_departure(endpoint)

    def _begin_departure(self, endpoint):
        """Starts a replacement; returns whether the endpoint may depart."""
        if endpoint.is_changing:
            return False
        endpoint.is_departing = True
        self._add_endpoint(endpoint.service, endpoint.version)
        return True

    def _end_departure(self, endpoint):
        endpoint.departure.begin()
        gevent.sleep(DRAIN_MS / 1_000.0 + SERVES_ON_S)
        if endpoint in self._endpoints:
            self._remove(endpoint)
        else:
            endpoint.stop()

    def _late_requests(self):
        """Returns a line for each endpoint that was sent requests too late."""
        return [
            f"{endpoint.id}: {len(late)} requests after it departed: {late[:5]}"
            for endpoint in self._endpoints + self._left
            if (late := endpoint.departure.late) and not endpoint.was_cut
        ]
