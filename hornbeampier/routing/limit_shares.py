"""Divides the limit that an endpoint names among the VMs.

Few VMs hold a share and the others send nothing: each holder may have saved up
a request, so with many holders a small limit would be exceeded. There is no
election: each VM ranks the members that it knows by a hash, which differs from
endpoint to endpoint.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

from hornbeampier.routing import rendezvous

# Number of holders beyond one for each request per second.
EXTRA_HOLDERS = 2


class LimitShares:
    """Computes this VM's share of the limits of endpoints."""

    def __init__(
        self, own_host: str, peer_hosts: Callable[[], Collection[str]]
    ):
        self._own_host = own_host
        self._peer_hosts = peer_hosts

    def share_per_s(self, endpoint_id: str, limit_per_s: float) -> float:
        """Returns the requests per second that this VM may send; 0 for none."""
        hosts = {self._own_host, *self._peer_hosts()}
        count = min(len(hosts), math.ceil(limit_per_s) + EXTRA_HOLDERS)
        holders = rendezvous.rank(endpoint_id, hosts, count)
        return limit_per_s / count if self._own_host in holders else 0.0
