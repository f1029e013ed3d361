"""Sends the orders of endpoints while this VM holds the duty."""

from collections.abc import Callable
import math
from typing import Protocol

import structlog

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import terms
from hornbeampier.routing import allocation
from hornbeampier.routing import demand
from hornbeampier.routing import scaling

INTERVAL_MS = 1_000.0
# No orders are given if the load of a live peer is older.
MAX_LOAD_AGE_MS = 2_000.0
# A VM that has just started does not know all loads.
START_MS = 10_000.0
# A new holder waits for calls and drains of the previous one.
TAKEOVER_MS = 6_000.0
# After a peer was lost, endpoints are not decreased for this time unless it is
# back: its requests may still run.
PEER_LOSS_MS = 30_000.0
# If this VM may act again within this time, no other VM held the lease in
# between: a VM that lost it leaves it to others for longer.
MAX_LAPSE_LEASES = 1.5
# An unchanged reason to give no orders is logged again after this time.
WITHHELD_LOG_MS = 30_000.0


class DemandSource(Protocol):
    """Measures the work of services."""

    def loads_age_ms(self) -> float | None:
        """Returns the age of the oldest load of a live peer, or None."""
        ...

    def measure(self) -> list[demand.ServiceDemand]:
        """Returns the demands of all services whose endpoints are ordered."""
        ...


class _WithheldLog:
    """Logs why no orders are given: on each change, and from time to time."""

    def __init__(self, log: structlog.stdlib.BoundLogger):
        self._log = log
        self._reason: str | None = None
        self._logged_ms = -math.inf

    def update(self, reason: str | None, now_ms: float, **inputs) -> None:
        """Records why no orders are given, or None if they are."""
        is_due = now_ms - self._logged_ms >= WITHHELD_LOG_MS
        if reason is not None and (reason != self._reason or is_due):
            self._log.info("orders_withheld", reason=reason, **inputs)
            self._logged_ms = now_ms
        self._reason = reason


