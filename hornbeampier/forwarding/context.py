"""The components that all forwarded requests share."""

import dataclasses
import random

from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.forwarding import begin_proof
from hornbeampier.forwarding import connection_pool
from hornbeampier.forwarding import request_usage
from hornbeampier.forwarding import resumption
from hornbeampier.replication import currency
from hornbeampier.routing import announcements
from hornbeampier.routing import budget
from hornbeampier.routing import catalog
from hornbeampier.routing import crashes
from hornbeampier.routing import dispatch
from hornbeampier.routing import engine_model
from hornbeampier.routing import peer_loads


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The components that all forwarded requests share.

    Attributes:
        entries: How current the entries of endpoints are.
    """

    catalog: catalog.Catalog
    connection_pool: connection_pool.ConnectionPool
    peer_loads: peer_loads.PeerLoads
    dispatcher: dispatch.Dispatcher
    crashes: crashes.CrashHistory
    budget: budget.RetryBudget
    engine_models: engine_model.EngineModels
    announcements: announcements.Announcements
    entries: currency.Currency
    resumption: resumption.Resumption
    begin_proof: begin_proof.BeginProof
    metrics: node_metrics.NodeMetrics
    clock: clocks.Clock
    rng: random.Random
    usage: request_usage.UsageRecorder = request_usage.NoUsage()
