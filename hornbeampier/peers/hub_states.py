"""Builds the messages of a hub: sums over its group, and over all VMs."""

from collections.abc import Callable
from collections.abc import Collection

from hornbeampier.peers import groups
from hornbeampier.peers import load_messages
from hornbeampier.peers import membership
from hornbeampier.peers import messages
from hornbeampier.peers import record_positions
from hornbeampier.peers import state_exchange
from hornbeampier.routing import peer_loads
from hornbeampier.routing import workload


class HubStates:
    """Sums what this VM and its peers reported."""

    def __init__(
        self,
        sender: state_exchange.Sender,
        shared: state_exchange.SharedComponents,
        members: membership.Membership,
        group: groups.Group,
        exchange: state_exchange.StateExchange,
        reads_store: Callable[[], bool],
    ):
        self._sender = sender
        self._shared = shared
        self._members = members
        self._group = group
        self._exchange = exchange
        self._reads_store = reads_store

    def group_state(
        self,
        sequence: int,
        news: Collection[groups.News],
        with_reports: bool,
    ) -> messages.StateMessage:
        """Returns the message with the sums over this hub and its group."""
        group = self._group.members()
        vms = {member.vm for member in group}
        loads = self._exchange.own_loads()
        for vm in vms:
            load_messages.add_loads(loads, self._shared.peer_loads.of(vm))
        readers = [member.host for member in group if member.reads_store]
        return self._make_sums(
            sequence,
            messages.Scope.GROUP,
            loads,
            news,
            workload=self._shared.pools.total_workload(vms),
            pools=load_messages.to_pool_messages(
                self._shared.pools.own_pool_sizes()
            ),
            vm_count=1 + len(vms),
            readers=tuple(readers + self._own_reader()),
            reports=self._fleet_reports() if with_reports else (),
            blocks=self._exchange.block_reports if with_reports else (),
        )

    def fleet_states(
        self,
        sequence: int,
        news: Collection[groups.News],
        with_reports: bool,
    ) -> dict[str, messages.StateMessage]:
        """Returns what all other VMs do, for each VM of this hub's group.

        They are keyed by host.
        """
        totals = self._exchange.own_loads()
        load_messages.add_loads(totals, self._shared.peer_loads.totals())
        workloads = self._shared.pools.total_workload()
        pools = load_messages.to_pool_messages(
            self._shared.pools.agreed_pool_sizes()
        )
        readers = self._shared.store_readers.live() + self._own_reader()
        reports = self._fleet_reports() if with_reports else ()
        blocks = self._exchange.block_reports if with_reports else ()
        states = {}
        for member in self._group.members():
            states[member.host] = self._make_sums(
                sequence,
                messages.Scope.FLEET,
                self._without(totals, member.vm),
                [item for item in news if item.vm != member.vm],
                workload=self._workload_without(workloads, member.vm),
                pools=pools,
                vm_count=len(self._members.live()),
                readers=tuple(h for h in readers if h != member.host),
                reports=reports,
                blocks=blocks,
            )
        return states

    def own_news(self, delta: state_exchange.Delta) -> groups.News:
        """Returns the news of this VM itself."""
        return groups.News(
            self._sender.vm, True, delta.sent_tokens, delta.placements
        )

    def _make_sums(
        self,
        sequence: int,
        scope: messages.Scope,
        loads: dict[str, peer_loads.Load],
        news: Collection[groups.News],
        **fields,
    ) -> messages.StateMessage:
        return messages.StateMessage(
            vm=self._sender.vm,
            boot=self._sender.boot,
            sequence=sequence,
            is_delta=False,
            reads_store=self._reads_store(),
            offsets=record_positions.to_offsets(self._exchange.sent_positions),
            positions=record_positions.to_messages(
                self._exchange.sent_positions
            ),
            loads={
                endpoint_id: load_messages.to_load_message(load)
                for endpoint_id, load in loads.items()
                if load_messages.is_active(load)
            },
            sent_tokens=groups.merge_tokens(news),
            placements=groups.merge_placements(news),
            crash_reports=self._exchange.crash_reports,
            cleared_reports=self._exchange.cleared_reports,
            crash_ages_ms=self._exchange.crash_ages_ms,
            notices=self._exchange.recent_notices,
            scope=scope,
            zone=self._sender.zone,
            sources=self._sources(),
            checks=self._exchange.checks.all(),
            **fields,
        )

    def _sources(self) -> dict[str, messages.RecordSources]:
        """Returns hosts that have the newest records, by topic.

        Hubs pass them on at once: to wait until they have fetched the records
        themselves would take too long over three hops.
        """
        sources = {}
        for topic, own in self._exchange.sent_positions.items():
            furthest, hosts = self._shared.catch_up.furthest_ahead(topic)
            if own > furthest:
                furthest, hosts = own, []
            if own == furthest:
                hosts = [*hosts, self._sender.host]
            sources[topic] = record_positions.to_sources(furthest, hosts)
        return sources

    def _without(
        self, totals: dict[str, peer_loads.Load], vm: str
    ) -> dict[str, peer_loads.Load]:
        """Returns the totals without the loads of one VM."""
        loads = dict(totals)
        for endpoint_id, load in self._shared.peer_loads.of(vm).items():
            loads[endpoint_id] -= load
        return loads

    def _workload_without(
        self, workloads: dict[str, workload.Workload], vm: str
    ) -> dict[str, workload.Workload]:
        own = self._shared.pools.peer_workload(vm)
        return {
            service: tuple(
                total - value
                for total, value in zip(
                    totals, own.get(service, workload.NO_WORKLOAD), strict=True
                )
            )
            for service, totals in workloads.items()
        }

    def _fleet_reports(self) -> tuple[messages.MemberReport, ...]:
        own = messages.MemberReport(self._sender.host, self._sender.zone, 0)
        return (own, *self._members.reports())

    def _own_reader(self) -> list[str]:
        return [self._sender.host] if self._reads_store() else []
