"""The task that orders models to engines while this VM holds the lease.

Every VM runs it; the lease makes one of them plan at a time. Routing never
waits for it. No safety rests on there being one: orders state the whole
wanted set, the engines' state is read again after each, and the limit of the
weight store is counted on the log.
"""

from collections.abc import Callable

import structlog

from hornbeampier import application
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier.coordination import lease
from hornbeampier.coordination import load_permits
from hornbeampier.coordination import log as platform_log
from hornbeampier.endpoints import messages
from hornbeampier.endpoints import orders
from hornbeampier.endpoints import registry
from hornbeampier.operators import history
from hornbeampier.policy import placement

INTERVAL_MS = 2_000.0
# A renewed lease outlives several failed rounds.
RENEW_INTERVAL_MS = 3_000.0


class Planner(application.TaskComponent):
    """Plans and sends orders in rounds."""

    def __init__(
        self,
        vm: str,
        env: environment.Environment,
        log: platform_log.Log,
        endpoints: registry.Registry,
        accepted: Callable[[], history.Accepted | None],
        interval_ms: float = INTERVAL_MS,
    ):
        super().__init__()
        self._env = env
        self._clock = env.clock
        self._endpoints = endpoints
        self._accepted = accepted
        self._interval_ms = interval_ms
        self._lease = lease.Lease(log, env.new_id(vm), env.clock)
        self._permits = load_permits.LoadPermits(log)
        self._renewed_ms = float("-inf")
        self._log = structlog.get_logger(task="planner")

    def run(self) -> None:
        """Runs rounds until killed."""
        while True:
            self.round()
            self._clock.sleep(self._interval_ms)

    def stop(self) -> None:
        """Stops the task and releases the lease."""
        super().stop()
        try:
            self._lease.release()
        except errors.PlatformError as exc:
            self._log.info("lease_not_released", error=str(exc))

    def round(self) -> None:
        """Renews the lease, looks at the engines and sends orders."""
        accepted = self._accepted()
        if accepted is None or not accepted.cfg.placements:
            return
        try:
            if not self._hold_lease():
                return
            seen = self._read_states()
            for order in placement.plan(accepted.cfg, seen):
                self._send(order, accepted)
        except errors.PlatformError as exc:
            self._log.warning("planning_paused", error=str(exc))

    def _hold_lease(self) -> bool:
        now_ms = self._clock.now()
        fresh = now_ms - self._renewed_ms < RENEW_INTERVAL_MS
        if fresh and self._lease.is_held():
            return True
        held = self._lease.try_hold()
        if held:
            self._renewed_ms = now_ms
        return held

    def _read_states(self) -> placement.States:
        seen = {}
        for state in self._endpoints.engines():
            try:
                seen[state.name] = orders.OrderClient(state.peer).read()
            except errors.AttemptError as exc:
                self._log.info(
                    "engine_unseen", endpoint=state.name, error=str(exc)
                )
        return seen

    def _send(
        self, planned: placement.PlannedOrder, accepted: history.Accepted
    ) -> None:
        name = planned.endpoint.name
        fencing = self._lease.fencing
        if planned.loads and not self._take_permits(planned, accepted):
            self._decide(planned, accepted, "no_permit")
            return
        state = self._endpoints.find(name)
        # The lease may have lapsed while the log was slow.
        if state is None or not self._lease.is_held():
            self._decide(planned, accepted, "lease_lapsed")
            return
        order = messages.ModelOrder(fencing, planned.models)
        try:
            orders.OrderClient(state.peer).order(order)
        except orders.StaleFencingError:
            self._decide(planned, accepted, "stale_fencing")
        except errors.AttemptError as exc:
            self._decide(planned, accepted, f"unknown: {exc}")
        else:
            self._decide(planned, accepted, "ordered")

    def _take_permits(
        self, planned: placement.PlannedOrder, accepted: history.Accepted
    ) -> bool:
        """Returns whether the weight store's limit allows all loads."""
        limit = accepted.cfg.rollout.loads_per_minute
        return all(
            self._permits.acquire(self._new_permit(planned), limit)
            for _ in range(planned.loads)
        )

    def _new_permit(
        self, planned: placement.PlannedOrder
    ) -> load_permits.PermitRecord:
        return load_permits.PermitRecord(
            self._env.new_id("load"),
            planned.endpoint.name,
            self._lease.fencing,
        )

    def _decide(
        self,
        planned: placement.PlannedOrder,
        accepted: history.Accepted,
        outcome: str,
    ) -> None:
        self._log.info(
            "placed",
            endpoint=planned.endpoint.name,
            wanted=[_label(m) for m in planned.models],
            seen=[_label(m) for m in planned.seen.models],
            seen_fencing=planned.seen.fencing,
            outcome=outcome,
            fencing=self._lease.fencing,
            version=accepted.version,
        )


def _label(held: messages.HeldModel) -> str:
    adapter = f"+{held.adapter}" if held.adapter else ""
    return f"{held.model}{adapter}@{held.version}"
