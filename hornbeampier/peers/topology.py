"""Decides which VMs exchange datagrams.

Up to `MESH_LIMIT` VMs send to all others. In larger deployments each
availability zone has a few hubs: a VM sends its state to one hub, hubs
exchange the sums of their groups, and each hub tells the VMs of its group what
all others do. So the datagrams of a VM do not grow with the number of VMs.

There is no election. Each VM computes the hubs from the members that it knows;
VMs that know different members still understand each other's datagrams.
"""

from collections.abc import Collection
import dataclasses
import math

from hornbeampier.peers import membership
from hornbeampier.routing import route_table

# Maximum number of VMs that all send to each other.
MESH_LIMIT = 24
# Maximum number of VMs for each hub.
GROUP_SIZE = 16
ZONE_CODES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Topology:
    """What one VM sends to whom.

    Attributes:
        hub: The hub of this VM, or None if it is a hub itself.
        hubs: All other hubs.
    """

    hub: str | None
    hubs: frozenset[str]


def zone_code(zone: str) -> int:
    """Returns a short code of an availability zone; equal on all VMs."""
    return int(route_table.uniform_hash(f"zone/{zone}") * ZONE_CODES)


def compute(
    own_host: str,
    own_zone: int,
    members: Collection[membership.Member],
    silent_hubs: Collection[str],
) -> Topology:
    """Returns the topology as this VM sees it.

    Args:
        own_host: Host of this VM.
        own_zone: Code of its availability zone.
        members: All other live members.
        silent_hubs: Hosts that did not act as hubs; they are passed over.
    """
    hosts_by_zone = {own_zone: [own_host]}
    for member in members:
        if member.host not in silent_hubs:
            hosts_by_zone.setdefault(member.zone, []).append(member.host)
    hubs: set[str] = set()
    for zone, hosts in hosts_by_zone.items():
        hosts.sort(key=_hub_rank)
        hubs_of_zone = hosts[: math.ceil(len(hosts) / GROUP_SIZE)]
        hubs.update(hubs_of_zone)
        if zone == own_zone:
            own_hub = _choose_hub(own_host, hubs_of_zone)
    return Topology(
        hub=None if own_host in hubs else own_hub,
        hubs=frozenset(hubs - {own_host}),
    )


def _hub_rank(host: str) -> float:
    return route_table.uniform_hash(f"hub/{host}")


def _choose_hub(host: str, hubs: Collection[str]) -> str:
    """Returns the hub of a VM, by rendezvous hashing."""
    return max(hubs, key=lambda hub: route_table.uniform_hash(f"{host}/{hub}"))