class OrderSender(application.TaskComponent):
    """Decides and sends orders every second while this VM holds the duty."""

    def __init__(
        self,
        lease: terms.DutyLease,
        api: terms.DutyApi,
        source: DemandSource,
        live_peers: Callable[[], list[str]],
        follows_endpoints: Callable[[], bool],
        lease_ms: float,
        calls_per_s: float,
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
    ):
        """Creates the component.

        Args:
            lease: The lease of the duty.
            api: The platform's calls.
            source: Measures the work of services.
            live_peers: Returns the hosts of the other live VMs.
            follows_endpoints: Whether this VM hears of new endpoints.
            lease_ms: The lease time.
            calls_per_s: Calls per second that the API accepts for this duty.
            metrics: Where the numbers of endpoints are shown.
            clock: The clock.
        """
        super().__init__()
        self._lease = lease
        self._api = api
        self._source = source
        self._live_peers = live_peers
        self._follows_endpoints = follows_endpoints
        self._max_lapse_ms = MAX_LAPSE_LEASES * lease_ms
        self._max_calls = max(1, int(calls_per_s))
        self._metrics = metrics
        self._clock = clock
        self._started_ms = clock.now()
        self._held_since_ms: float | None = None
        self._last_held_ms = -math.inf
        self._expected_peers = 0
        self._saw_all_peers_ms = clock.now()
        self._sees_all_peers = True
        self._scalers: dict[str, scaling.ServiceScaler] = {}
        self._is_draining = False
        self._log = structlog.get_logger(task="orders")
        self._withheld_log = _WithheldLog(self._log)

    def run(self) -> None:
        """Decides and sends until killed."""
        while True:
            self._clock.sleep(INTERVAL_MS)
            self.step()

    def drain(self) -> None:
        """Sends no more orders, so that the lease can be released."""
        self._is_draining = True

    def step(self) -> None:
        """Decides and sends the orders that are due."""
        self._count_peers()
        if not self._holds_duty():
            return
        now_ms = self._clock.now()
        reason = self._reason_to_wait(now_ms)
        self._withheld_log.update(
            reason, now_ms, loads_age_ms=_rounded(self._source.loads_age_ms())
        )
        if reason is not None:
            return
        orders = [
            (view, planned)
            for view in self._source.measure()
            for planned in self._decide(view)
        ]
        # The largest increases go first, as few calls are accepted per second.
        orders.sort(key=lambda o: o[1].order.desired - o[1].previous)
        for view, planned in orders[::-1][: self._max_calls]:
            if not self._send(view, planned):
                return

    def _holds_duty(self) -> bool:
        """Whether this VM may act; forgets its orders after a lost duty."""
        now_ms = self._clock.now()
        if self._is_draining or self._lease.term() is None:
            return False
        if now_ms - self._last_held_ms > self._max_lapse_ms:
            self._held_since_ms = now_ms
            self._scalers.clear()
        self._last_held_ms = now_ms
        return True

    def _reason_to_wait(self, now_ms: float) -> str | None:
        """Returns why no order may be given now, or None."""
        if now_ms - self._started_ms < START_MS:
            return "vm_started"
        if now_ms - self._held_since_ms < TAKEOVER_MS:
            return "duty_taken_over"
        if not self._follows_endpoints():
            return "endpoints_not_followed"
        age_ms = self._source.loads_age_ms()
        if age_ms is None and self._live_peers():
            return "loads_unknown"
        if age_ms is not None and age_ms > MAX_LOAD_AGE_MS:
            return "loads_old"
        return None

    def _count_peers(self) -> None:
        """Updates whether all peers that were live recently still are."""
        count = len(self._live_peers())
        now_ms = self._clock.now()
        is_loss_old = now_ms - self._saw_all_peers_ms >= PEER_LOSS_MS
        self._sees_all_peers = count >= self._expected_peers or is_loss_old
        if self._sees_all_peers:
            self._expected_peers = count
            self._saw_all_peers_ms = now_ms

    def _decide(self, view: demand.ServiceDemand) -> list[scaling.PlannedOrder]:
        scaler = self._scalers.get(view.service)
        if scaler is None:
            scaler = scaling.ServiceScaler(view.service, self._clock)
            self._scalers[view.service] = scaler
        planned = scaler.decide(view, may_decrease=self._sees_all_peers)
        present = view.present()
        for group, wanted in scaler.wanted().items():
            self._metrics.record_endpoints(
                view.service,
                group.availability_zone,
                _kind(group),
                wanted,
                present.get(group, 0),
            )
        return planned

    def _send(
        self, view: demand.ServiceDemand, planned: scaling.PlannedOrder
    ) -> bool:
        """Sends an order; returns whether more may follow under this term."""
        term = self._lease.term()
        if term is None or self._is_draining:
            return False
        age_ms = self._source.loads_age_ms()
        outcome = self._api.order_endpoints(term, planned.order)
        # The call may have taken long.
        if self._lease.term() is not None:
            self._last_held_ms = self._clock.now()
        scaler = self._scalers[view.service]
        scaler.record(planned, outcome)
        self._log.info(
            "endpoints_ordered",
            service=view.service,
            zone=planned.order.availability_zone,
            kind=_kind(planned.group),
            desired=planned.order.desired,
            previous=planned.previous,
            reason=planned.reason.value,
            present=view.present().get(planned.group, 0),
            work=round(view.work, 2),
            peak=round(scaler.peak, 2),
            needed=scaler.need.total,
            surviving=scaler.need.surviving,
            loads_age_ms=_rounded(age_ms),
            token=term.token,
            outcome=outcome.value,
        )
        if outcome is terms.Outcome.REFUSED:
            # The refusal may mean that a higher token was seen.
            self._lease.record_refused(term.token)
            return False
        return outcome is terms.Outcome.ACCEPTED


def _kind(group: allocation.Group) -> str:
    return "spot" if group.spot else "lasting"


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)
