"""Configuration catch-up between VMs over gRPC."""

from collections.abc import Callable
from concurrent import futures

import gevent
import grpc
from grpc.experimental import gevent as grpc_gevent
import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier.coordination import records
from hornbeampier.operators import configuration_log
from hornbeampier.vms import messages

SERVICE = "hornbeampier.CatchUp"
METHOD = "Fetch"
TIMEOUT_MS = 1_000.0
MAX_WORKERS = 4
PEERS_PER_FETCH = 3

# gRPC has to use gevent's loop before the first channel or server is created.
grpc_gevent.init_gevent()


class CatchUpServer(application.BaseComponent):
    """Serves this VM's accepted configuration to its peers."""

    def __init__(
        self,
        host: str,
        port: int,
        snapshot: Callable[[], configuration_log.ConfigurationRecord | None],
    ):
        self._address = f"{host}:{port}"
        self._snapshot = snapshot
        self.port = port
        self._server: grpc.Server | None = None

    def start(self) -> None:
        """Starts the gRPC server."""
        self._server = grpc.server(futures.ThreadPoolExecutor(MAX_WORKERS))
        handler = grpc.unary_unary_rpc_method_handler(
            self._fetch,
            request_deserializer=_decode_request,
            response_serializer=msgspec.msgpack.encode,
        )
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        self.port = self._server.add_insecure_port(self._address)
        self._server.start()

    def stop(self) -> None:
        """Stops the gRPC server."""
        if self._server:
            self._server.stop(grace=None)

    def _fetch(
        self, request, context
    ) -> configuration_log.ConfigurationRecord | None:
        del request, context
        return self._snapshot()


class CatchUpClient:
    """Fetches the accepted configuration of several peers."""

    def __init__(self, vm: str, clk: clock.Clock):
        self._vm = vm
        self._clock = clk
        self._log = structlog.get_logger(task="catch_up")
        self._peers: list[records.ListedVm] = []
        self._next_index = 0
        self._preferred_peer = ""

    def apply_vm_list(self, vms: tuple[records.ListedVm, ...]) -> None:
        """Takes the peers' addresses from the VM list."""
        self._peers = [
            vm for vm in vms if vm.catch_up_port > 0 and vm.name != self._vm
        ]

    def prefer_peer(self, vm: str) -> None:
        """Includes this peer in each fetch, as it has a newer version."""
        self._preferred_peer = vm

    def fetch(self) -> list[configuration_log.ConfigurationRecord]:
        """Returns the snapshots of the peers that respond in time."""
        tasks = [
            gevent.spawn(self._fetch_from, peer) for peer in self._next_peers()
        ]
        gevent.joinall(tasks)
        return [task.value for task in tasks if task.value is not None]

    def _next_peers(self) -> list[records.ListedVm]:
        """Returns the next peers in turn; dead ones must not block others."""
        peers = self._peers
        if not peers:
            return []
        self._next_index = (self._next_index + PEERS_PER_FETCH) % len(peers)
        rotated = peers[self._next_index :] + peers[: self._next_index]
        rotated.sort(key=lambda peer: peer.name != self._preferred_peer)
        return rotated[:PEERS_PER_FETCH]

    def _fetch_from(
        self, peer: records.ListedVm
    ) -> configuration_log.ConfigurationRecord | None:
        address = f"{peer.host}:{peer.catch_up_port}"
        try:
            with grpc.insecure_channel(address) as channel:
                call = channel.unary_unary(
                    f"/{SERVICE}/{METHOD}",
                    request_serializer=msgspec.msgpack.encode,
                    response_deserializer=_decode_snapshot,
                )
                return call(
                    messages.CatchUpRequest(self._vm),
                    timeout=TIMEOUT_MS / clock.MS_PER_SECOND,
                )
        except (grpc.RpcError, *errors.DECODE_ERRORS) as exc:
            self._log.info("peer_unavailable", vm=peer.name, error=str(exc))
            return None


def _decode_request(data: bytes) -> messages.CatchUpRequest:
    return msgspec.msgpack.decode(data, type=messages.CatchUpRequest)


def _decode_snapshot(
    data: bytes,
) -> configuration_log.ConfigurationRecord | None:
    return msgspec.msgpack.decode(
        data, type=configuration_log.ConfigurationRecord | None
    )
