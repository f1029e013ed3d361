"""Faults of connections and of responses, and prompts that crash engines."""

import gevent

from hornbeampier import clock as clocks
from tests.soak import endpoints
from tests.soak import poison
from tests.soak import proxies

MAX_DELAY_S = 0.3
POISON_S = 8.0
POISON_INTERVAL_S = 0.2
# A crashed engine is back, under another id, after this time.
RETURN_S = 0.5
# Time to wait that an endpoint names.
WAIT_S = 1.5


class NetworkFaults:
    """The part of a soak's world that puts these faults on it."""

    def _poison_engines(self, event):
        """Prompts with one segment that crashes engines come at any VM."""
        segment_id = f"{endpoints.POISON}{event.target:05x}"
        end_ms = self.clock.now() + POISON_S * clocks.MS_PER_SECOND
        while self.clock.now() < end_ms and not self.is_over:
            gevent.sleep(POISON_INTERVAL_S)
            vm = self.pick_vm(self._rng)
            if vm is not None:
                gevent.spawn(poison.send, vm, segment_id)

    def _crash_by_poison(self, endpoint, segment_id, vm_name):
        started_ms = {vm.name: vm.started_ms for vm in self.vms}
        self._poison.record(segment_id, vm_name, started_ms.get(vm_name))
        if endpoint in self._endpoints:
            self._crash_endpoint(endpoint)
            gevent.spawn_later(
                RETURN_S,
                self._add_endpoint,
                endpoint.service,
                endpoint.version,
            )
            self.store.put_endpoint(endpoint.id, None)

    def _crash_endpoint(self, endpoint):
        self._endpoints.remove(endpoint)
        self._left.append(endpoint)
        endpoint.stop()

    def _delay(self, event):
        proxy = self._endpoint(event).proxy
        proxy.delay_s = MAX_DELAY_S
        gevent.sleep(event.duration_s)
        proxy.delay_s = 0.0

    def _reset(self, event):
        self._reset_connections(self._endpoint(event))

    def _reset_connections(self, endpoint):
        endpoint.was_cut = True
        endpoint.spoil_open_requests()
        endpoint.proxy.reset()

    def _cut(self, event):
        """One direction is cut; then the connections are reset."""
        endpoint = self._endpoint(event)
        endpoint.was_cut = True
        endpoint.spoil_open_requests()
        endpoint.proxy.cut.add(self._direction(event))
        gevent.sleep(event.duration_s)
        endpoint.proxy.cut.discard(self._direction(event))
        self._reset_connections(endpoint)

    def _direction(self, event):
        return list(proxies.Direction)[event.target % 2]

    def _store_proxy(self, event):
        self._disturbed_ms = self.clock.now()
        return self._store_proxies[event.target % len(self.vms)]

    def _store_delay(self, event):
        proxy = self._store_proxy(event)
        proxy.delay_s = MAX_DELAY_S
        gevent.sleep(event.duration_s)
        proxy.delay_s = 0.0
        self._disturbed_ms = self.clock.now()

    def _store_reset(self, event):
        self._store_proxy(event).reset()

    def _store_cut(self, event):
        proxy = self._store_proxy(event)
        proxy.cut.add(self._direction(event))
        gevent.sleep(event.duration_s)
        proxy.cut.clear()
        proxy.reset()
        self._disturbed_ms = self.clock.now()


class ResponseFaults:
    """The part that lets endpoints spoil their responses."""

    def _wait(self, event):
        """An endpoint refuses requests and names a time to wait."""
        announcing = self._endpoint(event).announcing
        announcing.wait_s = WAIT_S
        gevent.sleep(event.duration_s)
        announcing.wait_s = None

    def _spoil(self, event, fault):
        endpoint = self._endpoint(event)
        endpoint.faults.add(fault)
        gevent.sleep(event.duration_s)
        endpoint.faults.discard(fault)

    def _lose(self, event):
        self._spoil(event, "lose")

    def _copy(self, event):
        self._spoil(event, "copy")

    def _break(self, event):
        self._spoil(event, "break")

    def _stall(self, event):
        self._spoil(event, "stall")

    def _slow(self, event):
        self._spoil(event, "slow")
