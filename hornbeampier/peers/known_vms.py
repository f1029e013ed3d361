"""The VMs that this VM knows, for what is shared or counted among them."""

from collections.abc import Collection

from hornbeampier.peers import membership as memberships
from hornbeampier.peers import topology
from hornbeampier.platform import settings
from hornbeampier.routing import rendezvous


class KnownVms:
    """Counts and ranks the VMs by what the membership knows.

    Attributes:
        membership: The membership; None on a VM without peers.
    """

    def __init__(self, cfg: settings.NodeSettings):
        self._host = cfg.host
        self._availability_zone = cfg.availability_zone
        self._seeds = [seed.host for seed in cfg.seeds]
        self.membership: memberships.Membership | None = None

    def live_peers(self) -> list[str]:
        """Returns the hosts of the other live VMs."""
        return self.membership.live() if self.membership else []

    def peer_hosts(self) -> Collection[str]:
        """Returns the hosts of the live peers, or else of the seeds."""
        return self.live_peers() or self._seeds

    def has_hubs(self) -> bool:
        """Whether VMs hear from each other through hubs."""
        return len(self.live_peers()) >= topology.MESH_LIMIT

    def owns_trial(self, key: str, owners: int) -> bool:
        """Whether this VM is among the `owners` live VMs that try `key`."""
        hosts = {self._host, *self.live_peers()}
        return self._host in rendezvous.rank(key, hosts, owners)

    def count_in_zone(self) -> int:
        """Returns the number of VMs in this VM's availability zone."""
        members = self.membership.members() if self.membership else []
        code = topology.zone_code(self._availability_zone)
        return 1 + sum(member.zone == code for member in members)

    def count(self) -> int:
        """Returns the number of VMs that share the retry budget.

        Unreachable VMs are included.
        """
        known = self.membership.known_count() if self.membership else 0
        return max(1 + known, len({*self._seeds}))
