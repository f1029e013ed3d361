"""Faults by which VMs may hear late that an endpoint leaves."""

import signal

import gevent

from tests.soak import processes

DEPARTURE_INTERVAL_S = 0.4
# Endpoints of a service that do not leave are at least this many.
MIN_STAYING = 2
# From an entry to the signal to the VMs that have just read it.
MAX_NOTICE_S = 0.1
# Between the kills of VMs that read the store.
KILL_GAP_S = 0.4


class Staleness:
    """The part of a soak's world that puts these faults on it."""

    def begin_departures(self):
        """Lets endpoints leave from now on until the soak is over."""
        self._tasks.append(gevent.spawn(self._depart_often))

    def _depart_often(self):
        """Lets endpoints leave by their entry alone, again and again."""
        while not self.is_over:
            gevent.sleep(DEPARTURE_INTERVAL_S)
            endpoint = self._rng.choice(self._endpoints)
            if self._may_leave(endpoint):
                gevent.spawn(self._depart, endpoint)

    def _may_leave(self, endpoint):
        staying = [
            other
            for other in self._endpoints
            if other.service == endpoint.service and not other.is_changing
        ]
        return endpoint in staying and len(staying) > MIN_STAYING

    def _depart(self, endpoint):
        if self._begin_departure(endpoint):
            endpoint.state = "draining"
            self.store.put_endpoint(endpoint.id, endpoint.entry())
            self._end_departure(endpoint)

    def _stop_readers(self, event):
        """VMs stand still that have just read that an endpoint leaves."""
        stopped = self._readers_of_a_departure(event)
        with self._calm.disturb(*(vm.index for vm in stopped)):
            for vm in stopped:
                self.ledger.disturbed.add(vm.name)
                vm.signal(signal.SIGSTOP)
            gevent.sleep(event.duration_s)
            for vm in stopped:
                vm.signal(signal.SIGCONT)

    def _kill_readers(self, event):
        """VMs are killed one by one that have just read such an entry."""
        killed = self._readers_of_a_departure(event)
        restarts = []
        for vm in killed:
            self.ledger.disturbed.add(vm.name)
            restarts.append(gevent.spawn(self._kill_and_start, vm))
            gevent.sleep(self._rng.uniform(0.0, KILL_GAP_S))
        gevent.joinall(restarts, raise_error=True)

    def _kill_and_start(self, vm):
        name = vm.name
        with self._calm.disturb(vm.index):
            vm.signal(signal.SIGKILL)
            vm.wait_ended(processes.GRACE_S)
            self._restart(vm, name)

    def _readers_of_a_departure(self, event):
        """Returns up to all VMs but one; those that read it come first."""
        began_ms = self.clock.now()
        endpoint = self._endpoint(event)
        if self._may_leave(endpoint):
            gevent.spawn(self._depart, endpoint)
        gevent.sleep(self._rng.uniform(0.0, MAX_NOTICE_S))
        vms = list(zip(self.vms, self._store_proxies, strict=True))
        self._rng.shuffle(vms)
        vms.sort(key=lambda pair: pair[1].answered_ms < began_ms)
        count = 1 + event.target % (len(vms) - 1)
        return [vm for vm, _ in vms[:count]]

    def _miss_records(self, event):
        """The store does not wake the calls that wait for records."""
        self.store.wakes = False
        gevent.sleep(event.duration_s)
        self.store.wakes = True

    def _swallow_calls(self, event):
        """The calls that wait at the store get no answer, ever."""
        del event
        for proxy in self._store_proxies:
            proxy.swallow()

    def ages_ms(self):
        """Returns the ages of departures as requests came nevertheless.

        They are sorted, and only of VMs that were in touch.
        """
        endpoints = self._endpoints + self._left
        return sorted(
            age_ms for e in endpoints for age_ms in e.departure.ages_ms
        )


def describe(ages_ms):
    """Returns the figures of ages for the report of a seed."""
    if not ages_ms:
        return "no request to an endpoint that leaves"
    p99 = ages_ms[int(0.99 * len(ages_ms))]
    return (
        f"{len(ages_ms)} requests to endpoints that leave, "
        f"p99 {p99:.0f} ms, latest {ages_ms[-1]:.0f} ms"
    )
