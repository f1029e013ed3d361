"""Builds the components with which a VM takes part in a duty."""

from collections.abc import Callable
import dataclasses
import random

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import lease
from hornbeampier.duties import lease_keeper
from hornbeampier.duties import terms
from hornbeampier.platform import duty_api
from hornbeampier.platform import duty_store
from hornbeampier.platform import names
from hornbeampier.platform import settings
from hornbeampier.routing import rendezvous

# Live VMs, by rank, that try to acquire a free lease. More than one, as a VM
# that was killed or is draining counts as live for some seconds.
CANDIDATE_COUNT = 3
# Timeout of a call to the store: a renewal without a response leaves time for
# a read and another renewal within the term.
STORE_TIMEOUT_LEASES = 1 / 5


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """One duty of this VM.

    Attributes:
        keeper: Component that holds the lease. An application adds it last, so
            that its drain releases the lease before callers are drained.
        api: The platform's calls; usable only with a term of the keeper.
    """

    keeper: lease_keeper.LeaseKeeper
    api: terms.DutyApi


def build_duty(
    duty: str,
    cfg: settings.NodeSettings,
    live_peers: Callable[[], list[str]],
    metrics: node_metrics.NodeMetrics,
    clock: clocks.Clock,
    rng: random.Random,
) -> Duty:
    """Returns the components of one duty.

    Args:
        duty: One of the duties that the settings name.
        cfg: The settings of this VM.
        live_peers: Returns the hosts of the other live VMs.
        metrics: Where the lease and the calls are counted.
        clock: The clock, which counts the time of suspensions.
        rng: Source of the process's number and of jitter.
    """
    duties = cfg.duties
    store = duty_store.DutyStore(
        cfg.store,
        names.DUTIES.index(duty),
        duties.lease_ms * STORE_TIMEOUT_LEASES,
        clock,
    )
    api = duty_api.DutyApiClient(duty, duties, metrics, clock)
    decision = lease.Lease(
        duty, cfg.vm, duties.lease_ms, duties.requires_fence, clock, rng
    )

    def is_candidate() -> bool:
        hosts = {cfg.host, *live_peers()}
        return cfg.host in rendezvous.rank(duty, hosts, CANDIDATE_COUNT)

    keeper = lease_keeper.LeaseKeeper(
        duty, decision, store, is_candidate, api.drain, metrics, clock
    )
    return Duty(keeper, api)
